// SPDX-License-Identifier: Apache-2.0
#include "platform/request_handlers.h"

#include <gtest/gtest.h>
#include <kj/async.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "platform/api_key.h"
#include "platform/wire_codec.h"

namespace sumac::platform {
namespace {

constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1}]})";

// The listeners' request handlers, with a leader that gives `answer` to every
// request.
class RequestHandlersTest : public testing::Test {
 protected:
  RequestHandlersTest()
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
    CallerRequestHandler handler(this->Leader(), this->metrics);
    http::ServerRequest request{.method = method,
                                .path = this->path,
                                .host = "desk.example:80",
                                .body = body};
    request.headers["Sumacstack-Deadline-Ms"] = deadline;
    if (!this->authorization.empty()) {
      request.headers["Authorization"] = this->authorization;
    }
    return handler.Handle(request).wait(this->loop_parts->scope);
  }
  http::ServerReply Control(kj::HttpMethod method,
                            const std::string& path,
                            const std::string& body = "") {
    ControlRequestHandler handler(
        this->Leader(),
        [this](jobs::DataCentreOrder order,
               Milliseconds) -> kj::Promise<fleet::Answer> {
          this->ordered = std::move(order);
          return this->answer;
        },
        this->state);
    return handler
        .Handle(
            http::ServerRequest{.method = method, .path = path, .body = body})
        .wait(this->loop_parts->scope);
  }
  static std::string RetryAfter(const http::ServerReply& reply) {
    for (const auto& [name, value] : reply.headers) {
      if (name == "Retry-After") {
        return value;
      }
    }
    return "";
  }

  struct LoopParts {
    kj::EventLoop loop;
    kj::WaitScope scope{this->loop};
  };

  std::unique_ptr<LoopParts> loop_parts = std::make_unique<LoopParts>();
  http::Metrics metrics;
  jobs::JobsState state;
  fleet::Answer answer;
  std::string path = "/clips/5c0e7a21d94b36f8";
  // The value of the authorization header; empty for none.
  std::string authorization;
  std::optional<jobs::Request> asked;
  std::optional<jobs::DataCentreOrder> ordered;
  Milliseconds limit{0};
};

TEST_F(RequestHandlersTest, AKeyIsPassedOnAsItsDigest) {
  this->authorization = "Bearer key-one";
  this->Call(kj::HttpMethod::POST, kJob);
  EXPECT_EQ(std::get<jobs::SubmitAt>(*this->asked).credentials.key,
            DigestOf("key-one"));
  this->Call(kj::HttpMethod::GET);
  EXPECT_EQ(std::get<jobs::ShowAt>(*this->asked).credentials.key,
            DigestOf("key-one"));
  this->Call(kj::HttpMethod::DELETE);
  EXPECT_EQ(std::get<jobs::CancelAt>(*this->asked).credentials.key,
            DigestOf("key-one"));
  this->authorization.clear();
  this->Call(kj::HttpMethod::GET);
  EXPECT_FALSE(std::get<jobs::ShowAt>(*this->asked).credentials.is_present);
}

TEST_F(RequestHandlersTest, ARefusedKeyIsAnsweredWith401) {
  this->answer.code = ResultCode::kUnknownKey;
  const http::ServerReply reply = this->Call(kj::HttpMethod::GET);
  EXPECT_EQ(reply.status, 401U);
  ASSERT_EQ(reply.headers.size(), 1U);
  EXPECT_EQ(reply.headers[0].first, "WWW-Authenticate");
}

TEST_F(RequestHandlersTest, AnEvacuationAndItsWithdrawalArePassedOn) {
  EXPECT_EQ(this->Control(kj::HttpMethod::POST, "/evacuate/dc-a").status, 200U);
  EXPECT_EQ(this->ordered->data_centre, DataCentre("dc-a"));
  EXPECT_EQ(this->ordered->use, jobs::DataCentreUse::kEvacuated);
  EXPECT_EQ(this->Control(kj::HttpMethod::DELETE, "/evacuate/dc-a").status,
            200U);
  EXPECT_EQ(this->ordered->use, jobs::DataCentreUse::kInUse);
  EXPECT_EQ(this->Control(kj::HttpMethod::GET, "/evacuate/dc-a").status, 405U);
}

// An operator's call ends at once on a 409, so an order that has to be sent
// again is answered with 503.
TEST_F(RequestHandlersTest,
       AnEvacuationThatWasNotCarriedOutSaysWhetherToRetry) {
  this->answer.code = ResultCode::kUnknownDataCentre;
  EXPECT_EQ(this->Control(kj::HttpMethod::POST, "/evacuate/dc-x").status, 404U);
  for (const ResultCode code :
       {ResultCode::kDataCentreChanged, ResultCode::kNoControllerInTime}) {
    this->answer.code = code;
    EXPECT_EQ(this->Control(kj::HttpMethod::POST, "/evacuate/dc-a").status,
              503U);
  }
}

TEST_F(RequestHandlersTest, AJobIsPassedOnByHostAndPath) {
  EXPECT_EQ(this->Call(kj::HttpMethod::POST, kJob).status, 200U);
  const auto& submit = std::get<jobs::SubmitAt>(*this->asked);
  EXPECT_EQ(submit.host, "desk.example");
  EXPECT_EQ(submit.path, "/clips/5c0e7a21d94b36f8");
}

