// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_CATCH_UP_TRACKER_H_
#define LIBRARIES_REPLICATION_CATCH_UP_TRACKER_H_

#include "libraries/base/names.h"

namespace sumac::replication {

// Tells whether a member has caught up with a log that goes on growing. Under
// load something is committed between any two answers of a member, so one that
// follows closely never holds all that is committed at the moment when it is
// asked about; it has caught up if it holds what was committed a look ago.
// Without that a controller that came back with an empty disk waited for a lull
// to vote again, some 5 s in a rush, and two more losses in that time left no
// quorum. Pure.
class CatchUpTracker {
 public:
  // Takes in, at each look after the members, how far the leader of `term` has
  // committed.
  void RecordCommitIndex(Term term, LogIndex commit_index) {
    this->term = term;
    this->commit_index = commit_index;
  }

  // True if a member that holds the log up to `match_index` had, at the last
  // look in this term, everything that was committed then. False before the
  // first look of a term.
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
