// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_TERM_WATCH_H_
#define SERVICES_SUMACD_TERM_WATCH_H_

#include "libraries/base/names.h"

namespace sumac::daemon {

// Tracks the term in which a controller acts as leader. Its epoch must be
// committed before it does so. Pure.
class TermWatch {
 public:
  // Returns the term in which the controller acts or has proposed its epoch; 0
  // if there is none.
  Term term() const { return this->current; }
  // True if the controller neither acts nor has proposed its epoch.
  bool is_idle() const { return this->current == Term(0); }

  // True if the tracked leadership is over, given whether the replica leads and
  // its current term.
  bool IsOver(bool is_leader, Term term) const;

  // Records that the epoch of a term was proposed.
  void Begin(Term term) { this->current = term; }
  // Records that the leadership ended.
  void End() { this->current = Term(0); }

  // Handles the result of proposing the epoch of `term`. Returns true if the
  // controller acts as leader from now on. After a refusal it is idle and may
  // propose the epoch again.
  bool HandleEpochResult(Term term, bool is_committed);

 private:
  Term current;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_TERM_WATCH_H_
