// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_DURABLE_VOTES_H_
#define TESTS_LIBRARIES_REPLICATION_DURABLE_VOTES_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "libraries/replication/types.h"

namespace sumac::replication {

// A view of what a replica's disk holds.
struct DurableReplica {
  NodeId id;
  SnapshotMeta snapshot;
  // Contiguous, from the snapshot's position on.
  std::span<const Entry> entries;
  // True if it replaces a disk whose loss still counts.
  bool is_loss_free = false;
};

// Whether a replica refuses to vote until its own log makes it a voter.
enum class VoteRule { kOnlyVotersByOwnLog, kAnyReplica };

// Checks, for each set of disks that may be lost now, that after a loss of
// power of all machines some replica can win an election among the disks that
// are left, and that whoever can win holds all that is committed. At most
// `max_lost` disks may be lost besides those whose loss is free. Returns a
// description of the first set that breaks this, or an empty string. Pure.
//
// Terms and votes play no part: a candidate can raise the term until nobody has
// voted in it. By the log matching property a log that holds the last committed
// entry holds all before it.
std::string CheckDurableVotes(const std::vector<DurableReplica>& replicas,
                              const Entry& last_committed,
                              std::size_t max_lost,
                              VoteRule rule);

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_DURABLE_VOTES_H_
