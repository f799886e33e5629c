// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_VOTER_SPREAD_H_
#define LIBRARIES_REPLICATION_VOTER_SPREAD_H_

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// How many voters each data centre has, the largest number first. Of two
// spreads of the same number of voters the smaller one is the better.
using VoterSpread = std::vector<std::size_t>;

// Returns the spread of the voters. Those whose data centre is not known, that
// is empty, are taken to share one, which is the worst case.
VoterSpread SpreadOf(
    const std::set<NodeId>& voters,
    const std::function<DataCentre(const NodeId&)>& data_centre_of);

// Returns true if a majority of the voters remains after the loss of any
// `tolerated` data centres.
bool SurvivesLoss(const VoterSpread& spread, std::size_t tolerated);

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_VOTER_SPREAD_H_
