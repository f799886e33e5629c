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
};

// The process that a replica runs in; a node is NAME.INCARNATION.
ProcessName ProcessOf(const NodeId& node);

// The members with `node` as a learner, in place of an earlier learner of the
// same process.
Membership WithLearner(Membership members, const NodeId& node);

// The next step, if any, that brings a process with a new disk back to voting:
// its new replica learns; once it has caught up and the old one is silent, the
// old one goes; then the new one votes. Each step changes one voter at most.
std::optional<Membership> PlanNextMembers(
    const Membership& members,
    const std::map<NodeId, MemberHealth>& health);

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_
