// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAYED_CALLS_H_
#define LIBRARIES_RELAY_RELAYED_CALLS_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/relay/relay_link.h"
#include "libraries/relay/relay_messages.h"
#include "libraries/relay/relay_routes.h"
#include "libraries/rpc/channel.h"
#include "libraries/scheduler/worker_calls.h"

namespace sumac::relay {

// A leader's calls to workers, most of which other controllers make for it;
// those of a worker without a relay it makes by itself. Lives as long as one
// leadership and belongs to the core's event loop.
class RelayedCalls {
 public:
  // What it needs of its leader.
  struct Host {
    // The connection to another controller; nothing for an unknown name.
    std::function<rpc::Channel*(const ProcessName&)> find;
    // When the leader's lease ends; nothing while it has none.
    std::function<std::optional<SteadyTime>()> lease_end;
    // Where a worker stands.
    std::function<DataCentre(const WorkerId&)> data_centre_of;
  };

  RelayedCalls(scheduler::WorkerCalls own,
               kj::Timer& timer,
               LeaderEpoch epoch,
               Host host);
  RelayedCalls(const RelayedCalls&) = delete;
  RelayedCalls& operator=(const RelayedCalls&) = delete;

  // Takes in which other controllers may be relays, and looks after those that
  // are. Called often.
  void UpdateRelays(const std::set<ProcessName>& controllers, SteadyTime now);

  kj::Promise<scheduler::RenewAnswer> Renew(const scheduler::RenewOrder& order);
  kj::Promise<scheduler::RenewAnswer> RequestReport(
      const scheduler::RenewOrder& order);
  kj::Promise<scheduler::OrderAnswer> Send(const scheduler::Order& order);
  void RemoveWorker(const WorkerId& worker);

  // How many relays can be used, and what all of them have done.
  std::size_t open_relays() const;
  RelayCounts TotalCounts() const;

 private:
  struct Relay {
    std::size_t number = 0;
    std::unique_ptr<RelayLink> link;
  };

  void Open(const ProcessName& controller);
  void UpdateRoute(std::size_t number);
  RelayLink* FindLink(const WorkerId& worker, std::size_t& number);
  kj::Promise<RelayAnswer> Call(const WorkerId& worker,
                                CallBody body,
                                Milliseconds limit,
                                RelayLink& link,
                                std::size_t number);
  kj::Promise<scheduler::RenewAnswer> Relayed(const WorkerId& worker,
                                              CallBody body,
                                              Milliseconds limit,
                                              RelayLink& link,
                                              std::size_t number);

  scheduler::WorkerCalls own;
  kj::Timer& timer;
  LeaderEpoch epoch;
  Host host;
  SystemClock clock;
  // Answers that are under way may outlive this by a moment.
  std::shared_ptr<RelayRoutes> routes = std::make_shared<RelayRoutes>();
  // Workers to which the leader itself may have connections.
  std::unordered_set<WorkerId> directly_called_workers;
  std::map<ProcessName, Relay> relays;
  // The links by their numbers; nothing for those that are gone.
  std::vector<RelayLink*> links;
  // Of links that are gone.
  RelayCounts past;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAYED_CALLS_H_
