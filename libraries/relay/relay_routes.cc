// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_routes.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace sumac::relay {
namespace {

// A worker whose calls failed comes back to its relay after this; the relay may
// be in touch again.
constexpr Milliseconds kAvoidTime{5'000};

// Spreads the pairs of workers and relays evenly.
std::uint64_t HashPair(std::uint64_t worker, std::uint64_t relay) {
  constexpr std::uint64_t kOdd = 0x9e3779b97f4a7c15ULL;
  constexpr int kShift = 29;
  std::uint64_t mixed = (worker ^ (relay + 1) * kOdd) * kOdd;
  mixed ^= mixed >> kShift;
  return mixed * kOdd;
}

}  // namespace

void RelayRoutes::Add(std::size_t relay, const DataCentre& data_centre) {
  this->relays[relay] = data_centre;
  ++this->version;
}

void RelayRoutes::Remove(std::size_t relay) {
  if (this->relays.erase(relay) > 0) {
    ++this->version;
  }
}

std::size_t RelayRoutes::Find(const WorkerId& worker,
                              const DataCentre& data_centre,
                              SteadyTime now) {
  Route& route = this->routes[worker];
  if (route.failures > 0 && now - route.failed_at >= kAvoidTime) {
    route.failures = 0;
    route.version = 0;
  }
  if (route.version != this->version) {
    route.version = this->version;
    route.relay = this->Choose(worker, data_centre, route.failures);
  }
  return route.relay;
}

void RelayRoutes::RecordFailure(const WorkerId& worker,
                                std::size_t relay,
                                SteadyTime now) {
  const auto route = this->routes.find(worker);
  // An answer of the relay before says nothing about the present one, nor do
  // further answers of one burst.
  if (route != this->routes.end() && route->second.relay == relay &&
      route->second.version != 0) {
    ++route->second.failures;
    route->second.failed_at = now;
    route->second.version = 0;
  }
}

// NOTE: By rendezvous hashing (Thaler and Ravishankar, 1998): when a relay
// goes, only its workers get another one.
std::size_t RelayRoutes::Choose(const WorkerId& worker,
                                const DataCentre& data_centre,
                                std::uint32_t failures) const {
  const std::uint64_t hash = std::hash<WorkerId>()(worker);
  std::vector<std::tuple<bool, std::uint64_t, std::size_t>> order;
  for (const auto& [relay, place] : this->relays) {
    order.emplace_back(place == data_centre, HashPair(hash, relay), relay);
  }
  std::sort(order.rbegin(), order.rend());
  const std::size_t turn = failures % (order.size() + 1);
  return turn < order.size() ? std::get<2>(order[turn]) : kLeader;
}

}  // namespace sumac::relay
