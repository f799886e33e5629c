// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ADMISSION_H_
#define LIBRARIES_SCHEDULER_ADMISSION_H_

#include <cstddef>

#include "libraries/base/time.h"
#include "libraries/scheduler/start_allowance.h"

namespace sumac::scheduler {

// A span of lateness in which a leader takes on less and less of one kind of
// work: all of it up to where it begins, and none from where it ends.
struct LatenessRange {
  Milliseconds all_up_to{0};
  Milliseconds none_from{0};

  // The share that is taken on at a lateness, from 0 to 1.
  double ShareAt(Milliseconds late) const;
};

// From which lateness of its own loop a leader takes on less work. What earns
// least goes first, so that the window of starts holds the lateness before
// callers are turned away.
struct AdmissionSettings {
  // Starts for jobs that can't be in time any more: only on a leader that has
  // time to spare. On an idle one the loop is 0 to 5 ms late.
  LatenessRange late_starts{Milliseconds(10), Milliseconds(60)};
  // Starts for the others. An order counts as unanswered after 400 ms, and
  // settling it costs more than it did.
  LatenessRange starts{Milliseconds(40), Milliseconds(160)};
  // New jobs. Taking one costs a twentieth of what its starts and ends cost,
  // and the leader chooses best among those that it knows. Followers wait 450
  // ms for a heartbeat, and a leader that loses its place to a rush serves
  // nobody for seconds.
  LatenessRange jobs{Milliseconds(110), Milliseconds(250)};
  // Starts that may be unanswered at once: on a leader that is in time, and on
  // one that is as late as above. A rack that went dark takes some hundred of
  // them until its silence is noticed.
  std::size_t max_open_starts = 600;
  std::size_t min_open_starts = 16;
  // Starts that one pass orders at most: some 25 ms of a third of a core. A
  // pass that ordered a whole backlog of thousands at once would hold memory
  // and connections for all of them before the first answer is read.
  std::size_t max_starts_per_pass = 250;
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
  void RecordLateness(Milliseconds late);

  // Decides about one new job; the jobs that are taken are spread evenly over
  // those that come.
  bool AdmitJob();

  // How many starts the next pass may order while `open_starts` are unanswered:
  // a late leader starts less, and keeps what runs.
  StartAllowance AllowStarts(std::size_t open_starts) const;

  // When a caller who is refused now should come back.
  Milliseconds RetryAfter() const;

  Milliseconds lateness() const { return this->smoothed; }

 private:
  // How many more starts may be open at the present lateness.
  std::size_t StartsLeft(const LatenessRange& range,
                         std::size_t open_starts) const;

  AdmissionSettings settings;
  Milliseconds smoothed{0};
  // Jobs that may be taken before the next one is refused.
  double credit = this->settings.burst;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ADMISSION_H_
