// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/order_gate.h"

#include <variant>

namespace sumac::daemon {

bool MayStartOn(const jobs::JobsState& state, const WorkerId& worker) {
  const jobs::Worker* found = state.FindWorker(worker);
  return found == nullptr || state.IsInUse(found->data_centre);
}

bool MayLeave(const scheduler::Order& order,
              const jobs::JobsState& state,
              bool may_act) {
  const auto* start = std::get_if<scheduler::StartOrder>(&order);
  return may_act && (start == nullptr || MayStartOn(state, start->worker));
}

}  // namespace sumac::daemon
