// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_MEMBERSHIP_WATCH_H_
#define LIBRARIES_REPLICATION_MEMBERSHIP_WATCH_H_

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/replication/membership_plan.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// Why a silent voter still has its vote.
enum class VoteHold {
  // It has not been silent for long enough.
  kSilentTooBriefly,
  // No member without a vote answers.
  kNoSpare,
  // Those without a vote that answer do not hold enough of the log.
  kSpareIsBehind,
  // The last change of members is not committed.
  kChangeIsOpen,
  // Nothing prevents the next change.
  kNone,
};

// Returns the name of a reason for the log.
constexpr std::string_view NameOf(VoteHold hold) {
  switch (hold) {
    case VoteHold::kSilentTooBriefly:
      return "silent-too-briefly";
    case VoteHold::kNoSpare:
      return "no-spare";
    case VoteHold::kSpareIsBehind:
      return "spare-is-behind";
    case VoteHold::kChangeIsOpen:
      return "change-is-open";
    case VoteHold::kNone:
      return "none";
  }
  return "?";
}

// Reports what a leader observes of its members and what is not visible in the
// changes that it proposes: when a member without a vote has caught up, and why
// a silent voter keeps its vote. Pure.
class MembershipWatch {
 public:
  // A voter that is silent.
  struct SilentVoter {
    NodeId node;
    Milliseconds silence{0};
    VoteHold hold = VoteHold::kNone;
  };
  // What is new since the last observation.
  struct News {
    // The learners that have caught up.
    std::vector<NodeId> caught_up;
    // The silent voters whose reason to keep the vote has changed.
    std::vector<SilentVoter> silent;
  };

  // Compares the members with those of the last call. `is_committed` is true if
  // the last change of members is committed.
  News Observe(const Membership& members,
               const std::map<NodeId, MemberHealth>& health,
               bool is_committed);

 private:
  std::set<NodeId> caught_up;
  std::map<NodeId, VoteHold> holds;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_MEMBERSHIP_WATCH_H_
