// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_CATCH_UP_TRACKER_H_
#define LIBRARIES_REPLICATION_CATCH_UP_TRACKER_H_

#include "libraries/base/names.h"

namespace sumac::replication {

// Determines whether a member has caught up with a log that keeps growing.
// Under load entries are committed between any two answers of a member, so a
// member that follows closely never holds all entries committed at the moment
// of a check. It has caught up if it holds the entries that were committed at
// the previous check. Otherwise a controller that returned with an empty disk
// would get its vote back only when the load pauses, about 5 s later under
// heavy load, and two more failures within that time would leave no quorum.
// Pure.
class CatchUpTracker {
 public:
  // Records, at each check of the members, the commit index of the leader of
  // `term`.
  void RecordCommitIndex(Term term, LogIndex commit_index) {
    this->term = term;
    this->commit_index = commit_index;
  }

  // Returns true if a member that holds the log up to `match_index` holds all
  // entries that were committed at the last check in this term. Returns false
  // before the first check of a term.
  bool HasCaughtUp(Term current_term, LogIndex match_index) const {
    return current_term == this->term && this->commit_index > LogIndex(0) &&
           match_index >= this->commit_index;
  }

 private:
  Term term;
  LogIndex commit_index;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_CATCH_UP_TRACKER_H_
