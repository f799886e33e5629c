// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ADMISSION_H_
#define LIBRARIES_SCHEDULER_ADMISSION_H_

#include "libraries/base/time.h"

namespace sumac::scheduler {

// From which lateness of its own loop a leader turns new jobs away.
struct AdmissionSettings {
  // Up to this every job is taken. A rush that the leader gets over makes its
  // timers some tens of milliseconds late.
  Milliseconds all_up_to{120};
  // From here on none is: followers wait 450 ms for a heartbeat, and a leader
  // that loses its place to a rush serves nobody for seconds.
  Milliseconds none_from{360};
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

  // Takes in how late a timer of the loop fired.
  void NoteLateness(Milliseconds late);

  // Decides about one new job; the jobs that are taken are spread evenly over
  // those that come.
  bool Take();

  // When a caller who is refused now should come back.
  Milliseconds RetryAfter() const;

  Milliseconds lateness() const { return this->smoothed; }

 private:
  // The share of new jobs that is taken, from 0 to 1.
  double Share() const;

  AdmissionSettings settings;
  Milliseconds smoothed{0};
  // Jobs that may be taken before the next one is refused.
  double credit = 1;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ADMISSION_H_
