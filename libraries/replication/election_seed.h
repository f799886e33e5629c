// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_ELECTION_SEED_H_
#define LIBRARIES_REPLICATION_ELECTION_SEED_H_

#include <cstdint>

#include "libraries/replication/types.h"

namespace sumac::replication {

// Draws the seed of a replica's election timeouts, which differs between
// replicas and between starts. Replicas with the same seed would become
// candidates at the same time and split the votes in every round.
std::uint64_t DrawElectionSeed(const NodeId& node);

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_ELECTION_SEED_H_
