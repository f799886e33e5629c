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

// Makes a leader's calls to workers. Other controllers, as relays, make most of
// them on its behalf; the leader itself calls workers that have no relay.
// Exists for one leadership and belongs to the core's event loop.
class RelayedCalls {
 public:
  // The functions that the leader provides.
  struct Host {
    // Returns the connection to another controller, or null for an unknown
    // name.
    std::function<rpc::Channel*(const ProcessName&)> find;
    // Returns the end of the leader's lease, or nothing while it has none.
    std::function<std::optional<SteadyTime>()> lease_end;
    // Returns the data centre of a worker.
    std::function<DataCentre(const WorkerId&)> data_centre_of;
  };

  RelayedCalls(scheduler::WorkerCalls direct_calls,
               kj::Timer& timer,
               LeaderEpoch epoch,
               Host host);
  RelayedCalls(const RelayedCalls&) = delete;
  RelayedCalls& operator=(const RelayedCalls&) = delete;

  // Sets the controllers that may be relays, opens new relays and checks the
  // open calls of the present ones. Called often.
  void UpdateRelays(const std::set<ProcessName>& controllers, SteadyTime now);

  // Each of these makes a call to a worker, through its relay or directly.
  kj::Promise<scheduler::RenewAnswer> Renew(const scheduler::RenewOrder& order);
  kj::Promise<scheduler::RenewAnswer> RequestReport(
      const scheduler::RenewOrder& order);
  kj::Promise<scheduler::OrderAnswer> Send(const scheduler::Order& order);
  // Removes the record of a worker and closes all connections to it.
  void RemoveWorker(const WorkerId& worker);

  // The number of relays that can be used, and the counters of all relays of
  // this leadership.
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
                                Milliseconds worker_timeout,
                                RelayLink& link,
                                std::size_t number);
  kj::Promise<scheduler::RenewAnswer> CallForReport(const WorkerId& worker,
                                                    CallBody body,
                                                    Milliseconds worker_timeout,
                                                    RelayLink& link,
                                                    std::size_t number);

  scheduler::WorkerCalls direct_calls;
  kj::Timer& timer;
  LeaderEpoch epoch;
  Host host;
  SystemClock clock;
  // Shared with the continuations of open calls, which may briefly outlive this
  // object.
  std::shared_ptr<RelayRoutes> routes = std::make_shared<RelayRoutes>();
  // The workers to which the leader itself may have connections.
  std::unordered_set<WorkerId> directly_called_workers;
  std::map<ProcessName, Relay> relays;
  // The links by their numbers; null for those that were removed.
  std::vector<RelayLink*> links;
  // The counters of links that were removed.
  RelayCounts removed_counts;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAYED_CALLS_H_
