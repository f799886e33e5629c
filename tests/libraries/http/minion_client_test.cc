// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/minion_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

#include "libraries/base/text.h"
#include "libraries/http/headers.h"

namespace sumac::http {
namespace {

using routing::TryOutcome;

// A minion that reads one request on each connection and then writes exactly
// the bytes that the test supplies.
class RawMinion {
 public:
  using Respond =
      std::function<void(Poco::Net::StreamSocket&, const std::string& number)>;

  // With `resets_first` the first connection is reset as soon as it is
  // accepted.
  explicit RawMinion(Respond respond, bool resets_first = false)
      : respond(std::move(respond)),
        resets_first(resets_first),
        socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread([this] { this->Serve(); }) {}

  ~RawMinion() {
    this->is_stopping = true;
    this->thread.join();
  }

  std::string address() const { return this->socket.address().toString(); }
  int connections() const { return this->accepted; }

 private:
  void Serve() {
    while (!this->is_stopping) {
      if (!this->socket.poll(Poco::Timespan(0, 10'000),
                             Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      Poco::Net::StreamSocket peer = this->socket.acceptConnection();
      ++this->accepted;
      if (this->resets_first && this->accepted == 1) {
        peer.setLinger(true, 0);
        peer.close();
        continue;
      }
      const std::string request = this->ReadHead(peer);
      const std::size_t start = request.find("Sumac-Request: ");
      if (start != std::string::npos) {
        const std::size_t begin = start + 15;
        this->respond(peer,
                      request.substr(begin, request.find('\r', begin) - begin));
      }
    }
  }

  std::string ReadHead(Poco::Net::StreamSocket& peer) const {
    std::string text;
    char byte = 0;
    while (!text.ends_with("\r\n\r\n") && !this->is_stopping) {
      if (!peer.poll(Poco::Timespan(0, 10'000),
                     Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      if (peer.receiveBytes(&byte, 1) <= 0) {
        break;
      }
      text += byte;
    }
    return text;
  }

  Respond respond;
  bool resets_first;
  Poco::Net::ServerSocket socket;
  std::atomic<bool> is_stopping = false;
  std::atomic<int> accepted = 0;
  std::thread thread;
};

void Send(Poco::Net::StreamSocket& peer, const std::string& bytes) {
  peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

std::string Head(const std::string& number, const std::string& more) {
  return StrCat("HTTP/1.1 200 OK\r\nSumac-Request: ", number, "\r\n", more,
                "\r\n");
}

TryResult Try(MinionClient& client,
              const std::string& address,
              Milliseconds limit = Milliseconds(5'000)) {
  const SteadyTime deadline = SystemClock().SteadyNow() + limit;
  auto connection = client.Connect(address, false, deadline);
  EXPECT_NE(connection, nullptr);
  return client.Exchange(
      address, std::move(connection),
      MinionRequest{"POST", "/x", "s", "number-1", "", "body"}, 1'000,
      deadline);
}

TEST(MinionClientTest, ACompleteAnswerIsReturned) {
  RawMinion minion([](auto& peer, const std::string& number) {
    Send(peer,
         Head(number, "Content-Length: 5\r\nSumac-In-Flight: 3\r\n") + "hello");
  });
  MinionClient client;
  const TryResult result = Try(client, minion.address());
  EXPECT_EQ(result.outcome, TryOutcome::kAnswered);
  EXPECT_EQ(result.answer.body, "hello");
  EXPECT_EQ(result.reported_load, 3U);
}

TEST(MinionClientTest, ABrokenAnswerIsNeverReturned) {
  const std::vector<std::function<std::string(const std::string&)>> broken = {
      // Truncated within the body, within the head, and before the head.
      [](const std::string& number) {
        return Head(number, "Content-Length: 50\r\n") + "half";
      },
      [](const std::string& number) {
        return "HTTP/1.1 200 OK\r\nSumac-Request: " + number;
      },
      [](const std::string&) { return std::string(); },
      // The answer to another request, and one without a request number.
      [](const std::string&) {
        return Head("number-0", "Content-Length: 5\r\n") + "hello";
      },
      [](const std::string&) {
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
      },
      // No length, a truncated chunked body, too large, and not HTTP at all.
      [](const std::string& number) {
        return Head(number, "Connection: close\r\n") + "hello";
      },
      [](const std::string& number) {
        return Head(number, "Transfer-Encoding: chunked\r\n") +
               "5\r\nhello\r\n";
      },
      [](const std::string& number) {
        return Head(number, "Content-Length: 1001\r\n") +
               std::string(1001, 'x');
      },
      [](const std::string&) {
        return std::string("\x01\x02\x03 nonsense\r\n\r\n");
      },
  };
  for (std::size_t kind = 0; kind < broken.size(); ++kind) {
    RawMinion minion([&](auto& peer, const std::string& number) {
      Send(peer, broken[kind](number));
      peer.shutdown();
    });
    MinionClient client;
    const TryResult result = Try(client, minion.address());
    EXPECT_EQ(result.outcome, TryOutcome::kBroken)
        << kind << ": " << result.detail;
    EXPECT_FALSE(result.is_not_run) << kind;
    EXPECT_TRUE(result.answer.body.empty()) << kind;
  }
}

TEST(MinionClientTest, ALateAnswerIsNotMatchedToAnotherRequest) {
  RawMinion minion([](auto& peer, const std::string& number) {
    // Only the first answer is late.
    static int answers = 0;
    if (answers++ == 0) {
      std::this_thread::sleep_for(Milliseconds(300));
    }
    try {
      Send(peer, Head(number, "Content-Length: 5\r\n") + "hello");
    } catch (const Poco::Exception&) {
      // The client has already closed the connection.
    }
  });
  MinionClient client;
  EXPECT_EQ(Try(client, minion.address(), Milliseconds(100)).outcome,
            TryOutcome::kTimedOut);
  EXPECT_EQ(Try(client, minion.address()).outcome, TryOutcome::kAnswered);
  EXPECT_EQ(minion.connections(), 2);
}

TEST(MinionClientTest, AMinionsReportThatARequestDidNotRunIsAccepted) {
  RawMinion minion([](auto& peer, const std::string& number) {
    Send(peer, Head(number,
                    "Content-Length: 0\r\nSumac-Not-Run: "
                    "leaving\r\nSumac-Leaving: 1\r\n"));
  });
  MinionClient client;
  const TryResult result = Try(client, minion.address());
  EXPECT_EQ(result.outcome, TryOutcome::kLeaving);
  EXPECT_TRUE(result.is_not_run);
}

TEST(MinionClientTest, NobodyListeningMeansNotRun) {
  std::string address;
  {
    address = Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
                  .address()
                  .toString();
  }
  MinionClient client;
  EXPECT_EQ(client.Connect(address, false,
                           SystemClock().SteadyNow() + Milliseconds(1'000)),
            nullptr);
}

TEST(MinionClientTest, AKeptConnectionThatTheMinionClosedIsNotUsed) {
  RawMinion minion([](auto& peer, const std::string& number) {
    Send(peer, Head(number, "Content-Length: 5\r\n") + "hello");
    peer.shutdown();
  });
  MinionClient client;
  EXPECT_EQ(Try(client, minion.address()).outcome, TryOutcome::kAnswered);
  std::this_thread::sleep_for(Milliseconds(50));
  EXPECT_EQ(Try(client, minion.address()).outcome, TryOutcome::kAnswered);
  EXPECT_EQ(minion.connections(), 2);
}

TEST(MinionClientTest, ARequestIsNeverWrittenTwice) {
  // The minion reads the request and crashes; POCO's own session would send the
  // request again.
  RawMinion minion([](auto& peer, const std::string&) { peer.close(); });
  MinionClient client;
  const TryResult result = Try(client, minion.address());
  EXPECT_EQ(result.outcome, TryOutcome::kBroken);
  EXPECT_FALSE(result.is_not_run);
  EXPECT_EQ(minion.connections(), 1);
}

TEST(MinionClientTest, AResetConnectionIsNotReopenedForARequest) {
  // The claim was made for this connection. POCO's own write would open another
  // one and send the request over it.
  RawMinion minion(
      [](auto& peer, const std::string& number) {
        Send(peer, Head(number, "Content-Length: 5\r\n") + "hello");
      },
      true);
  MinionClient client;
  const SteadyTime deadline = SystemClock().SteadyNow() + Milliseconds(5'000);
  auto connection = client.Connect(minion.address(), true, deadline);
  ASSERT_NE(connection, nullptr);
  while (connection->IsUsable()) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  const TryResult result =
      client.Exchange(minion.address(), std::move(connection),
                      MinionRequest{"POST", "/x", "s", "number-1", "", "body"},
                      1'000, deadline);
  EXPECT_NE(result.outcome, TryOutcome::kAnswered);
  EXPECT_EQ(minion.connections(), 1);
}

}  // namespace
}  // namespace sumac::http
