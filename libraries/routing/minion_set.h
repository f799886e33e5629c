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
  // Where this entry stands; nearer minions go first.
  DataCentre data_centre;
  // How many entries there are.
  std::uint32_t entries = 1;
  // Each entry may fill this many times its even share of a minion's slots.
  // More leaves fewer slots idle when load is uneven and costs declined tries
  // when it is not.
  double slot_overcommit = 2;
  // At most this share of a service's minions may be set aside at once; beyond
  // it the ones longest aside are used all the same.
  double max_aside_share = 0.5;
  HealthSettings health;
};

// Where a request goes, and why.
struct Choice {
  InstanceName minion;
  std::string address;
  std::string rule;
  std::vector<fleet::Alternative> passed_over;
};

// Why no minion was chosen.
enum class NoChoice {
  // The service has no minion that may get work.
  kNoneUsable,
  // All that may get work have as many requests as they may have from here.
  kAllBusy,
};

// The minions that an entry routes to, with what it has seen of each itself.
// Choosing looks at two random minions of a service (Mitzenmacher, "The Power
// of Two Choices", 2001), whatever the size of the fleet.
class MinionSet {
 public:
  explicit MinionSet(SharingSettings settings)
      : settings(std::move(settings)) {}

  // Takes in a newer view. What was seen of a minion stays unless it has
  // started anew.
  void Update(const fleet::View& view);

  // Chooses a minion for `service`, not one of `excluded`, and counts the
  // request as in flight there.
  std::optional<Choice> Choose(const ServiceName& service,
                               const std::set<InstanceName>& excluded,
                               SteadyTime now,
                               std::mt19937_64& random);

  // Why Choose would give nothing.
  NoChoice ExplainNoChoice(const ServiceName& service,
                           const std::set<InstanceName>& excluded,
                           SteadyTime now) const;

  // The request is no longer in flight at `minion`; `reported_load` is what the
  // minion said.
  void Finish(const InstanceName& minion,
              TryOutcome outcome,
              std::optional<std::uint32_t> reported_load,
              SteadyTime now);

  // Notes the minion's own word, by a probe or an answer, that it is leaving.
  void MarkLeaving(const InstanceName& minion, SteadyTime now);

  // The addresses of all minions that may get work, for probing.
  std::vector<std::pair<InstanceName, std::string>> Addresses() const;

  // How many minions are known, and how many of them are set aside.
  std::size_t size() const { return this->minions.size(); }
  std::size_t CountAside(SteadyTime now) const;

 private:
  struct Minion {
    fleet::RoutedMinion routed;
    MinionHealth health;
    std::uint32_t in_flight = 0;
    std::uint32_t reported_load = 0;
    SteadyTime reported_at{};
    // The most requests that this entry may have there.
    std::uint32_t max_in_flight = 1;
  };

  // One service's minions: near ones (this data centre) and the others.
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
