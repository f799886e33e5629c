// SPDX-License-Identifier: Apache-2.0
// Guards against lost answers on a leader short of processor time. Its event
// loop runs late, so the timeout of a call can fire while the answer is already
// in the socket, unread. Runs that had ended were then considered lost and
// started again elsewhere, and tasks were preempted beyond their disruption
// budget. The loop must read its sockets before it fires late timers.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <array>
#include <atomic>
#include <memory>
#include <semaphore>
#include <string>
#include <thread>

#include "libraries/base/text.h"
#include "platform/worker_client.h"

namespace sumac::platform {
namespace {

// A pause of the event loop that is longer than the timeout of a renewal.
constexpr Milliseconds kLoopPause{2'000};
// The time for which the worker may delay its answer. It leaves room for a busy
// machine.
constexpr Milliseconds kWait{1'000};

// A worker on its own thread that answers one renewal when Answer() is called.
class AnsweringWorker {
 public:
  AnsweringWorker() = default;
  // Lets the thread end, even if the test failed before Answer().
  ~AnsweringWorker() { this->may_answer.release(); }
  AnsweringWorker(const AnsweringWorker&) = delete;
  AnsweringWorker& operator=(const AnsweringWorker&) = delete;

  std::string address() const { return this->socket.address().toString(); }
  bool has_request() const { return this->is_asked; }
  // Sends the answer and returns once it is sent.
  void Answer() {
    this->may_answer.release();
    this->has_answered.acquire();
  }

 private:
  void Serve() {
    const Poco::Timespan longest_wait(10, 0);
    if (!this->socket.poll(longest_wait, Poco::Net::Socket::SELECT_READ)) {
      return;
    }
    Poco::Net::StreamSocket connection = this->socket.acceptConnection();
    connection.setReceiveTimeout(longest_wait);
    try {
      this->AnswerOver(connection);
    } catch (const Poco::Exception&) {
      // The client has disconnected or sends nothing; the test fails on its own
      // in that case.
    }
  }

  void AnswerOver(Poco::Net::StreamSocket& connection) {
    std::array<char, 8'192> request{};
    connection.receiveBytes(request.data(), request.size());
    this->is_asked = true;
    this->may_answer.acquire();
    const std::string body = R"({"clock_ms":7,"running":[],"ended":[]})";
    const std::string reply =
        StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
               "\r\nContent-Type: application/json\r\n\r\n", body);
    connection.sendBytes(reply.data(), static_cast<int>(reply.size()));
    this->has_answered.release();
    // Waits until the client closes the connection.
    connection.receiveBytes(request.data(), request.size());
  }

  Poco::Net::ServerSocket socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<bool> is_asked = false;
  std::binary_semaphore may_answer{0};
  std::binary_semaphore has_answered{0};
  std::jthread thread{[this] { this->Serve(); }};
};

TEST(LateLoopTest, AnAnswerThatArrivedDuringAPauseIsRead) {
  AnsweringWorker worker;
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto client = std::make_unique<WorkerClient>(io.provider->getNetwork(),
                                               io.provider->getTimer());
  auto renewal = client->Calls().renew({.worker = WorkerId("w"),
                                        .address = worker.address(),
                                        .epoch = LeaderEpoch(1),
                                        .wait = kWait});
  while (!worker.has_request()) {
    ASSERT_FALSE(renewal.poll(io.waitScope));
  }
  worker.Answer();
  std::this_thread::sleep_for(kLoopPause);
  EXPECT_EQ(renewal.wait(io.waitScope).result, scheduler::OrderResult::kDone);
  client.reset();
}

}  // namespace
}  // namespace sumac::platform
