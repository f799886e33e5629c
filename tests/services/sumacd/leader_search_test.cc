// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/leader_search.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sumac::daemon {
namespace {

// The time limit of a request; long enough to ask all controllers several
// times. Only codes are checked.
constexpr Milliseconds kLimit{200};
// A limit that no test reaches.
constexpr Milliseconds kNever{600'000};

class LeaderSearchTest : public testing::Test {
 protected:
  fleet::Answer Run(LeaderSearch::Attempt attempt,
                    SearchLimits limits = {.not_run = kLimit,
                                           .total = kLimit}) {
    return this->parts->search
        .Run(
            [this, attempt = std::move(attempt)](const ProcessName& process,
                                                 Milliseconds left) {
              this->asked.push_back(process.value());
              return attempt(process, left);
            },
            limits)
        .wait(this->parts->io.waitScope);
  }

  struct Parts {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    Peers peers{this->io.provider->getNetwork(),
                this->io.provider->getTimer(),
                {ProcessName("c1"), ProcessName("c2"), ProcessName("c3")}};
    // The leader that the replica of this process follows.
    ProcessName followed;
    LeaderSearch search{this->peers, this->io.provider->getTimer(),
                        [this] { return this->followed; }};
  };

  std::unique_ptr<Parts> parts = std::make_unique<Parts>();
  std::vector<std::string> asked;
};

TEST_F(LeaderSearchTest, FollowsTheHintAndRemembersTheLeader) {
  const auto attempt = [](const ProcessName& process,
                          Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
    if (process.value() == "c3") {
      return fleet::Answer::Success("done");
    }
    return fleet::Answer{.code = ResultCode::kNotLeader, .message = "c3"};
  };
  EXPECT_TRUE(this->Run(attempt).is_ok());
  EXPECT_EQ(this->asked, (std::vector<std::string>{"c1", "c3"}));
  EXPECT_TRUE(this->Run(attempt).is_ok());
  EXPECT_EQ(this->asked.back(), "c3");
  EXPECT_EQ(this->asked.size(), 3U);
}

// No controller accepted the request, so it has certainly not run.
TEST_F(LeaderSearchTest, WithoutALeaderTheRequestHasNotRun) {
  const fleet::Answer answer =
      this->Run([](const ProcessName& /*process*/,
                   Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        return fleet::Answer{.code = ResultCode::kNotLeader};
      });
  EXPECT_EQ(answer.code, ResultCode::kNoLeader);
  EXPECT_GT(this->asked.size(), 3U);
}

// The request may have been carried out by the attempt that got no answer,
// whatever the other controllers answered.
TEST_F(LeaderSearchTest, AnUnansweredAttemptLeavesTheOutcomeUnknown) {
  for (const ResultCode unanswered :
       {ResultCode::kTimeout, ResultCode::kUnreachable}) {
    this->asked.clear();
    const fleet::Answer answer =
        this->Run([this, unanswered](
                      const ProcessName& /*process*/,
                      Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
          return fleet::Answer{.code = this->asked.size() == 1
                                           ? unanswered
                                           : ResultCode::kNotLeader};
        });
    EXPECT_EQ(answer.code, ResultCode::kTimeout);
  }
}

// Guards against a caller that gets 503 for a job that runs all the same. The
// entry asked a leader that lost its leadership before it answered. The next
// leader was overloaded and did not know the job yet; its refusal was returned
// after 0.1 s, and the job ran 25 s later. A refusal means that the request has
// not run, but only at the controller that gives it.
TEST_F(LeaderSearchTest,
       ARefusalAfterAnUnansweredAttemptLeavesTheOutcomeUnknown) {
  for (const ResultCode unanswered :
       {ResultCode::kTimeout, ResultCode::kUnreachable}) {
    for (const ResultCode refusal :
         {ResultCode::kOverloaded, ResultCode::kNothingDeclared}) {
      this->asked.clear();
      const fleet::Answer answer =
          this->Run([this, unanswered, refusal](
                        const ProcessName& /*process*/,
                        Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
            return fleet::Answer{.code = this->asked.size() == 1 ? unanswered
                                                                 : refusal};
          });
      EXPECT_EQ(answer.code, ResultCode::kTimeout);
    }
  }
}

// Without an unanswered attempt, a refusal by the leader is returned at once.
TEST_F(LeaderSearchTest, ARefusalOfTheLeaderIsTheAnswer) {
  const fleet::Answer answer =
      this->Run([this](const ProcessName& /*process*/,
                       Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        return fleet::Answer{.code = this->asked.size() == 1
                                         ? ResultCode::kNotLeader
                                         : ResultCode::kOverloaded};
      });
  EXPECT_EQ(answer.code, ResultCode::kOverloaded);
  EXPECT_EQ(this->asked.size(), 2U);
}

TEST_F(LeaderSearchTest, AFailedAttemptIsNoAnswer) {
  const fleet::Answer answer =
      this->Run([this](const ProcessName& /*process*/,
                       Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        if (this->asked.size() == 1) {
          return KJ_EXCEPTION(DISCONNECTED, "gone");
        }
        return fleet::Answer::Success("done");
      });
  EXPECT_TRUE(answer.is_ok());
  EXPECT_EQ(this->asked.size(), 2U);
}

// Guards against callers who are told that the outcome is unknown, and so may
// not try again, although no byte of their request left the process.
TEST_F(LeaderSearchTest, AttemptsThatWereNotWrittenLeaveNothingUnknown) {
  const fleet::Answer answer =
      this->Run([this](const ProcessName& /*process*/,
                       Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        return fleet::Answer{.code = this->asked.size() % 2 == 1
                                         ? ResultCode::kNoControllerInTime
                                         : ResultCode::kNotLeader};
      });
  EXPECT_EQ(answer.code, ResultCode::kNoLeader);
}

// A process that is cut off with nobody to ask says so without waiting.
TEST_F(LeaderSearchTest, ARequestThatReachesNobodyIsRefusedAtOnce) {
  const fleet::Answer answer = this->Run(
      [](const ProcessName& /*process*/,
         Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        return fleet::Answer{.code = ResultCode::kNoControllerInTime};
      },
      {.not_run = kNever, .total = kNever});
  EXPECT_EQ(answer.code, ResultCode::kNoLeader);
  EXPECT_EQ(this->asked, (std::vector<std::string>{"c1", "c2", "c3"}));
  EXPECT_TRUE(this->parts->search.is_cut_off());
}

// A minority that can be reached does not lead.
TEST_F(LeaderSearchTest, ARequestThatReachesAMinorityIsRefusedAtOnce) {
  const auto attempt = [](const ProcessName& process,
                          Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
    return fleet::Answer{.code = process.value() == "c2"
                                     ? ResultCode::kNotLeader
                                     : ResultCode::kNoControllerInTime};
  };
  EXPECT_EQ(this->Run(attempt, {.not_run = kNever, .total = kNever}).code,
            ResultCode::kNoLeader);
  EXPECT_EQ(this->asked, (std::vector<std::string>{"c1", "c2", "c3"}));
  EXPECT_TRUE(this->parts->search.is_cut_off());
}

TEST_F(LeaderSearchTest, AnAnswerOfALeaderEndsACut) {
  const auto cut = [](const ProcessName& /*process*/,
                      Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
    return fleet::Answer{.code = ResultCode::kNoControllerInTime};
  };
  this->Run(cut, {.not_run = kNever, .total = kNever});
  ASSERT_TRUE(this->parts->search.is_cut_off());
  this->Run([](const ProcessName& /*process*/,
               Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
    return fleet::Answer::Success("done");
  });
  EXPECT_FALSE(this->parts->search.is_cut_off());
}

// During an election the request is refused while its caller still has time for
// another try.
TEST_F(LeaderSearchTest, ARequestThatHasNotRunIsRefusedBeforeItsDeadline) {
  const fleet::Answer answer = this->Run(
      [](const ProcessName& /*process*/,
         Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        return fleet::Answer{.code = ResultCode::kNotLeader};
      },
      {.not_run = kLimit, .total = kNever});
  EXPECT_EQ(answer.code, ResultCode::kNoLeader);
}

// Guards against reads that a controller refuses although it follows the
// leader, because all the controllers that its settings name are gone.
TEST_F(LeaderSearchTest,
       AFollowedLeaderIsFoundWithoutTheConfiguredControllers) {
  this->parts->followed = ProcessName("c9");
  const auto attempt = [](const ProcessName& process,
                          Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
    return process.value() == "c9"
               ? fleet::Answer::Success("done")
               : fleet::Answer{.code = ResultCode::kNoControllerInTime};
  };
  EXPECT_TRUE(this->Run(attempt, {.not_run = kNever, .total = kNever}).is_ok());
  EXPECT_FALSE(this->parts->search.is_cut_off());
}

// A replica may follow a leader that has just died; the others are asked too.
TEST_F(LeaderSearchTest, AFollowedLeaderThatIsGoneIsAskedOncePerSearch) {
  this->parts->followed = ProcessName("c9");
  const auto attempt = [](const ProcessName& process,
                          Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
    return process.value() == "c3"
               ? fleet::Answer::Success("done")
               : fleet::Answer{.code = ResultCode::kNoControllerInTime};
  };
  EXPECT_TRUE(this->Run(attempt, {.not_run = kNever, .total = kNever}).is_ok());
  EXPECT_EQ(this->asked, (std::vector<std::string>{"c9", "c1", "c2", "c3"}));
}

// The next leader knows whether it has the job, so the search goes on for as
// long as the caller waits.
TEST_F(LeaderSearchTest, AnUnansweredSubmissionIsAcceptedByTheNextLeader) {
  const fleet::Answer answer = this->Run(
      [this](const ProcessName& /*process*/,
             Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        constexpr std::size_t kElectedAfter = 12;
        if (this->asked.size() == 1) {
          return fleet::Answer{.code = ResultCode::kTimeout};
        }
        if (this->asked.size() < kElectedAfter) {
          return fleet::Answer{.code = this->asked.size() % 2 == 0
                                           ? ResultCode::kNoControllerInTime
                                           : ResultCode::kNotLeader};
        }
        return fleet::Answer::Success("accepted before");
      },
      {.not_run = Milliseconds(1), .total = kNever});
  EXPECT_TRUE(answer.is_ok());
}

// A leader that has no room for a job asks for no second one once it has
// applied the entry of the job.
TEST_F(LeaderSearchTest, ARefusalAfterAnUnansweredAttemptIsAskedAgain) {
  const fleet::Answer answer = this->Run(
      [this](const ProcessName& /*process*/,
             Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        switch (this->asked.size()) {
          case 1:
            return fleet::Answer{.code = ResultCode::kTimeout};
          case 2:
            return fleet::Answer{.code = ResultCode::kOverloaded};
          default:
            return fleet::Answer::Success("accepted before");
        }
      },
      {.not_run = Milliseconds(1), .total = kNever});
  EXPECT_TRUE(answer.is_ok());
  EXPECT_EQ(this->asked.size(), 3U);
  EXPECT_EQ(this->asked[2], this->asked[1]);
}

}  // namespace
}  // namespace sumac::daemon
