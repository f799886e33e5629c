// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/join_requester.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <deque>
#include <utility>
#include <vector>

#include "libraries/base/result_code.h"

namespace sumac::daemon {
namespace {

const ProcessName kSelf("c1");
const replication::NodeId kNode("c1.7");

// Runs a request whose attempts get `answers` in order. Returns the controllers
// that were asked.
std::vector<ProcessName> RunJoin(std::deque<fleet::Answer> answers,
                                 const std::vector<ProcessName>& known) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  std::vector<ProcessName> asked;
  JoinRequester requester(
      io.provider->getTimer(), kSelf, [known] { return known; },
      [&](const ProcessName& controller,
          const replication::NodeId& node) -> kj::Promise<fleet::Answer> {
        EXPECT_EQ(node, kNode);
        asked.push_back(controller);
        fleet::Answer answer = answers.front();
        answers.pop_front();
        if (answer.code == ResultCode::kTimeout) {
          return KJ_EXCEPTION(OVERLOADED, "no answer");
        }
        return answer;
      });
  requester.Join(kNode).wait(io.waitScope);
  EXPECT_TRUE(answers.empty());
  return asked;
}

TEST(JoinRequesterTest, AnotherControllerIsAskedUntilALeaderAccepts) {
  EXPECT_EQ(RunJoin({{.code = ResultCode::kTimeout},
                     {.code = ResultCode::kNotLeader},
                     fleet::Answer::Success("accepted")},
                    {ProcessName("c1"), ProcessName("c2"), ProcessName("c3")}),
            (std::vector<ProcessName>{ProcessName("c2"), ProcessName("c3"),
                                      ProcessName("c2")}));
}

TEST(JoinRequesterTest, TheLeaderThatWasNamedIsAskedNext) {
  EXPECT_EQ(RunJoin({{.code = ResultCode::kNotLeader, .message = "c9"},
                     fleet::Answer::Success("accepted")},
                    {ProcessName("c2")}),
            (std::vector<ProcessName>{ProcessName("c2"), ProcessName("c9")}));
}

// Guards against data that is given up for a leader that can't commit.
TEST(JoinRequesterTest, TheLeaderIsAskedUntilTheMembersAreCommitted) {
  EXPECT_EQ(RunJoin({{.code = ResultCode::kWrongState},
                     {.code = ResultCode::kWrongState},
                     fleet::Answer::Success("accepted")},
                    {ProcessName("c2"), ProcessName("c3")}),
            (std::vector<ProcessName>{ProcessName("c2"), ProcessName("c2"),
                                      ProcessName("c2")}));
}

// Guards against a request to itself: this process has no replica that could
// answer.
TEST(JoinRequesterTest, ThisProcessIsNotAsked) {
  EXPECT_EQ(RunJoin({{.code = ResultCode::kNotLeader, .message = "c1"},
                     fleet::Answer::Success("accepted")},
                    {ProcessName("c1"), ProcessName("c2")}),
            (std::vector<ProcessName>{ProcessName("c2"), ProcessName("c2")}));
}

}  // namespace
}  // namespace sumac::daemon
