// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/submission_outcome.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sumac::daemon {
namespace {

using Next = SubmissionOutcome::Next;
using enum AttemptResult;

constexpr SteadyTime kStart{Milliseconds(1'000'000)};
constexpr SearchLimits kLimits{.not_run = Milliseconds(500),
                               .total = Milliseconds(2'850)};
const std::vector<ProcessName> kControllers = {
    ProcessName("c1"), ProcessName("c2"), ProcessName("c3")};

// Returns the controller that the attempt with this number asks.
const ProcessName& Asked(std::size_t attempt) {
  return kControllers[attempt % kControllers.size()];
}

SubmissionOutcome After(const std::vector<AttemptResult>& results) {
  SubmissionOutcome outcome(kLimits, kControllers, kStart);
  for (std::size_t number = 0; number < results.size(); ++number) {
    outcome.Record(Asked(number), results[number]);
  }
  return outcome;
}

// What may be said and done after some attempts.
struct Case {
  std::string name;
  std::vector<AttemptResult> earlier;
  AttemptResult last;
  Next next;
  // The final code if no further attempt follows.
  ResultCode final_code;
  // Whether the search is over right away, and after the limits.
  bool is_over_now;
  bool is_over_after_not_run;
};

std::vector<Case> Cases() {
  return {
      {"never connected",
       {},
       kNotSent,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       false,
       true},
      {"two of three controllers not asked yet",
       {},
       kNotSent,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       false,
       true},
      {"one of three controllers not asked yet",
       {kNotSent},
       kNotSent,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       false,
       true},
      {"no controller can be reached",
       {kNotSent, kNotSent},
       kNotSent,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       true,
       true},
      {"only a minority can be reached",
       {kNotSent, kNotSent},
       kNotTaken,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       true,
       true},
      {"a majority can be reached",
       {kNotSent, kNotTaken},
       kNotTaken,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       false,
       true},
      {"one can be reached again",
       {kNotSent, kNotSent, kNotTaken},
       kNotTaken,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       false,
       true},
      {"an election",
       {kNotTaken, kNotTaken, kNotTaken, kNotTaken},
       kNotTaken,
       Next::kTryAgain,
       ResultCode::kNoLeader,
       false,
       true},
      {"written without an answer",
       {},
       kNoAnswer,
       Next::kTryAgain,
       ResultCode::kTimeout,
       false,
       false},
      {"written, and then nobody can be reached",
       {kNoAnswer, kNotSent, kNotSent},
       kNotSent,
       Next::kTryAgain,
       ResultCode::kTimeout,
       false,
       false},
      {"written, and then an election",
       {kNoAnswer},
       kNotTaken,
       Next::kTryAgain,
       ResultCode::kTimeout,
       false,
       false},
      {"refused",
       {},
       kRefused,
       Next::kReturnAnswer,
       ResultCode::kNoLeader,
       false,
       true},
      {"refused after attempts that were not written",
       {kNotSent, kNotTaken},
       kRefused,
       Next::kReturnAnswer,
       ResultCode::kNoLeader,
       false,
       true},
      {"refused after an attempt without an answer",
       {kNoAnswer, kNotTaken},
       kRefused,
       Next::kTryAgain,
       ResultCode::kTimeout,
       false,
       false},
      {"answered",
       {},
       kAnswered,
       Next::kReturnAnswer,
       ResultCode::kNoLeader,
       false,
       true},
      {"answered after an attempt without an answer",
       {kNoAnswer},
       kAnswered,
       Next::kReturnAnswer,
       ResultCode::kTimeout,
       false,
       false},
  };
}

TEST(SubmissionOutcomeTest, WhatIsKnownDecidesWhatIsSaid) {
  for (const Case& item : Cases()) {
    SCOPED_TRACE(item.name);
    SubmissionOutcome outcome = After(item.earlier);
    EXPECT_EQ(outcome.Record(Asked(item.earlier.size()), item.last), item.next);
    EXPECT_EQ(outcome.FinalCode(), item.final_code);
    EXPECT_EQ(outcome.IsOver(kStart), item.is_over_now);
    EXPECT_EQ(outcome.IsOver(kStart + kLimits.not_run),
              item.is_over_after_not_run);
    EXPECT_TRUE(outcome.IsOver(kStart + kLimits.total));
  }
}

TEST(SubmissionOutcomeTest, AnAttemptMayTakeTheWholeTimeOfTheCaller) {
  const SubmissionOutcome outcome = After({kNotTaken});
  EXPECT_EQ(outcome.TimeLeft(kStart), kLimits.total);
  EXPECT_EQ(outcome.TimeLeft(kStart + kLimits.not_run),
            kLimits.total - kLimits.not_run);
}

TEST(SubmissionOutcomeTest, TheShorterLimitHoldsIfTheCallerHasLessTime) {
  const SubmissionOutcome outcome(
      {.not_run = Milliseconds(500), .total = Milliseconds(90)}, kControllers,
      kStart);
  EXPECT_FALSE(outcome.IsOver(kStart + Milliseconds(89)));
  EXPECT_TRUE(outcome.IsOver(kStart + Milliseconds(90)));
}

// A refusal that leaves no time for another try helps nobody.
TEST(SubmissionOutcomeTest, ALastTryKeepsLookingForALeaderUntilItsEnd) {
  const SearchLimits first = LimitsFor(Milliseconds(2'850));
  EXPECT_EQ(first.not_run, Milliseconds(500));
  EXPECT_EQ(first.total, Milliseconds(2'850));
  const SearchLimits last = LimitsFor(Milliseconds(1'350));
  EXPECT_EQ(last.not_run, Milliseconds(1'350));
  EXPECT_EQ(last.total, Milliseconds(1'350));
}

TEST(SubmissionOutcomeTest, CodesTellWhatIsKnown) {
  const auto result_of = [](ResultCode code) {
    return ResultOf(fleet::Answer{.code = code});
  };
  EXPECT_EQ(result_of(ResultCode::kNoControllerInTime), kNotSent);
  EXPECT_EQ(result_of(ResultCode::kNotLeader), kNotTaken);
  EXPECT_EQ(result_of(ResultCode::kNoLeader), kNotTaken);
  EXPECT_EQ(result_of(ResultCode::kUnreachable), kNoAnswer);
  EXPECT_EQ(result_of(ResultCode::kTimeout), kNoAnswer);
  EXPECT_EQ(result_of(ResultCode::kOverloaded), kRefused);
  EXPECT_EQ(result_of(ResultCode::kCallerLimit), kRefused);
  EXPECT_EQ(result_of(ResultCode::kNothingDeclared), kRefused);
  // A later attempt may find another declaration than an earlier one did.
  EXPECT_EQ(result_of(ResultCode::kUnknownQueue), kRefused);
  EXPECT_EQ(result_of(ResultCode::kNoCredentials), kRefused);
  EXPECT_EQ(result_of(ResultCode::kUnknownKey), kRefused);
  EXPECT_EQ(result_of(ResultCode::kForeignJob), kRefused);
  EXPECT_EQ(result_of(ResultCode::kAboveQuota), kRefused);
  EXPECT_EQ(result_of(ResultCode::kOk), kAnswered);
  EXPECT_EQ(result_of(ResultCode::kBadRequest), kAnswered);
  EXPECT_EQ(result_of(ResultCode::kUnknownJob), kAnswered);
}

// A caller was told that no queue takes its job, although an attempt before the
// queue was removed had been accepted.
TEST(SubmissionOutcomeTest, ARefusalByDeclarationSaysNothingOfEarlierAttempts) {
  SubmissionOutcome outcome = After({kNoAnswer});
  const AttemptResult refused = ResultOf({.code = ResultCode::kUnknownQueue});
  EXPECT_EQ(outcome.Record(Asked(1), refused), Next::kTryAgain);
  EXPECT_EQ(outcome.FinalCode(), ResultCode::kTimeout);
  EXPECT_EQ(After({}).Record(Asked(0), refused), Next::kReturnAnswer);
}

TEST(SubmissionOutcomeTest, ARefusedQuestionIsAnsweredAtOnce) {
  SearchLimits limits = kLimits;
  limits.has_effect = false;
  SubmissionOutcome outcome(limits, kControllers, kStart);
  outcome.Record(Asked(0), kNoAnswer);
  EXPECT_EQ(outcome.Record(Asked(1), kRefused), Next::kReturnAnswer);
}

// A job that is submitted to controllers whose connections and leadership get
// lost. It is accepted once its entry is committed.
class LossyControllers {
 public:
  // What becomes of one attempt.
  enum class Fate {
    kConnectFails,
    kDoesNotLead,
    // The request never arrives.
    kWriteLost,
    // The request arrives after the attempt was given up.
    kWriteLate,
    // The job is committed; the answer gets lost.
    kAnswerLost,
    // The leader is lost with the entry in its log only.
    kEntryLost,
    // The next leader has the entry in its log and commits it later.
    kEntryCommitsLate,
    // The leader has no room for a job that it does not know.
    kNoRoom,
    kAccepted,
    kCount,
  };

  // Makes one attempt and returns the answer that it gets.
  fleet::Answer Attempt(Fate fate) {
    switch (fate) {
      case Fate::kConnectFails:
        return {.code = ResultCode::kNoControllerInTime};
      case Fate::kDoesNotLead:
        return {.code = ResultCode::kNotLeader};
      case Fate::kWriteLost:
        return {.code = ResultCode::kTimeout};
      case Fate::kWriteLate:
        ++this->writes_on_their_way;
        return {.code = ResultCode::kUnreachable};
      case Fate::kAnswerLost:
        this->is_committed = true;
        return {.code = ResultCode::kUnreachable};
      case Fate::kEntryLost:
        return {.code = ResultCode::kTimeout};
      case Fate::kEntryCommitsLate:
        this->has_open_entry = true;
        return {.code = ResultCode::kTimeout};
      case Fate::kNoRoom:
        return this->is_committed
                   ? fleet::Answer::Success("accepted before")
                   : fleet::Answer{.code = ResultCode::kOverloaded};
      default:
        this->is_committed = true;
        return fleet::Answer::Success("accepted");
    }
  }

  // Time goes by: what is on its way arrives.
  void Settle() {
    this->is_committed = this->is_committed || this->has_open_entry ||
                         this->writes_on_their_way > 0;
  }

  bool is_accepted() const { return this->is_committed; }

 private:
  bool is_committed = false;
  bool has_open_entry = false;
  int writes_on_their_way = 0;
};

// Returns the code that the caller gets for these attempts; the search is over
// after the last of them at the latest.
ResultCode Search(const std::vector<LossyControllers::Fate>& fates,
                  Milliseconds pause,
                  LossyControllers& controllers) {
  SubmissionOutcome outcome(kLimits, kControllers, kStart);
  SteadyTime now = kStart;
  std::size_t number = 0;
  for (const LossyControllers::Fate fate : fates) {
    if (outcome.IsOver(now)) {
      break;
    }
    const fleet::Answer answer = controllers.Attempt(fate);
    if (outcome.Record(Asked(number++), ResultOf(answer)) ==
        Next::kReturnAnswer) {
      return answer.code;
    }
    now += pause;
  }
  return outcome.FinalCode();
}

// Guards at-most-once: a caller that is told that its job has not run submits
// it again under another id.
RC_GTEST_PROP(SubmissionOutcomeTest,
              NoJobIsSaidNotToRunThatIsOrWillBeAccepted,
              ()) {
  const auto fates =
      *rc::gen::container<std::vector<LossyControllers::Fate>>(rc::gen::map(
          rc::gen::inRange(0, static_cast<int>(LossyControllers::Fate::kCount)),
          [](int drawn) {
            return static_cast<LossyControllers::Fate>(drawn);
          }));
  const Milliseconds pause(*rc::gen::inRange(1, 900));
  LossyControllers controllers;
  const ResultCode said = Search(fates, pause, controllers);
  controllers.Settle();
  if (said == ResultCode::kOk) {
    RC_ASSERT(controllers.is_accepted());
  } else if (said != ResultCode::kTimeout) {
    RC_ASSERT(!controllers.is_accepted());
  }
}

}  // namespace
}  // namespace sumac::daemon
