// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/voter_spread.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace sumac::replication {

VoterSpread SpreadOf(
    const std::set<NodeId>& voters,
    const std::function<DataCentre(const NodeId&)>& data_centre_of) {
  std::map<DataCentre, std::size_t> by_data_centre;
  for (const NodeId& voter : voters) {
    ++by_data_centre[data_centre_of(voter)];
  }
  VoterSpread spread;
  spread.reserve(by_data_centre.size());
  for (const auto& [name, count] : by_data_centre) {
    spread.push_back(count);
  }
  std::sort(spread.begin(), spread.end(), std::greater<>());
  return spread;
}

bool SurvivesLoss(const VoterSpread& spread, std::size_t tolerated) {
  const std::size_t all =
      std::accumulate(spread.begin(), spread.end(), std::size_t{0});
  const auto end = spread.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(tolerated, spread.size()));
  const std::size_t lost = std::accumulate(spread.begin(), end, std::size_t{0});
  return (all - lost) * 2 > all;
}

}  // namespace sumac::replication
