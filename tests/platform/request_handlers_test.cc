// SPDX-License-Identifier: Apache-2.0
#include "platform/request_handlers.h"

#include <gtest/gtest.h>
#include <kj/async.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "platform/wire_codec.h"

namespace sumac::platform {
namespace {

constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1}]})";

// A door whose leader gives one answer to everything.
class DoorsTest : public testing::Test {
 protected:
  DoorsTest()
      : state([](std::string_view text) { return ReadDeclaration(text); }) {}

  AskLeader Leader() {
    return [this](jobs::Request request,
                  Milliseconds limit) -> kj::Promise<fleet::Answer> {
      this->asked = std::move(request);
      this->limit = limit;
      return this->answer;
    };
  }
  http::ServerReply Call(kj::HttpMethod method,
                         const std::string& body = "",
                         const std::string& deadline = "3000") {
    CallerRequestHandler door(this->Leader(), this->metrics);
    http::ServerRequest request{.method = method,
                                .path = "/clips/5c0e7a21d94b36f8",
                                .host = "desk.example:80",
                                .body = body};
    request.headers["Sumacstack-Deadline-Ms"] = deadline;
    return door.Handle(request).wait(this->turns->scope);
  }
  http::ServerReply Control(kj::HttpMethod method,
                            const std::string& path,
                            const std::string& body = "") {
    ControlRequestHandler door(this->Leader(), this->state);
    return door
        .Handle(
            http::ServerRequest{.method = method, .path = path, .body = body})
        .wait(this->turns->scope);
  }
  static std::string RetryAfter(const http::ServerReply& reply) {
    for (const auto& [name, value] : reply.headers) {
      if (name == "Retry-After") {
        return value;
      }
    }
    return "";
  }

  struct Turns {
    kj::EventLoop loop;
    kj::WaitScope scope{this->loop};
  };

  std::unique_ptr<Turns> turns = std::make_unique<Turns>();
  http::Metrics metrics;
  jobs::JobsState state;
  fleet::Answer answer;
  std::optional<jobs::Request> asked;
  Milliseconds limit{0};
};

TEST_F(DoorsTest, AJobIsPassedOnByHostAndPath) {
  EXPECT_EQ(this->Call(kj::HttpMethod::POST, kJob).status, 200U);
  const auto& submit = std::get<jobs::SubmitAt>(*this->asked);
  EXPECT_EQ(submit.host, "desk.example");
  EXPECT_EQ(submit.path, "/clips/5c0e7a21d94b36f8");
}

// What was certainly not taken is refused with when to come back; what may have
// been taken is not called refused.
TEST_F(DoorsTest, RefusalsSayWhetherTheJobMayRun) {
  struct Case {
    ResultCode code;
    std::uint32_t status;
    bool is_certain;
  };
  for (const auto& [code, status, is_certain] :
       {Case{ResultCode::kNothingDeclared, 503, true},
        Case{ResultCode::kNoControllerInTime, 503, true},
        Case{ResultCode::kOverloaded, 503, true},
        Case{ResultCode::kUnknownQueue, 404, false},
        Case{ResultCode::kSubmissionUnknown, 504, false},
        Case{ResultCode::kTimeout, 504, false}}) {
    this->answer = fleet::Answer{.code = code};
    const http::ServerReply reply = this->Call(kj::HttpMethod::POST, kJob);
    EXPECT_EQ(reply.status, status) << static_cast<int>(code);
    EXPECT_EQ(!RetryAfter(reply).empty(), is_certain) << static_cast<int>(code);
  }
}

TEST_F(DoorsTest, WhatIsNoJobNeverReachesTheLeader) {
  for (const char* body :
       {"", "[]", "{}", R"({"spec":1,"steps":[]})",
        R"({"spec":"x","steps":[{"count":0}]})",
        R"({"spec":"x","steps":[{"count":1,"after":[0]}]})"}) {
    EXPECT_EQ(this->Call(kj::HttpMethod::POST, body).status, 400U) << body;
    EXPECT_FALSE(this->asked.has_value());
  }
}

TEST_F(DoorsTest, TheCallersDeadlineBoundsTheSearch) {
  this->Call(kj::HttpMethod::GET, "", "500");
  EXPECT_LT(this->limit, Milliseconds(500));
  this->Call(kj::HttpMethod::GET, "", "nonsense");
  EXPECT_GT(this->limit, Milliseconds(500));
  this->Call(kj::HttpMethod::GET, "", "1");
  EXPECT_GT(this->limit, Milliseconds(0));
}

