// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/minion_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::routing {
namespace {

// A reported load older than this says nothing any more.
constexpr Milliseconds kReportedLoadValidity{200};
// A decision names this many of the minions that were passed over.
constexpr std::size_t kMaxPassedOver = 4;

std::uint32_t AllowedRequests(std::uint32_t slots,
                              const SharingSettings& settings) {
  const double even =
      static_cast<double>(slots) / std::max(settings.entries, 1U);
  const auto share =
      static_cast<std::uint32_t>(std::ceil(even * settings.slot_overcommit));
  return std::clamp(share, 1U, std::max(slots, 1U));
}

}  // namespace

void MinionSet::Update(const fleet::View& view) {
  std::map<InstanceName, Minion> next;
  this->services.clear();
  for (const fleet::RoutedMinion& routed : view.minions) {
    Minion minion;
    const auto known = this->minions.find(routed.name);
    if (known != this->minions.end()) {
      minion = known->second;
      if (minion.routed.incarnation != routed.incarnation) {
        minion.health = MinionHealth();
      }
    }
    minion.routed = routed;
    minion.max_in_flight = AllowedRequests(routed.slots, this->settings);
    for (const ServiceName& service : routed.services) {
      Candidates& candidates = this->services[service];
      const bool is_near = routed.data_centre == this->settings.data_centre;
      (is_near ? candidates.near : candidates.far).push_back(routed.name);
    }
    next[routed.name] = std::move(minion);
  }
  this->minions = std::move(next);
}

bool MinionSet::IsUsable(const Minion& minion, SteadyTime now) const {
  return minion.routed.can_take_work && !minion.health.is_leaving() &&
         !minion.health.IsAside(now);
}

std::string MinionSet::ExplainUnavailable(
    const Minion& minion,
    const std::set<InstanceName>& excluded,
    SteadyTime now) const {
  if (!minion.routed.can_take_work) {
    return "it is leaving, silent or set aside by the controllers";
  }
  if (minion.health.is_leaving()) {
    return "it said itself that it is leaving";
  }
  if (excluded.contains(minion.routed.name)) {
    return "this request was tried there before";
  }
  if (minion.health.IsAside(now)) {
    return "it failed several times in a row";
  }
  if (minion.health.IsPaused(now)) {
    return "it has just declined a request";
  }
  const bool is_trial_in_flight =
      minion.health.is_on_probation() && minion.in_flight > 0;
  if (is_trial_in_flight) {
    return "it comes back slowly, one request at a time";
  }
  if (minion.in_flight >= minion.max_in_flight) {
    return StrCat("it has ", minion.in_flight, " requests of ",
                  minion.max_in_flight, " that this entry may have there");
  }
  return "";
}

double MinionSet::LoadOf(const Minion& minion, SteadyTime now) const {
  const bool is_fresh = now - minion.reported_at < kReportedLoadValidity;
  const std::uint32_t load =
      is_fresh ? std::max(minion.in_flight, minion.reported_load)
               : minion.in_flight;
  return static_cast<double>(load) / std::max(minion.routed.slots, 1U);
}

