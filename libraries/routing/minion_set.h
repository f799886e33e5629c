// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_MINION_SET_H_
#define LIBRARIES_ROUTING_MINION_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/decision.h"
#include "libraries/fleet/view.h"
#include "libraries/routing/minion_health.h"

namespace sumac::routing {

// How an entry shares minions with the other entries.
struct SharingSettings {
  // The data centre of this entry, whose minions are preferred.
  DataCentre data_centre;
  // The number of entries.
  std::uint32_t entries = 1;
  // Each entry may use this multiple of its even share of a minion's slots. A
  // higher value leaves fewer slots idle when load is uneven, and causes more
  // declined tries when it is even.
  double slot_overcommit = 2;
  // The maximum share of a service's minions that may be set aside at once.
  // Beyond it, minions stay in use despite failures.
  double max_aside_share = 0.5;
  HealthSettings health;
};

// The minion chosen for a request, and the reasons for the choice.
struct Choice {
  InstanceName minion;
  std::string address;
  std::string rule;
  std::vector<fleet::Alternative> passed_over;
};

// The reason for which no minion was chosen.
enum class NoChoice {
  // The service has no usable minion.
  kNoneUsable,
  // All usable minions have the maximum number of requests from this entry.
  kAllBusy,
};

// The minions to which an entry routes requests, with the health that the entry
// has observed. Choose compares two random minions of a service (Mitzenmacher,
// "The Power of Two Choices", 2001), independent of the size of the fleet.
class MinionSet {
 public:
  explicit MinionSet(SharingSettings settings)
      : settings(std::move(settings)) {}

  // Applies a newer view. The observed health of a minion is kept unless its
  // incarnation has changed.
  void Update(const fleet::View& view);

  // Chooses a minion for `service` that is not in `excluded`, and counts the
  // request as in flight there.
  std::optional<Choice> Choose(const ServiceName& service,
                               const std::set<InstanceName>& excluded,
                               SteadyTime now,
                               std::mt19937_64& random);

  // Returns the reason for which Choose would return nothing.
  NoChoice ExplainNoChoice(const ServiceName& service,
                           const std::set<InstanceName>& excluded,
                           SteadyTime now) const;

  // Called when a request is no longer in flight at `minion`. `reported_load`
  // is the load that the minion reported, if any.
  void Finish(const InstanceName& minion,
              TryOutcome outcome,
              std::optional<std::uint32_t> reported_load,
              SteadyTime now);

  // Records that the minion reported, to a probe or in an answer, that it is
  // leaving.
  void MarkLeaving(const InstanceName& minion, SteadyTime now);

  // Returns the names and addresses of all minions that may get work, for
  // probing.
  std::vector<std::pair<InstanceName, std::string>> Addresses() const;

  // The number of known minions, and of those that are set aside.
  std::size_t size() const { return this->minions.size(); }
  std::size_t CountAside(SteadyTime now) const;

 private:
  struct Minion {
    fleet::RoutedMinion routed;
    MinionHealth health;
    std::uint32_t in_flight = 0;
    std::uint32_t reported_load = 0;
    SteadyTime reported_at{};
    // The maximum number of requests that this entry may have there.
    std::uint32_t max_in_flight = 1;
  };

  // The minions of one service: those in this entry's data centre and the
  // others.
  struct Candidates {
    std::vector<InstanceName> near;
    std::vector<InstanceName> far;
  };

  bool IsUsable(const Minion& minion, SteadyTime now) const;
  bool MaySetAside(const Minion& minion, SteadyTime now) const;
  std::string ExplainUnavailable(const Minion& minion,
                                 const std::set<InstanceName>& excluded,
                                 SteadyTime now) const;
  std::optional<InstanceName> ChooseFrom(
      const std::vector<InstanceName>& names,
      const std::set<InstanceName>& excluded,
      SteadyTime now,
      std::mt19937_64& random,
      std::vector<fleet::Alternative>& passed_over) const;
  double LoadOf(const Minion& minion, SteadyTime now) const;

  SharingSettings settings;
  std::map<InstanceName, Minion> minions;
  std::map<ServiceName, Candidates> services;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_MINION_SET_H_