// The last try of a caller who had been refused was given up after 1 ms, and
// its caller told that the job may run.
TEST_F(DoorsTest, ALastTryIsGivenUpBeforeALeaderCanAnswer) {
  this->Call(kj::HttpMethod::GET, "", "120");
  EXPECT_GE(this->limit, Milliseconds(80));
  EXPECT_LT(this->limit, Milliseconds(120));
}

TEST_F(DoorsTest, RequestsAreCountedByTheirEnd) {
  this->Call(kj::HttpMethod::POST, kJob);
  this->answer = fleet::Answer{.code = ResultCode::kUnknownJob};
  this->Call(kj::HttpMethod::GET);
  const std::string text = this->metrics.ToText();
  EXPECT_NE(text.find(R"(sumac_requests_total{method="POST",status="200"} 1)"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find(R"(sumac_requests_total{method="GET",status="410"} 1)"),
            std::string::npos)
      << text;
}

TEST_F(DoorsTest, AnUnknownJobIsGone) {
  this->answer = fleet::Answer{.code = ResultCode::kUnknownJob};
  EXPECT_EQ(this->Call(kj::HttpMethod::GET).status, 410U);
  EXPECT_EQ(this->Call(kj::HttpMethod::DELETE).status, 410U);
}

TEST_F(DoorsTest, InvalidDocumentsNeverReachTheLeader) {
  for (const char* body : {"", "{", R"({"version":1})",
                           R"({"version":2,"routes":[{}],"services":[]})"}) {
    EXPECT_EQ(this->Control(kj::HttpMethod::PUT, "/config", body).status, 400U)
        << body;
    EXPECT_FALSE(this->asked.has_value());
  }
}

TEST_F(DoorsTest, AnAnnouncementIsCommittedOnceAndAgainWhenItLeaves) {
  const std::string ready =
      R"({"service":"s","address":"10.0.0.1:80","state":"ready","seq":1})";
  const std::string leaving =
      R"({"service":"s","address":"10.0.0.1:80","state":"draining","seq":2})";
  EXPECT_EQ(this->Control(kj::HttpMethod::PUT, "/instances/i-1", ready).status,
            200U);
  const auto& commit = std::get<jobs::Commit>(*this->asked);
  this->state.Apply({WallTime(), commit.command});
  this->asked.reset();
  this->Control(kj::HttpMethod::PUT, "/instances/i-1", ready);
  EXPECT_FALSE(this->asked.has_value());
  // Not acknowledged while it is not on record.
  this->answer = fleet::Answer{.code = ResultCode::kNoControllerInTime};
  EXPECT_EQ(
      this->Control(kj::HttpMethod::PUT, "/instances/i-1", leaving).status,
      503U);
  EXPECT_TRUE(this->asked.has_value());
}

// The address went to a worker of another service, and what a cut had held up
// of the life before comes after that.
TEST_F(DoorsTest, WhatComesLateOfALifeThatIsOverLeavesTheNextOneAlone) {
  const std::string before =
      R"({"service":"s","address":"10.0.0.1:80","state":"ready","seq":7})";
  const std::string next =
      R"({"service":"t","address":"10.0.0.1:80","state":"ready","seq":1})";
  const auto commit = [&] {
    ASSERT_TRUE(this->asked.has_value());
    this->state.Apply(
        {WallTime(), std::get<jobs::Commit>(*this->asked).command});
  };
  this->Control(kj::HttpMethod::PUT, "/instances/i-1", before);
  commit();
  this->state.Apply({WallTime(), jobs::ForgetWorker{WorkerId("i-1"), true}});
  this->Control(kj::HttpMethod::PUT, "/instances/i-2", next);
  commit();
  const std::string late =
      R"({"service":"s","address":"10.0.0.1:80","state":"ready","seq":9})";
  EXPECT_EQ(this->Control(kj::HttpMethod::PUT, "/instances/i-1", late).status,
            200U);
  commit();
  EXPECT_EQ(this->Control(kj::HttpMethod::DELETE, "/instances/i-1").status,
            200U);
  commit();
  EXPECT_EQ(this->state.FindWorker(WorkerId("i-1")), nullptr);
  const jobs::Worker* present = this->state.FindWorker(WorkerId("i-2"));
  ASSERT_NE(present, nullptr);
  EXPECT_EQ(present->service, ServiceName("t"));
  EXPECT_FALSE(present->is_draining);
}

}  // namespace
}  // namespace sumac::platform
