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
// batches, and returns the answers. Exists for one leadership and belongs to
// the core's event loop.
class RelayLink : private kj::TaskSet::ErrorHandler {
 public:
  // The functions that the leader provides.
  struct Host {
    // Returns the end of the leader's lease, or nothing while it has none.
    std::function<std::optional<SteadyTime>()> lease_end;
    // Called when the relay has become usable or unusable.
    std::function<void()> on_change;
  };

  RelayLink(rpc::Channel& channel,
            kj::Timer& timer,
            LeaderEpoch epoch,
            Host host);
  ~RelayLink();
  RelayLink(const RelayLink&) = delete;
  RelayLink& operator=(const RelayLink&) = delete;

  // Asks the controller to be a relay, unless it is one already or was asked
  // recently.
  void OpenIfDue(SteadyTime now);
  // Gives up overdue calls, and the relay if it has sent no answer since an
  // overdue call was made. Reads the relay's clock while there are no calls.
  void CheckOpenCalls(SteadyTime now);

  bool is_open() const { return this->state == State::kOpen; }
  // The data centre of the relay, as the relay reported it.
  const DataCentre& data_centre() const { return this->relay_data_centre; }
  const RelayCounts& counts() const { return this->call_counts; }
  std::size_t open_calls() const { return this->calls_by_id.size(); }

  // Has the relay make a call for which the worker may take up to
  // `worker_timeout`. The promise never fails; without an open relay the result
  // is kNotSent.
  kj::Promise<RelayAnswer> Call(CallBody body, Milliseconds worker_timeout);
  // Has the relay close its connections to a worker.
  void CloseConnectionsTo(const WorkerId& worker);

 private:
  enum class State { kClosed, kOpening, kOpen };
  class AnswerSink;
  struct OpenCall {
    kj::Own<kj::PromiseFulfiller<RelayAnswer>> fulfiller;
    SteadyTime made_at{};
    // The time after which a missing answer is attributed to the relay.
    SteadyTime answer_deadline{};
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
  void HandleAnswers(wire::RelayedAnswers::Reader answers);
  void Fulfill(RelayAnswer&& answer);

  rpc::Channel& channel;
  kj::Timer& timer;
  LeaderEpoch epoch;
  Host host;
  SystemClock clock;
  State state = State::kClosed;
  // Counts openings, so that late events of one opening do not affect the next.
  std::uint64_t generation = 0;
  SteadyTime opened_at{};
  DataCentre relay_data_centre;
  RelayClock relay_clock;
  SteadyTime clock_read_at{};
  // The time at which the relay last answered calls.
  SteadyTime answered_at{};
  kj::Maybe<wire::Relay::Client> relay;
  // Receives the answers of the present opening.
  AnswerSink* sink = nullptr;
  std::uint64_t last_id = 0;
  std::vector<RelayCall> queue;
  std::unordered_map<std::uint64_t, OpenCall> calls_by_id;
  bool is_urgent_flush_scheduled = false;
  bool is_flush_scheduled = false;
  RelayCounts call_counts;
  kj::TaskSet tasks;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_LINK_H_
