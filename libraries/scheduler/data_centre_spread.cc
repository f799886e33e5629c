// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/data_centre_spread.h"

#include <algorithm>
#include <limits>

namespace sumac::scheduler {
namespace {

constexpr std::uint32_t kLastRank = std::numeric_limits<std::uint32_t>::max();

}  // namespace

DataCentreWish WishFor(const jobs::StepSpec& step) {
  if (step.is_gang) {
    return DataCentreWish::kTogether;
  }
  return step.is_long_running || step.has_disruption_budget
             ? DataCentreWish::kApart
             : DataCentreWish::kNone;
}

void DataCentreSpread::Add(const DataCentre& data_centre) {
  if (this->IsKnown(data_centre)) {
    ++this->tasks[data_centre];
  }
}

std::uint32_t DataCentreSpread::RankOf(const DataCentre& data_centre) const {
  if (this->wish == DataCentreWish::kNone) {
    return 0;
  }
  if (!this->IsKnown(data_centre)) {
    return kLastRank;
  }
  const auto found = this->tasks.find(data_centre);
  const std::uint32_t here = found == this->tasks.end() ? 0 : found->second;
  if (this->wish == DataCentreWish::kApart) {
    return here;
  }
  // The data centre with the most of the tasks comes first.
  std::uint32_t most = 0;
  for (const auto& [name, count] : this->tasks) {
    most = std::max(most, count);
  }
  return most - here;
}

std::uint32_t DataCentreSpread::CountLeftAfterLoss() const {
  std::uint32_t all = 0;
  std::uint32_t most = 0;
  for (const auto& [name, count] : this->tasks) {
    all += count;
    most = std::max(most, count);
  }
  return all - most;
}

}  // namespace sumac::scheduler
