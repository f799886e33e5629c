// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/serve_replicate.h"

#include <gtest/gtest.h>
#include <kj/async.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

// Counts the messages that it receives.
struct CountingReceiver {
  kj::Promise<std::vector<replication::Message>> Receive(
      const replication::Message& /*message*/) {
    ++this->received;
    return std::vector<replication::Message>();
  }

  int received = 0;
};

class PeerServer : public wire::Peer::Server {
 public:
  explicit PeerServer(CountingReceiver& receiver) : receiver(receiver) {}

 protected:
  kj::Promise<void> replicate(ReplicateContext context) override {
    return ServeReplicate(this->receiver, context);
  }

 private:
  CountingReceiver& receiver;
};

// A process that receives messages, with its log in a file.
class ServeReplicateTest : public testing::Test {
 protected:
  struct Parts {
    kj::EventLoop loop;
    kj::WaitScope scope{loop};
    CountingReceiver receiver;
    wire::Peer::Client peer{kj::heap<PeerServer>(receiver)};
  };

  ServeReplicateTest() {
    std::filesystem::remove(this->path);
    StartLogging(ProcessName("test"), this->path, LogLevel::kInfo);
  }
  ~ServeReplicateTest() override {
    StartLogging(ProcessName("test"), "", LogLevel::kInfo);
    std::filesystem::remove(this->path);
  }

  void Replicate(const std::string& bytes) {
    auto request = this->parts->peer.replicateRequest();
    request.setMessage(wire::ToData(bytes));
    request.send().ignoreResult().wait(this->parts->scope);
  }

  std::string path = StrCat("/tmp/serve_replicate_test.", ::getpid(), ".log");
  std::unique_ptr<Parts> parts = std::make_unique<Parts>();
};

// A sender drops the errors of its calls, so a message that could not be read
// left no line in any log.
TEST_F(ServeReplicateTest, AMessageThatCannotBeReadIsLogged) {
  EXPECT_ANY_THROW(this->Replicate("\x7f\x7f\x7f"));
  EXPECT_EQ(this->parts->receiver.received, 0);
  FlushLog();
  std::ifstream file(this->path);
  std::string line;
  std::getline(file, line);
  EXPECT_NE(line.find("peer-message-unreadable"), std::string::npos);

  this->Replicate(wire::PackMessage({.from = replication::NodeId("a.1"),
                                     .to = replication::NodeId("b.1"),
                                     .term = Term(1),
                                     .body = replication::VoteAnswer{}}));
  EXPECT_EQ(this->parts->receiver.received, 1);
}

}  // namespace
}  // namespace sumac::daemon
