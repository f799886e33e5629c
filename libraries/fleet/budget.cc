// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/budget.h"

#include <algorithm>
#include <cmath>

#include "libraries/base/text.h"

namespace sumac::fleet {
namespace {

// Returns a share of `whole` in instances, rounded up. The slack keeps binary
// rounding from turning 0.8 of 10 into 9.
std::uint32_t RoundUp(double share, std::uint32_t whole) {
  constexpr double kRoundingSlack = 1e-9;
  return static_cast<std::uint32_t>(std::ceil(share * whole - kRoundingSlack));
}

// Returns how many available instances the loss of the largest failure domain
// of the declared kind would take down.
std::uint32_t ReserveOf(const Pool& pool, const PoolCounts& counts) {
  switch (pool.survives) {
    case FailureDomain::kNone:
      return 0;
    case FailureDomain::kInstance:
      return 1;
    case FailureDomain::kRack:
      return counts.LargestRack();
    case FailureDomain::kDataCentre:
      return counts.LargestDataCentre();
  }
  return 0;
}

}  // namespace

BudgetLine WholePoolLine(const FleetState& state, const Pool& pool) {
  const PoolCounts& counts = state.CountsOf(pool.name);
  const std::uint32_t needed =
      std::max(pool.budget.smallest_available,
               RoundUp(pool.budget.smallest_share, pool.capacity));
  return BudgetLine{"pool", counts.total().available, needed,
                    ReserveOf(pool, counts)};
}

std::vector<BudgetLine> BudgetLinesFor(const FleetState& state,
                                       const Pool& pool,
                                       const Instance& instance) {
  const PoolCounts& counts = state.CountsOf(pool.name);
  const TargetDescription& target = instance.target;
  std::vector<BudgetLine> lines = {WholePoolLine(state, pool)};
  const auto add = [&](double share, Availability there, std::string where) {
    if (share > 0) {
      lines.push_back(BudgetLine{std::move(where), there.available,
                                 RoundUp(share, there.members)});
    }
  };
  add(pool.budget.smallest_share_per_data_centre,
      counts.InDataCentre(target.data_centre),
      StrCat("data centre ", target.data_centre.value()));
  add(pool.budget.smallest_share_per_rack,
      counts.InRack(target.data_centre, target.rack),
      StrCat("rack ", target.data_centre.value(), "/", target.rack.value()));
  return lines;
}

std::vector<DecisionInput> ToInputs(const std::vector<BudgetLine>& lines) {
  std::vector<DecisionInput> inputs;
  inputs.reserve(lines.size());
  for (const BudgetLine& line : lines) {
    inputs.push_back(
        DecisionInput{StrCat("budget of ", line.where), ToString(line)});
  }
  return inputs;
}

std::string ToString(const BudgetLine& line) {
  std::string text =
      StrCat(line.available, " available, ", line.needed, " needed");
  if (line.reserve > 0) {
    StrAppend(&text, ", ", line.reserve, " held back for a loss");
  }
  return text;
}

}  // namespace sumac::fleet
