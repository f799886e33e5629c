// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/term_watch.h"

namespace sumac::daemon {

bool TermWatch::IsOver(bool is_leader, Term term) const {
  return !this->is_idle() && (!is_leader || term != this->current);
}

bool TermWatch::HandleEpochResult(Term term, bool is_committed) {
  if (this->current != term) {
    return false;
  }
  if (!is_committed) {
    // The lease may come back in the same term, and without an epoch nothing
    // would decide in it.
    this->End();
  }
  return is_committed;
}

}  // namespace sumac::daemon