std::optional<InstanceName> MinionSet::ChooseFrom(
    const std::vector<InstanceName>& names,
    const std::set<InstanceName>& excluded,
    SteadyTime now,
    std::mt19937_64& random,
    std::vector<fleet::Alternative>& passed_over) const {
  if (names.empty()) {
    return std::nullopt;
  }
  const auto note = [&](const Minion& minion, std::string why) {
    if (passed_over.size() < kMaxPassedOver) {
      passed_over.push_back(
          fleet::Alternative{minion.routed.name.value(), std::move(why)});
    }
  };
  std::uniform_int_distribution<std::size_t> position(0, names.size() - 1);
  const Minion* best = nullptr;
  // Two random looks first; when neither can take it, the rest in turn from a
  // random place.
  const std::size_t start = position(random);
  const std::size_t second = position(random);
  for (std::size_t step = 0; step <= names.size(); ++step) {
    // Steps 2 and on go round all others once; the second look may have been at
    // the first again.
    const std::size_t in_turn = (start + step - 1) % names.size();
    const std::size_t index = step == 0 ? start : step == 1 ? second : in_turn;
    const Minion& minion = this->minions.at(names[index]);
    if (&minion == best) {
      continue;
    }
    std::string why = this->ExplainUnavailable(minion, excluded, now);
    if (!why.empty()) {
      note(minion, std::move(why));
    } else if (best == nullptr) {
      best = &minion;
    } else if (this->LoadOf(minion, now) < this->LoadOf(*best, now)) {
      note(*best, StrCat("load ", this->LoadOf(*best, now),
                         " of its slots is higher"));
      best = &minion;
    } else {
      note(minion, StrCat("load ", this->LoadOf(minion, now),
                          " of its slots is not lower"));
    }
    if (best != nullptr && step >= 1) {
      break;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->routed.name);
}

std::optional<Choice> MinionSet::Choose(const ServiceName& service,
                                        const std::set<InstanceName>& excluded,
                                        SteadyTime now,
                                        std::mt19937_64& random) {
  const auto candidates = this->services.find(service);
  if (candidates == this->services.end()) {
    return std::nullopt;
  }
  Choice choice{.rule = "least-loaded-of-two-near"};
  auto name = this->ChooseFrom(candidates->second.near, excluded, now, random,
                               choice.passed_over);
  if (!name) {
    choice.rule = "least-loaded-of-two-far";
    name = this->ChooseFrom(candidates->second.far, excluded, now, random,
                            choice.passed_over);
  }
  if (!name) {
    return std::nullopt;
  }
  Minion& minion = this->minions.at(*name);
  ++minion.in_flight;
  choice.minion = *name;
  choice.address = minion.routed.address;
  return choice;
}

NoChoice MinionSet::ExplainNoChoice(const ServiceName& service,
                                    const std::set<InstanceName>& excluded,
                                    SteadyTime now) const {
  const auto candidates = this->services.find(service);
  if (candidates == this->services.end()) {
    return NoChoice::kNoneUsable;
  }
  const auto is_usable = [&](const InstanceName& name) {
    return !excluded.contains(name) &&
           this->IsUsable(this->minions.at(name), now);
  };
  const Candidates& all = candidates->second;
  const bool has_usable =
      std::any_of(all.near.begin(), all.near.end(), is_usable) ||
      std::any_of(all.far.begin(), all.far.end(), is_usable);
  return has_usable ? NoChoice::kAllBusy : NoChoice::kNoneUsable;
}

void MinionSet::Finish(const InstanceName& name,
                       TryOutcome outcome,
                       std::optional<std::uint32_t> reported_load,
                       SteadyTime now) {
  const auto found = this->minions.find(name);
  if (found == this->minions.end()) {
    return;
  }
  Minion& minion = found->second;
  if (minion.in_flight > 0) {
    --minion.in_flight;
  }
  if (reported_load) {
    minion.reported_load = *reported_load;
    minion.reported_at = now;
  }
  // Only a failure asks how many others are aside, which looks at all of the
  // service.
  const bool may_set_aside =
      !IsFailure(outcome) || this->MaySetAside(minion, now);
  minion.health.RecordOutcome(outcome, this->settings.health, now,
                              may_set_aside);
}

// When many fail at once it is seldom their fault, and with all of them aside
// nobody would be served.
bool MinionSet::MaySetAside(const Minion& minion, SteadyTime now) const {
  return std::all_of(
      minion.routed.services.begin(), minion.routed.services.end(),
      [&](const auto& service) {
        const Candidates& all = this->services.at(service);
        const auto is_aside = [&](const InstanceName& name) {
          return name != minion.routed.name &&
                 this->minions.at(name).health.IsAside(now);
        };
        const auto aside =
            std::count_if(all.near.begin(), all.near.end(), is_aside) +
            std::count_if(all.far.begin(), all.far.end(), is_aside);
        const auto total =
            static_cast<double>(all.near.size() + all.far.size());
        return static_cast<double>(aside + 1) <=
               total * this->settings.max_aside_share;
      });
}

void MinionSet::MarkLeaving(const InstanceName& name, SteadyTime now) {
  const auto found = this->minions.find(name);
  if (found != this->minions.end()) {
    found->second.health.RecordOutcome(TryOutcome::kLeaving,
                                       this->settings.health, now);
  }
}

std::vector<std::pair<InstanceName, std::string>> MinionSet::Addresses() const {
  std::vector<std::pair<InstanceName, std::string>> addresses;
  for (const auto& [name, minion] : this->minions) {
    if (minion.routed.can_take_work && !minion.health.is_leaving()) {
      addresses.emplace_back(name, minion.routed.address);
    }
  }
  return addresses;
}

std::size_t MinionSet::CountAside(SteadyTime now) const {
  return std::count_if(
      this->minions.begin(), this->minions.end(),
      [&](const auto& item) { return item.second.health.IsAside(now); });
}

}  // namespace sumac::routing
