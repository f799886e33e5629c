// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/term_watch.h"

namespace sumac::daemon {

bool TermWatch::IsOver(bool is_leader, Term term) const {
  return !this->is_idle() && (!is_leader || term != this->current);
}

bool TermWatch::TakeEpoch(Term term, bool is_committed) {
  return is_committed && this->current == term;
}

}  // namespace sumac::daemon
