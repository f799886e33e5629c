// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_
#define LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_

#include <map>
#include <optional>

#include "libraries/base/names.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// What a leader knows of another member when it looks after the group.
struct MemberHealth {
  // It answers, and holds all that is committed.
  bool is_caught_up = false;
  // It has not answered for so long that it may be replaced.
  bool is_silent = false;
  // It has not answered for so long that it is taken for lost.
  bool is_lost = false;
};

// The process that a replica runs in; a node is NAME.INCARNATION.
ProcessName ProcessOf(const NodeId& node);

// The members with `node` as a learner, in place of an earlier learner of the
// same process.
Membership WithLearner(Membership members, const NodeId& node);

// The next step, if any, towards a group of voters that are alive. A process
// that came back with a new disk is brought back to voting: its new replica
// learns; once it has caught up and the old one is silent, the old one goes;
// then the new one votes. With `wanted_voters` above 0 the group also looks
// after its own size: other learners that have caught up are promoted up to
// that number, take the place of voters that are lost, and lost learners go.
// With 0, every learner that has caught up is promoted. Each step changes one
// voter at most.
std::optional<Membership> PlanNextMembers(
    const Membership& members,
    const std::map<NodeId, MemberHealth>& health,
    std::size_t wanted_voters = 0);

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_
