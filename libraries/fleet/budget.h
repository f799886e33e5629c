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

// One part of a budget, held against what is available.
struct BudgetLine {
  // Where: "pool", "data centre X" or "rack X/Y".
  std::string where;
  std::uint32_t available = 0;
  std::uint32_t needed = 0;
  // Set for the line that must survive the loss of a declared failure domain:
  // how many that is.
  std::uint32_t reserve = 0;

  // How many more may be taken out.
  std::int64_t spare() const {
    return std::int64_t{this->available} - this->needed - this->reserve;
  }
  // True if the promise itself, without the reserve, does not hold now.
  bool is_broken() const { return this->available < this->needed; }
};

// The budget lines that taking `instance` out would count against.
std::vector<BudgetLine> BudgetLinesFor(const FleetState& state,
                                       const Pool& pool,
                                       const Instance& instance);

// The line of the whole pool.
BudgetLine WholePoolLine(const FleetState& state, const Pool& pool);

// The lines as a decision's inputs.
std::vector<DecisionInput> ToInputs(const std::vector<BudgetLine>& lines);

// A sentence part like "pool: 3 available, 3 needed".
std::string ToString(const BudgetLine& line);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_BUDGET_H_
