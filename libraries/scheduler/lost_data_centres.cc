// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/lost_data_centres.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// More workers than a single task can crash before it is given up.
constexpr std::size_t kFewestGone = 4;
// The share of a data centre's workers that are gone when it is lost, as a
// fraction. Below half of them it is back.
constexpr std::size_t kLostNumerator = 3;
constexpr std::size_t kLostDenominator = 4;
// Within this time the workers of a lost data centre fail to answer: the
// longest wait of a renewal and the limit of a call, with a margin.
constexpr Milliseconds kOnsetTime{3'000};
// How long the end of an incarnation counts.
constexpr Milliseconds kEndMemory{10'000};

}  // namespace

void LostDataCentres::RecordEnd(const DataCentre& data_centre,
                                SteadyTime silent_since) {
  if (this->is_on()) {
    this->ends[data_centre].push_back(silent_since);
  }
}

bool LostDataCentres::HasCommonCause(std::vector<SteadyTime> onsets,
                                     std::size_t workers) {
  std::sort(onsets.begin(), onsets.end());
  std::size_t most = 0;
  auto first = onsets.begin();
  for (auto last = onsets.begin(); last != onsets.end(); ++last) {
    while (*last - *first > kOnsetTime) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most >= kFewestGone &&
         most * kLostDenominator >= workers * kLostNumerator;
}

std::vector<DataCentreChange> LostDataCentres::HandleCensus(
    const std::map<DataCentre, DataCentreCensus>& census,
    SteadyTime now) {
  if (!this->is_on()) {
    return {};
  }
  std::vector<DataCentreChange> lost_now;
  std::vector<DataCentreChange> back_now;
  std::size_t lost_count = 0;
  for (auto& [name, times] : this->ends) {
    std::erase_if(times,
                  [now](SteadyTime end) { return now - end > kEndMemory; });
  }
  std::erase_if(this->ends, [](const auto& end) { return end.second.empty(); });
  std::set<DataCentre> names = this->lost;
  for (const auto& [name, workers] : census) {
    names.insert(name);
  }
  for (const auto& [name, times] : this->ends) {
    names.insert(name);
  }
  for (const DataCentre& name : names) {
    const auto counted = census.find(name);
    const auto ended = this->ends.find(name);
    std::vector<SteadyTime> onsets = counted == census.end()
                                         ? std::vector<SteadyTime>()
                                         : counted->second.silent_since;
    std::size_t workers = counted == census.end() ? 0 : counted->second.workers;
    if (ended != this->ends.end()) {
      onsets.insert(onsets.end(), ended->second.begin(), ended->second.end());
      workers += ended->second.size();
    }
    DataCentreChange change{.data_centre = name,
                            .is_lost = true,
                            .workers = workers,
                            .gone = onsets.size()};
    if (this->IsLost(name)) {
      const bool is_back = change.gone * 2 < workers || workers == 0;
      change.is_lost = !is_back;
      (is_back ? back_now : lost_now).push_back(change);
    } else if (HasCommonCause(std::move(onsets), workers)) {
      lost_now.push_back(change);
    }
  }
  lost_count = lost_now.size();
  std::vector<DataCentreChange> changes;
  for (DataCentreChange& change : back_now) {
    this->lost.erase(change.data_centre);
    changes.push_back(std::move(change));
  }
  if (lost_count > this->tolerated) {
    return changes;
  }
  for (DataCentreChange& change : lost_now) {
    if (this->lost.insert(change.data_centre).second) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

}  // namespace sumac::scheduler
