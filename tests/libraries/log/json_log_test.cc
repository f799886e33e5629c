// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/json_log.h"

#include <gtest/gtest.h>
#include <kj/debug.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "libraries/base/text.h"
#include "libraries/log/library_messages.h"

namespace sumac {
namespace {

// A log in a file of its own.
class JsonLogTest : public testing::Test {
 protected:
  JsonLogTest() {
    std::filesystem::remove(this->path);
    StartLogging(ProcessName("test"), this->path, LogLevel::kInfo);
  }
  ~JsonLogTest() override {
    StartLogging(ProcessName("test"), "", LogLevel::kInfo);
    std::filesystem::remove(this->path);
  }

  // Returns the only line.
  nlohmann::json ReadLine() const {
    FlushLog();
    std::ifstream file(this->path);
    std::string line;
    std::getline(file, line);
    return nlohmann::json::parse(line, nullptr, false);
  }

  std::string path = StrCat("/tmp/json_log_test.", ::getpid(), ".log");
};

// A path of 100 KB that a stranger asked for stood in the log as it was, so a
// few requests a second crowded out all other lines.
TEST_F(JsonLogTest, ALongTextIsShortened) {
  constexpr std::size_t kLong = 100'000;
  constexpr std::size_t kMaxLine = 4'000;
  LogEvent(LogLevel::kInfo, "asked",
           {{"path", std::string(kLong, 'x')}, {"status", 404}});
  const nlohmann::json line = this->ReadLine();
  EXPECT_EQ(line.value("status", 0), 404);
  EXPECT_TRUE(line.value("path", "").starts_with("xxx"));
  EXPECT_LT(line.dump().size(), kMaxLine);
}

// Such a message went to standard error, as a line that is no JSON.
TEST_F(JsonLogTest, AMessageOfALibraryIsALineOfTheLog) {
  const LibraryMessages messages;
  KJ_LOG(ERROR, "too late to report");
  const nlohmann::json line = this->ReadLine();
  EXPECT_EQ(line.value("event", ""), "library-message");
  EXPECT_EQ(line.value("level", ""), "error");
  EXPECT_NE(line.value("message", "").find("too late"), std::string::npos);
}

}  // namespace
}  // namespace sumac