// A job that was certainly not accepted is refused with a Retry-After header.
// One that may have been accepted is answered without that header.
TEST_F(RequestHandlersTest, RefusalsSayWhetherTheJobMayRun) {
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

TEST_F(RequestHandlersTest, AnInvalidJobNeverReachesTheLeader) {
  for (const char* body :
       {"", "[]", "{}", R"({"spec":1,"steps":[]})",
        R"({"spec":"x","steps":[{"count":0}]})",
        R"({"spec":"x","steps":[{"count":1,"after":[0]}]})"}) {
    EXPECT_EQ(this->Call(kj::HttpMethod::POST, body).status, 400U) << body;
    EXPECT_FALSE(this->asked.has_value());
  }
}

// Guards against a committed job that stops the leader's planning, since no
// order about it can be written.
TEST_F(RequestHandlersTest, AJobWhoseIdNoMessageCanHoldIsRefused) {
  this->path = "/clips/\xff";
  EXPECT_EQ(this->Call(kj::HttpMethod::POST, kJob).status, 400U);
  EXPECT_FALSE(this->asked.has_value());
  this->path = "/clips/caf\xc3\xa9";
  EXPECT_EQ(this->Call(kj::HttpMethod::POST, kJob).status, 200U);
}

TEST_F(RequestHandlersTest, TheCallersDeadlineBoundsTheSearch) {
  this->Call(kj::HttpMethod::GET, "", "500");
  EXPECT_LT(this->limit, Milliseconds(500));
  this->Call(kj::HttpMethod::GET, "", "nonsense");
  EXPECT_GT(this->limit, Milliseconds(500));
  this->Call(kj::HttpMethod::GET, "", "1");
  EXPECT_GT(this->limit, Milliseconds(0));
}

// The outcome of a submission without an answer can still be learned from the
// next leader until the caller gives up.
TEST_F(RequestHandlersTest, AlmostTheWholeDeadlineIsLeftForTheSearch) {
  this->Call(kj::HttpMethod::POST, kJob, "3000");
  EXPECT_GE(this->limit, Milliseconds(2'800));
  EXPECT_LT(this->limit, Milliseconds(3'000));
  for (const char* deadline : {"9223372036854775807", "3600000"}) {
    this->Call(kj::HttpMethod::POST, kJob, deadline);
    EXPECT_LE(this->limit, Milliseconds(30'000)) << deadline;
    EXPECT_GT(this->limit, Milliseconds(20'000)) << deadline;
  }
  for (const char* deadline : {"-9223372036854775808", "-1", "0"}) {
    this->Call(kj::HttpMethod::POST, kJob, deadline);
    EXPECT_EQ(this->limit, Milliseconds(1)) << deadline;
  }
}

// A caller with little time left still needs an answer from the leader. If the
// whole time for the way back were subtracted, the request would be given up
// after 1 ms and the caller told that the job may run.
TEST_F(RequestHandlersTest, ALastTryIsGivenUpBeforeALeaderCanAnswer) {
  this->Call(kj::HttpMethod::GET, "", "120");
  EXPECT_GE(this->limit, Milliseconds(80));
  EXPECT_LT(this->limit, Milliseconds(120));
}

TEST_F(RequestHandlersTest, RequestsAreCountedByMethodAndStatus) {
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

TEST_F(RequestHandlersTest, AnUnknownJobIsGone) {
  this->answer = fleet::Answer{.code = ResultCode::kUnknownJob};
  EXPECT_EQ(this->Call(kj::HttpMethod::GET).status, 410U);
  EXPECT_EQ(this->Call(kj::HttpMethod::DELETE).status, 410U);
}

// A cancel that is refused because too many are kept is not taken for done.
TEST_F(RequestHandlersTest, ARefusedCancelSaysWhenThereMayBeRoom) {
  this->answer = {.code = ResultCode::kTooManyCancels,
                  .document = {{"retry_after_ms", 172'400}}};
  const http::ServerReply reply = this->Call(kj::HttpMethod::DELETE);
  EXPECT_EQ(reply.status, 429U);
  EXPECT_EQ(RetryAfter(reply), "173");
}

TEST_F(RequestHandlersTest, ARefusedSignOffIsNotAnsweredAsDone) {
  this->answer = {.code = ResultCode::kTooManyEnds};
  const http::ServerReply reply =
      this->Control(kj::HttpMethod::DELETE, "/instances/i-1");
  EXPECT_EQ(reply.status, 503U);
  EXPECT_EQ(RetryAfter(reply), "1");
}

TEST_F(RequestHandlersTest, InvalidDocumentsNeverReachTheLeader) {
  for (const char* body : {"", "{", R"({"version":1})",
                           R"({"version":2,"routes":[{}],"services":[]})"}) {
    EXPECT_EQ(this->Control(kj::HttpMethod::PUT, "/config", body).status, 400U)
        << body;
    EXPECT_FALSE(this->asked.has_value());
  }
}

TEST_F(RequestHandlersTest, AnAnnouncementIsCommittedOnlyWhenItChanges) {
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
  // The announcement is not acknowledged until it is committed.
  this->answer = fleet::Answer{.code = ResultCode::kNoControllerInTime};
  EXPECT_EQ(
      this->Control(kj::HttpMethod::PUT, "/instances/i-1", leaving).status,
      503U);
  EXPECT_TRUE(this->asked.has_value());
}

// A worker ends, a worker of another service reuses its address, and delayed
// messages of the first worker arrive after a network partition heals.
TEST_F(RequestHandlersTest,
       WhatComesLateOfALifeThatIsOverLeavesTheNextOneAlone) {
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
