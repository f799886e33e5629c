// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac {
namespace {

// A process that ends at once, with its log in a file.
class LastLineTest : public testing::Test {
 protected:
  LastLineTest() { std::filesystem::remove(this->path); }
  ~LastLineTest() override { std::filesystem::remove(this->path); }

  // Returns the last line that the process left in its log.
  nlohmann::json LastLine() const {
    std::ifstream file(this->path);
    std::string line;
    std::string last;
    while (std::getline(file, line)) {
      last = line;
    }
    return nlohmann::json::parse(last, nullptr, false);
  }

  std::string path = StrCat("/tmp/last_line_test.", ::getpid(), ".log");
};

TEST_F(LastLineTest, AnEndAtOnceSaysWhy) {
  EXPECT_EXIT(
      {
        StartLogging(ProcessName("test"), this->path, LogLevel::kInfo);
        LogEvent(LogLevel::kInfo, "started", nlohmann::json::object());
        EndProcess("storage-failed", {{"error", "the sync failed"}});
      },
      testing::ExitedWithCode(EXIT_FAILURE), "");
  const nlohmann::json line = this->LastLine();
  EXPECT_EQ(line.value("event", ""), "storage-failed");
  EXPECT_EQ(line.value("error", ""), "the sync failed");
}

// More lines of one kind than a second may have must not hide the last one.
TEST_F(LastLineTest, TheLastLineIsNeverLeftOut) {
  constexpr int kMany = 1'000;
  EXPECT_EXIT(
      {
        StartLogging(ProcessName("test"), this->path, LogLevel::kError);
        for (int line = 0; line < kMany; ++line) {
          LogEvent(LogLevel::kError, "storage-failed", {{"line", line}});
        }
        EndProcess("storage-failed", {{"error", "the sync failed"}});
      },
      testing::ExitedWithCode(EXIT_FAILURE), "");
  EXPECT_EQ(this->LastLine().value("error", ""), "the sync failed");
}

}  // namespace
}  // namespace sumac
