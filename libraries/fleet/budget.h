// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_BUDGET_H_
#define LIBRARIES_FLEET_BUDGET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/fleet/decision.h"
#include "libraries/fleet/declaration.h"
#include "libraries/fleet/fleet_state.h"
#include "libraries/fleet/instance.h"

namespace sumac::fleet {

// One constraint of a budget, compared with what is available.
struct BudgetLine {
  // The scope of the constraint: "pool", "data centre X" or "rack X/Y".
  std::string where;
  std::uint32_t available = 0;
  std::uint32_t needed = 0;
  // How many instances the loss of a declared failure domain would take down.
  // Set only on the line that must still hold after that loss.
  std::uint32_t reserve = 0;

  // Returns how many more instances may be taken out.
  std::int64_t spare() const {
    return std::int64_t{this->available} - this->needed - this->reserve;
  }
  // Returns true if the budget itself, without the reserve, is violated now.
  bool is_broken() const { return this->available < this->needed; }
};

// Returns the budget lines that taking `instance` out would count against.
std::vector<BudgetLine> BudgetLinesFor(const FleetState& state,
                                       const Pool& pool,
                                       const Instance& instance);

// Returns the budget line of the whole pool.
BudgetLine WholePoolLine(const FleetState& state, const Pool& pool);

// Converts budget lines to the inputs of a decision.
std::vector<DecisionInput> ToInputs(const std::vector<BudgetLine>& lines);

// Describes a budget line as part of a sentence, such as "3 available, 3
// needed".
std::string ToString(const BudgetLine& line);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_BUDGET_H_
