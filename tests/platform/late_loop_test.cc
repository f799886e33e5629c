// SPDX-License-Identifier: Apache-2.0
// A leader short of processor time fired its timers late and gave up answers
// that lay in its sockets, unread. In one traced run 5,720 starts counted as
// unanswered that way and 1,590 runs as gone ("its lease is over"), without a
// fault anywhere: a worker began a run at 26.641 s, ended it done at 27.419 s
// and listed that in each of its answers, of which none was taken; at 29.992 s
// the leader ordered the task again elsewhere. One overloaded day, played with
// the code right before a late loop read first, ran 44 tasks again after their
// ends and took 17 away beyond a budget; right after, none.
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

// Beyond the time for which a renewal's answer is waited for.
constexpr Milliseconds kStandstill{2'000};
// How long the worker may keep it back; room for a busy computer.
constexpr Milliseconds kWait{1'000};

// A worker on a thread of its own that answers one renewal, once it is told to.
class AnsweringWorker {
 public:
  AnsweringWorker() = default;
  // Lets the thread end, also after a test that failed half way.
  ~AnsweringWorker() { this->may_answer.release(); }
  AnsweringWorker(const AnsweringWorker&) = delete;
  AnsweringWorker& operator=(const AnsweringWorker&) = delete;

  std::string address() const { return this->socket.address().toString(); }
  bool has_request() const { return this->is_asked; }
  // Sends the answer.
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
      // The caller has gone, or keeps silent; the test has failed by itself.
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
    // Until the caller closes the connection.
    connection.receiveBytes(request.data(), request.size());
  }

  Poco::Net::ServerSocket socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<bool> is_asked = false;
  std::binary_semaphore may_answer{0};
  std::binary_semaphore has_answered{0};
  std::jthread thread{[this] { this->Serve(); }};
};

TEST(LateLoopTest, AnAnswerThatCameDuringAStandstillIsTaken) {
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
  std::this_thread::sleep_for(kStandstill);
  EXPECT_EQ(renewal.wait(io.waitScope).result, scheduler::OrderResult::kDone);
  client.reset();
}

}  // namespace
}  // namespace sumac::platform
