// SPDX-License-Identifier: Apache-2.0
#include "platform/worker_client.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/text.h"

namespace sumac::platform {
namespace {

using scheduler::OrderResult;

// Reads a request. The bodies here are small and arrive together with the head.
kj::Promise<void> ReadRequest(kj::AsyncIoStream& stream) {
  constexpr std::size_t kMaxRequestBytes = 8'192;
  auto buffer = kj::heapArray<char>(kMaxRequestBytes);
  auto read = stream.tryRead(buffer.begin(), 1, kMaxRequestBytes);
  return read.attach(kj::mv(buffer)).ignoreResult();
}

kj::Promise<void> WriteReply(kj::AsyncIoStream& stream,
                             const std::string& status,
                             const std::string& body) {
  auto text = std::make_unique<std::string>(
      StrCat("HTTP/1.1 ", status, "\r\nContent-Length: ", body.size(),
             "\r\nContent-Type: application/json\r\n\r\n", body));
  auto written = stream.write(text->data(), text->size());
  return written.attach(kj::mv(text));
}

// A worker that answers one stop, reads the next order, closes the connection
// without answering, and answers the second copy, which arrives over a new
// connection.
class WorkerClientRepeatTest : public testing::Test {
 protected:
  struct Parts {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Own<kj::ConnectionReceiver> receiver = this->io.provider->getNetwork()
                                                   .parseAddress("127.0.0.1")
                                                   .wait(this->io.waitScope)
                                                   ->listen();
    WorkerClient client{this->io.provider->getNetwork(),
                        this->io.provider->getTimer()};
  };

  kj::Promise<void> Serve(const std::string& status, const std::string& body) {
    return this->parts->receiver->accept()
        .then([](kj::Own<kj::AsyncIoStream>&& stream) {
          kj::AsyncIoStream& first = *stream;
          return ReadRequest(first)
              .then([&first] {
                return WriteReply(first, "200 OK", R"({"clock_ms":1})");
              })
              .then([&first] { return ReadRequest(first); })
              .attach(kj::mv(stream));
        })
        .then([this] { return this->parts->receiver->accept(); })
        .then([status, body](kj::Own<kj::AsyncIoStream>&& stream) {
          kj::AsyncIoStream& second = *stream;
          return ReadRequest(second)
              .then([&second, status, body] {
                return WriteReply(second, status, body);
              })
              .attach(kj::mv(stream));
        });
  }

  // Returns the result of a start whose second copy is answered with `status`
  // and `body`.
  OrderResult StartTwice(const std::string& status, const std::string& body) {
    // A thread can have only one event loop at a time.
    this->parts.reset();
    this->parts = std::make_unique<Parts>();
    const kj::Promise<void> served =
        this->Serve(status, body).eagerlyEvaluate(nullptr);
    const std::string address =
        StrCat("127.0.0.1:", this->parts->receiver->getPort());
    const jobs::TaskId task{{JobId("job"), 0, 0}, 0};
    const WorkerId worker("w");
    const scheduler::StopOrder stop{worker, address, LeaderEpoch(1), task,
                                    RunNumber(1)};
    const scheduler::StartOrder start{.worker = worker,
                                      .address = address,
                                      .epoch = LeaderEpoch(1),
                                      .task = task,
                                      .run = RunNumber(2)};
    kj::WaitScope& scope = this->parts->io.waitScope;
    this->parts->client.Send(stop).wait(scope);
    return this->parts->client.Send(start).wait(scope).result;
  }

  std::unique_ptr<Parts> parts;
};

// A start is sent over a kept connection that is reset before the answer, and a
// second copy over a new connection. If the first copy was carried out and its
// run has ended, the second is refused. The refusal must not be treated as
// proof that nothing ran, or the task is started elsewhere.
TEST_F(WorkerClientRepeatTest, ARefusedSecondCopySaysNothingOfTheFirst) {
  for (const char* reason : {"old", "late", "room"}) {
    EXPECT_EQ(this->StartTwice("409 Conflict",
                               StrCat(R"({"reason":")", reason, R"("})")),
              OrderResult::kUnknown)
        << reason;
  }
  EXPECT_EQ(this->StartTwice("503 Unavailable", "{}"), OrderResult::kUnknown);
}

TEST_F(WorkerClientRepeatTest, ASecondCopyThatWasCarriedOutSettlesBoth) {
  EXPECT_EQ(this->StartTwice("200 OK", R"({"clock_ms":2})"),
            OrderResult::kDone);
}

TEST_F(WorkerClientRepeatTest, AnotherIncarnationAtTheAddressSettlesBoth) {
  EXPECT_EQ(this->StartTwice("421 Misdirected", "{}"),
            OrderResult::kOtherIncarnation);
}

}  // namespace
}  // namespace sumac::platform
