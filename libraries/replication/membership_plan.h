// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_
#define LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_

#include <map>
#include <optional>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// The health of a member, from which the leader plans changes of the group.
struct MemberHealth {
  // True if it answers and has caught up with the committed entries.
  bool is_caught_up = false;
  // True if it has answered this leader and is not silent.
  bool is_answering = false;
  // True if it has not answered for so long that a new replica of its process
  // may replace it.
  bool is_silent = false;
  // True if it has not answered for so long that a spare takes its vote.
  bool is_suspected = false;
  // True if it has not answered for so long that it is removed from the group.
  bool is_lost = false;
  // The time for which it has not answered.
  Milliseconds silence{0};
  // The position of the log since which it has been a member.
  LogIndex member_since;
  // True for the leader itself.
  bool is_leader = false;
  // True unless it has answered as a program that doesn't know joint quorums.
  bool supports_joint_quorums = false;
  // Where it runs; empty if this is not known.
  DataCentre data_centre;

  // Returns true if a spare may take its vote.
  bool may_lose_vote() const { return this->is_suspected || this->is_lost; }
};

// Returns the health of a node; that of one that does not answer if nothing is
// known of it.
MemberHealth FindHealth(const std::map<NodeId, MemberHealth>& health,
                        const NodeId& node);

// Returns the name of the process in which a replica runs; a node id has the
// form NAME.INCARNATION.
ProcessName ProcessOf(const NodeId& node);

// Returns `members` with `node` added as a learner, which replaces an earlier
// learner of the same process.
Membership WithLearner(Membership members, const NodeId& node);

// Returns the next step, if any, towards a group whose voters are all alive. A
// process that returned with a new disk becomes a voter again in three steps:
// its new replica is a learner first; once it answers and the old replica is
// silent, it is exchanged for the old one. It need not have caught up: the disk
// of the old replica is gone, so that the vote counts for nobody meanwhile.
// With `wanted_voters` above 0 the group also maintains its own size: other
// learners that have caught up are promoted until there are that many voters,
// they replace voters that are suspected, and lost learners are removed. With
// 0, every learner that has caught up is promoted.
//
// Of several spares the oldest member goes first: a machine that was just
// started may be lost together with one whose place it takes.
//
// A voter is replaced by an exchange: one step adds the learner and keeps the
// voter in the joint state, the next one ends it. So no step lowers the number
// of losses that the group bears, see CountBorneLosses, below that of the
// wanted number of voters. A voter whose vote was taken remains a member unless
// it is lost, so that it follows the log as soon as it answers. An exchange is
// taken back if the voter answers again and the learner doesn't, or if the
// voter leads.
//
// While a voter that has to count runs a program that doesn't know joint
// quorums, an exchange takes two other steps that change one voter each, and
// between them one loss less is borne: a suspected voter becomes a learner
// before the spare becomes a voter, since the spare may be lost at that moment.
//
// With `tolerated_data_centres` and `wanted_voters` above 0 the voters are also
// spread over data centres: of several learners the one that improves the
// spread most is promoted. While the loss of that many data centres would take
// a majority and every voter is well, a learner that improves the spread is
// exchanged for the voter without which the spread is best, though never for
// the leader.
std::optional<Membership> PlanNextMembers(
    const Membership& members,
    const std::map<NodeId, MemberHealth>& health,
    std::size_t wanted_voters = 0,
    std::size_t tolerated_data_centres = 0);

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_MEMBERSHIP_PLAN_H_
