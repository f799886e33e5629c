// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_ADMISSION_H_
#define LIBRARIES_SCHEDULER_ADMISSION_H_

#include <cstddef>

#include "libraries/base/time.h"
#include "libraries/scheduler/start_allowance.h"

namespace sumac::scheduler {

// A range of lateness over which a leader accepts a decreasing share of one
// kind of work: all of it up to `all_up_to`, none from `none_from` on.
struct LatenessRange {
  Milliseconds all_up_to{0};
  Milliseconds none_from{0};

  // Returns the share of the work that is accepted at a lateness, from 0 to 1.
  double ShareAt(Milliseconds late) const;
};

// The lateness of its event loop from which a leader accepts less work. The
// least valuable work is cut first, so that limiting the open starts keeps the
// lateness in bounds before callers are refused.
struct AdmissionSettings {
  // Starts for jobs that can no longer be in time, which only a leader with
  // time to spare orders. On an idle leader the loop is 0 to 5 ms late.
  LatenessRange late_starts{Milliseconds(10), Milliseconds(60)};
  // Starts for the other jobs. An order counts as unanswered after 400 ms, and
  // resolving an unanswered order costs more than the order did.
  LatenessRange starts{Milliseconds(40), Milliseconds(160)};
  // New jobs. Accepting one costs a twentieth of what its starts and ends cost,
  // and the more jobs the leader knows, the better it can choose among them.
  // Followers wait 450 ms for a heartbeat, and a leader that loses its
  // leadership under load serves nobody for seconds.
  LatenessRange jobs{Milliseconds(110), Milliseconds(250)};
  // The maximum number of unanswered starts on a leader that is in time, and on
  // one as late as the ranges above allow. A rack that fails leaves some
  // hundred of them unanswered until its silence is detected.
  std::size_t max_open_starts = 600;
  std::size_t min_open_starts = 16;
  // The maximum number of starts that one planning pass orders: some 25 ms of a
  // third of a core. A pass that ordered a whole backlog of thousands at once
  // would hold memory and connections for all of them before the first answer
  // is read.
  std::size_t max_starts_per_pass = 250;
  // The number of jobs that a leader that was in time accepts in a row before
  // the share applies, so that a single stall of the loop refuses nobody.
  double burst = 4;
  // When a refused caller should retry. A load spike that makes a leader only a
  // little late is over within the short time, one that saturates it within the
  // long time.
  Milliseconds short_retry{1'000};
  Milliseconds long_retry{2'000};
};

// Limits the load on a leader that receives more jobs than it has processor
// time for: the later its event loop is, the smaller the share of new jobs that
// it accepts, so that heartbeats, lease renewals and the jobs already accepted
// proceed. A refused job has not run. Pure.
class Admission {
 public:
  explicit Admission(AdmissionSettings settings = {}) : settings(settings) {}

  // Records how long a received message waited until the event loop read it.
  void RecordLateness(Milliseconds late);

  // Decides whether one new job is accepted. The accepted jobs are spread
  // evenly over those that arrive.
  bool AdmitJob();

  // Returns how many starts the next planning pass may order while
  // `open_starts` are unanswered. A late leader starts fewer tasks and keeps
  // those that run.
  StartAllowance AllowStarts(std::size_t open_starts) const;

  // Returns when a caller that is refused now should retry.
  Milliseconds RetryAfter() const;

  Milliseconds lateness() const { return this->smoothed; }

 private:
  // Returns how many more starts may be open at the present lateness.
  std::size_t StartsLeft(const LatenessRange& range,
                         std::size_t open_starts) const;

  AdmissionSettings settings;
  Milliseconds smoothed{0};
  // The number of jobs that may be accepted before the next one is refused.
  double credit = this->settings.burst;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_ADMISSION_H_
