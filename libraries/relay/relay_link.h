// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_LINK_H_
#define LIBRARIES_RELAY_RELAY_LINK_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/relay/relay_clock.h"
#include "libraries/relay/relay_messages.h"
#include "libraries/rpc/channel.h"
#include "libraries/wire/generated/relay.capnp.h"

namespace sumac::relay {

// A leader's side of one relay: gathers calls to workers, sends them in
// batches, and hands the answers back. Lives as long as one leadership and
// belongs to the core's event loop.
class RelayLink : private kj::TaskSet::ErrorHandler {
 public:
  // What the link needs of its leader.
  struct Host {
    // When the leader's lease ends; nothing while it has none.
    std::function<std::optional<SteadyTime>()> lease_end;
    // The relay can be used from now on, or no more.
    std::function<void()> on_change;
  };

  RelayLink(rpc::Channel& channel,
            kj::Timer& timer,
            LeaderEpoch epoch,
            Host host);
  ~RelayLink();
  RelayLink(const RelayLink&) = delete;
  RelayLink& operator=(const RelayLink&) = delete;

  // Asks the controller to be a relay, unless it is one or was asked of late.
  void OpenIfDue(SteadyTime now);
  // Gives up calls that are overdue, and the relay if it has answered none
  // since; keeps its clock known while there are no calls.
  void CheckOpenCalls(SteadyTime now);

  bool is_open() const { return this->state == State::kOpen; }
  // Where the relay stands, as it says.
  const DataCentre& data_centre() const { return this->relay_data_centre; }
  const RelayCounts& counts() const { return this->done; }
  std::size_t open_calls() const { return this->open.size(); }

  // Has the relay make a call that takes a worker up to `worker_timeout`; the
  // promise never fails. Without a relay the result is kNotSent.
  kj::Promise<RelayAnswer> Call(CallBody body, Milliseconds limit);
  // Has the relay close its connections to a worker.
  void CloseConnectionsTo(const WorkerId& worker);

 private:
  enum class State { kClosed, kOpening, kOpen };
  class AnswerSink;
  struct OpenCall {
    kj::Own<kj::PromiseFulfiller<RelayAnswer>> fulfiller;
    SteadyTime made_at{};
    // Without an answer by then the relay is at fault.
    SteadyTime due{};
  };

  void taskFailed(kj::Exception&& exception) override;

  void FinishOpening(wire::Relay::Client relay,
                     RelayTime reading,
                     DataCentre data_centre);
  void Close(const std::string& reason);
  void Enqueue(CallBody body, std::uint64_t id);
  void ScheduleFlush(bool is_urgent);
  void Flush();
  void FailQueued();
  void SendQueue(wire::Relay::Client& relay, SteadyTime lease_end);
  void SendBatch(wire::Relay::Client& relay,
                 const std::vector<RelayCall>& calls);
  void GiveUpCall(std::uint64_t id);
  void Take(wire::RelayedAnswers::Reader answers);
  void Fulfill(RelayAnswer&& answer);

  rpc::Channel& channel;
  kj::Timer& timer;
  LeaderEpoch epoch;
  Host host;
  SystemClock clock;
  State state = State::kClosed;
  // Counts openings, so that what is late of one does not touch the next.
  std::uint64_t generation = 0;
  SteadyTime opened_at{};
  DataCentre relay_data_centre;
  RelayClock relay_clock;
  SteadyTime clock_read_at{};
  // When it last answered calls.
  SteadyTime answered_at{};
  kj::Maybe<wire::Relay::Client> relay;
  // Takes the answers of this opening.
  AnswerSink* sink = nullptr;
  std::uint64_t last_id = 0;
  std::vector<RelayCall> queue;
  std::unordered_map<std::uint64_t, OpenCall> open;
  bool is_urgent_flush_scheduled = false;
  bool is_flush_scheduled = false;
  RelayCounts done;
  kj::TaskSet tasks;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_LINK_H_
