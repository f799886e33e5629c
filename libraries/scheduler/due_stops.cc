// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/due_stops.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {

std::vector<Run*> SelectDueStops(
    WorkerSession& session,
    const std::function<bool(const Run&)>& is_known,
    SteadyTime now) {
  std::vector<Run*> selected;
  std::vector<std::pair<bool, Run*>> foreign;
  std::size_t open = 0;
  for (auto& [key, run] : session.runs()) {
    if (run.phase != RunPhase::kStopping) {
      continue;
    }
    const bool is_due = now >= run.stop_due;
    if (!run.is_adopted) {
      if (is_due) {
        selected.push_back(&run);
      }
    } else if (is_due) {
      foreign.emplace_back(!is_known(run), &run);
    } else {
      ++open;
    }
  }
  const std::size_t allowed =
      std::min(foreign.size(),
               kMaxOpenForeignStops - std::min(open, kMaxOpenForeignStops));
  std::ranges::partial_sort(
      foreign, foreign.begin() + static_cast<std::ptrdiff_t>(allowed), {},
      [](const auto& entry) {
        return std::pair(entry.first, entry.second->stop_due);
      });
  for (std::size_t place = 0; place < allowed; ++place) {
    selected.push_back(foreign[place].second);
  }
  return selected;
}

}  // namespace sumac::scheduler
