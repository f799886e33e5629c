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

// Which relay carries the calls to which worker. A worker goes to a relay of
// its own data centre where there is one, and stays with its relay while others
// come and go. After a call without an answer it goes to another one for a
// while, and in its turn to the leader itself, so that neither a relay that has
// lost its workers nor a leader that has is between them for long. Pure.
class RelayRoutes {
 public:
  // The leader itself.
  static constexpr std::size_t kLeader = SIZE_MAX;

  // A relay can be used, or no more. Its number is the caller's.
  void Add(std::size_t relay, const DataCentre& data_centre);
  void Remove(std::size_t relay);
  bool empty() const { return this->relays.empty(); }

  // The relay for the next call to a worker, or kLeader.
  std::size_t Find(const WorkerId& worker,
                   const DataCentre& data_centre,
                   SteadyTime now);

  // Takes in that a call by this relay had no answer.
  void RecordFailure(const WorkerId& worker, std::size_t relay, SteadyTime now);
  void RemoveWorker(const WorkerId& worker) { this->routes.erase(worker); }

 private:
  struct Route {
    std::size_t relay = kLeader;
    // Of the set of relays when it was chosen.
    std::uint64_t version = 0;
    // How often calls failed of late, and when the last one did.
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
