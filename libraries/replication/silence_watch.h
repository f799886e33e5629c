// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_SILENCE_WATCH_H_
#define LIBRARIES_REPLICATION_SILENCE_WATCH_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// How long each member of a group has given no sign of life while a leader
// watched it. The leader counts the time and reports it with its heartbeats;
// followers keep the last report, so that the next leader continues the count
// rather than begin at zero. Pure.
class SilenceWatch {
 public:
  // `heartbeat_interval` and `election_timeout` are those of the group.
  SilenceWatch(Milliseconds heartbeat_interval, Milliseconds election_timeout);

  // Replaces what is known by the report of `leader`.
  void RecordReport(const NodeId& leader,
                    const std::vector<MemberSilence>& report,
                    SteadyTime now);

  // Starts to count as the leader of `members`. The voters `answered` have just
  // given their vote, so they are not silent. The time since the last report is
  // added to the silence of the leader that made it and of the members that it
  // names. It is limited to the duration of an election: a longer time without
  // a leader says nothing about one member.
  void BeginLeading(const Membership& members,
                    const NodeId& self,
                    const std::set<NodeId>& answered,
                    SteadyTime now);

  // Applies a change of members. A new member starts without silence.
  void UpdateMembers(const Membership& members, const NodeId& self);

  // Adds the time since the last call to the silence of all members. A longer
  // pause between two calls is one of this process, which could not have read
  // an answer, so at most two heartbeat intervals are added.
  void Count(SteadyTime now);

  // Records that a member has answered this leader.
  void RecordAnswer(const NodeId& member);

  // Returns for how long the leader may consider a member silent. What earlier
  // leaders counted is included only once this leader has itself counted for an
  // election timeout.
  Milliseconds SilenceOf(const NodeId& member) const;

  // Returns the members that have missed heartbeats, for the followers.
  std::vector<MemberSilence> Report() const;

 private:
  struct Silence {
    // Includes what earlier leaders counted.
    Milliseconds total{0};
    // Counted by this leader.
    Milliseconds own{0};
  };

  // Returns true if a member has missed heartbeats.
  bool HasMissedHeartbeats(const Silence& silence) const {
    return silence.total > this->max_step;
  }

  Milliseconds max_step;
  Milliseconds max_gap;
  Milliseconds min_own_silence;
  std::map<NodeId, Silence> silences;
  // The leader that made the last report, if this replica has not led since.
  std::optional<NodeId> reporter;
  // The time of the last report or count; unset before the first.
  std::optional<SteadyTime> counted_until;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_SILENCE_WATCH_H_
