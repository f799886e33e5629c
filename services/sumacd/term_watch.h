// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_TERM_WATCH_H_
#define SERVICES_SUMACD_TERM_WATCH_H_

#include "libraries/base/names.h"

namespace sumac::daemon {

// Follows in which term a controller decides. Pure.
class TermWatch {
 public:
  // The term in which it decides, or began to; 0 while it does neither.
  Term term() const { return this->current; }
  // True if it neither decides nor began to.
  bool is_idle() const { return this->current == Term(0); }

  // True if what it began is over, now that its replica leads `term` or does
  // not lead.
  bool IsOver(bool is_leader, Term term) const;

  // Takes in that the epoch of a term was asked for.
  void Begin(Term term) { this->current = term; }
  // Takes in that it decides no more.
  void End() { this->current = Term(0); }

  // Takes in how asking for the epoch of `term` ended; true if it decides from
  // now on. After a refusal it is idle again and may ask anew.
  bool HandleEpochResult(Term term, bool is_committed);

 private:
  Term current;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_TERM_WATCH_H_
