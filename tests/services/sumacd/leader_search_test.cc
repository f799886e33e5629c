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

// Long enough for a few rounds over all controllers; only codes are checked.
constexpr Milliseconds kLimit{200};

class LeaderSearchTest : public testing::Test {
 protected:
  fleet::Answer Run(LeaderSearch::Attempt attempt) {
    return this->parts->search
        .Run(
            [this, attempt = std::move(attempt)](const ProcessName& process,
                                                 Milliseconds left) {
              this->asked.push_back(process.value());
              return attempt(process, left);
            },
            kLimit)
        .wait(this->parts->io.waitScope);
  }

  struct Parts {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    Peers peers{this->io.provider->getNetwork(),
                this->io.provider->getTimer(),
                {ProcessName("c1"), ProcessName("c2"), ProcessName("c3")}};
    LeaderSearch search{this->peers, this->io.provider->getTimer()};
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

// Nobody took the request, so it may be called refused.
TEST_F(LeaderSearchTest, WithoutALeaderTheRequestHasNotRun) {
  const fleet::Answer answer =
      this->Run([](const ProcessName& /*process*/,
                   Milliseconds /*left*/) -> kj::Promise<fleet::Answer> {
        return fleet::Answer{.code = ResultCode::kNotLeader};
      });
  EXPECT_EQ(answer.code, ResultCode::kNoLeader);
  EXPECT_GT(this->asked.size(), 3U);
}

// One try got no answer and may have been carried out, whatever the others
// said.
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

// A caller got 503 for a job 0.1 s after it had asked, and 25 s later the job
// ran. Its entry had asked a leader that lost its place before it could say how
// the submission ended; the next leader, which did not know the job yet, was
// overloaded, and its refusal was passed on as the answer. A refusal says that
// the request has not run, and holds for the controller that gives it.
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

// Without an open try it is the answer, at once.
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

}  // namespace
}  // namespace sumac::daemon
