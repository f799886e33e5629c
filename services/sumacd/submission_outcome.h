// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_SUBMISSION_OUTCOME_H_
#define SERVICES_SUMACD_SUBMISSION_OUTCOME_H_

#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/result_code.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"

namespace sumac::daemon {

// What is known about one attempt to hand a request to a controller.
enum class AttemptResult {
  // Nothing of the request was written: the connection was refused or never
  // opened, or the controller was known to be silent.
  kNotSent,
  // The controller answered that it does not lead, so it did not take the
  // request.
  kNotTaken,
  // The request was written, and no answer tells whether it was taken.
  kNoAnswer,
  // The leader answered that it did not take the request, which may succeed
  // later or by another declaration.
  kRefused,
  // The leader gave any other answer.
  kAnswered,
};

// Returns what the answer of one attempt tells. The code kNoControllerInTime
// stands for a request of which nothing was written.
AttemptResult ResultOf(const fleet::Answer& answer);

// How long a request may look for a leader.
struct SearchLimits {
  // The time for a request that has certainly not run. The caller can try again
  // as soon as it is refused, so a late refusal is worth less than an early
  // one.
  Milliseconds not_run{0};
  // The time for a request that may have run. Until its outcome is known the
  // caller can do nothing, and the next leader can still tell it.
  Milliseconds total{0};
  // False for a question, which changes nothing however often it is asked.
  bool has_effect = true;
};

// Returns the limits for a request whose caller waits this long. A request that
// has not run is refused early if that leaves its caller time for another try,
// and is otherwise kept until the end, as its refusal would help nobody.
SearchLimits LimitsFor(Milliseconds callers_time);

// Decides after each attempt whether another one may follow, and what may be
// said about the request at the end. It never says that a request has not run
// if an attempt may have handed it to a controller.
class SubmissionOutcome {
 public:
  enum class Next {
    // The answer of the attempt is the answer to the caller.
    kReturnAnswer,
    // Another attempt may follow.
    kTryAgain,
  };

  // `controllers` are those that can be asked in turn.
  SubmissionOutcome(SearchLimits limits,
                    const std::vector<ProcessName>& controllers,
                    SteadyTime began_at);

  // Records the result of an attempt at this controller.
  Next Record(const ProcessName& controller, AttemptResult result);

  // Returns true if no further attempt may follow.
  bool IsOver(SteadyTime now) const;

  // Returns the time left for an attempt. It counts to the later of the two
  // limits, as an attempt that is written should not be given up early.
  Milliseconds TimeLeft(SteadyTime now) const;

  // Returns the code of the answer to the caller when the search is over
  // without an answer of a leader: kNoLeader if the request has certainly not
  // run, kTimeout otherwise.
  ResultCode FinalCode() const;

  // Returns true if every controller was asked, and most of them could not be
  // reached, so that no leader can be found from here.
  bool IsCutOff() const;

  bool may_have_run() const { return this->has_unanswered_attempt; }

 private:
  SearchLimits limits;
  std::set<ProcessName> controllers;
  SteadyTime began_at{};
  bool has_unanswered_attempt = false;
  // Those of the controllers that were asked, and those of them that could not
  // be reached at the last attempt.
  std::set<ProcessName> asked;
  std::set<ProcessName> out_of_reach;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_SUBMISSION_OUTCOME_H_
