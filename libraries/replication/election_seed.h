// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_ELECTION_SEED_H_
#define LIBRARIES_REPLICATION_ELECTION_SEED_H_

#include <cstdint>

#include "libraries/replication/types.h"

namespace sumac::replication {

// The seed of a replica's election timeouts: another one for each replica and
// for each start. Replicas that draw alike stand at the same moment and split
// the votes round after round.
std::uint64_t DrawElectionSeed(const NodeId& node);

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_ELECTION_SEED_H_
