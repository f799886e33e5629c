// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ADMISSION_H_
#define LIBRARIES_SCHEDULER_ADMISSION_H_

#include <cstddef>

#include "libraries/base/time.h"

namespace sumac::scheduler {

// From which lateness of its own loop a leader turns new jobs away.
struct AdmissionSettings {
  // Up to this every job is taken. A rush that the leader gets over makes it
  // some tens of milliseconds late.
  Milliseconds all_up_to{80};
  // From here on none is. Followers wait 450 ms for a heartbeat, and a leader
  // that loses its place to a rush serves nobody for seconds; an order counts
  // as unanswered after 400 ms, and settling it costs more than it did.
  Milliseconds none_from{250};
  // Starts that may be unanswered at once: on a leader that is in time, and on
  // one that is as late as above. A rack that went dark takes some hundred of
  // them until its silence is noticed.
  std::size_t most_open_starts = 600;
  std::size_t fewest_open_starts = 16;
  // Jobs that a leader which is in time takes in a row before it looks at the
  // share again, so that one stall refuses nobody.
  double burst = 4;
  // When a caller who was refused should come back: a rush that makes a leader
  // a little late is over in the one time, one that fills it in the other.
  Milliseconds short_retry{1'000};
  Milliseconds long_retry{2'000};
};

// Answers a rush that brings more jobs than the leader has processor time for:
// the later its loop is, the smaller a share of new jobs it takes, so that
// heartbeats, renewals and what it has accepted go on. What is refused has not
// run. Pure.
class Admission {
 public:
  explicit Admission(AdmissionSettings settings = {}) : settings(settings) {}

  // Takes in how long what has come waited until the loop read it.
  void NoteLateness(Milliseconds late);

  // Decides about one new job; the jobs that are taken are spread evenly over
  // those that come.
  bool Take();

  // How many starts may be unanswered now: a late leader starts less, and keeps
  // what runs.
  std::size_t OpenStarts() const;

  // When a caller who is refused now should come back.
  Milliseconds RetryAfter() const;

  Milliseconds lateness() const { return this->smoothed; }

 private:
  // The share of new jobs that is taken, from 0 to 1.
  double Share() const;

  AdmissionSettings settings;
  Milliseconds smoothed{0};
  // Jobs that may be taken before the next one is refused.
  double credit = this->settings.burst;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ADMISSION_H_
