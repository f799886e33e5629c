// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_ROUTES_H_
#define LIBRARIES_RELAY_RELAY_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::relay {

// Assigns each worker the relay that carries its calls. A worker gets a relay
// of its own data centre if there is one, and keeps it while other relays are
// added and removed. After a call without an answer the worker uses the next
// relay for a while, and after the last relay the leader itself. Neither a
// relay nor a leader that cannot reach a worker thus delays its calls for long.
// Pure.
class RelayRoutes {
 public:
  // Stands for the leader itself in place of the number of a relay.
  static constexpr std::size_t kLeader = SIZE_MAX;

  // Adds a relay that can be used from now on, or removes one that no longer
  // can. The caller assigns the numbers of relays.
  void Add(std::size_t relay, const DataCentre& data_centre);
  void Remove(std::size_t relay);
  bool empty() const { return this->relays.empty(); }

  // Returns the relay for the next call to a worker, or kLeader.
  std::size_t Find(const WorkerId& worker,
                   const DataCentre& data_centre,
                   SteadyTime now);

  // Records that a call to the worker through this relay got no answer.
  void RecordFailure(const WorkerId& worker, std::size_t relay, SteadyTime now);
  void RemoveWorker(const WorkerId& worker) { this->routes.erase(worker); }

 private:
  struct Route {
    std::size_t relay = kLeader;
    // The version of the set of relays when `relay` was chosen.
    std::uint64_t version = 0;
    // The number of recent calls that failed, and the time of the last failure.
    std::uint32_t failures = 0;
    SteadyTime failed_at{};
  };

  std::size_t Choose(const WorkerId& worker,
                     const DataCentre& data_centre,
                     std::uint32_t failures) const;

  std::map<std::size_t, DataCentre> relays;
  std::uint64_t version = 1;
  std::unordered_map<WorkerId, Route> routes;
};

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_ROUTES_H_
