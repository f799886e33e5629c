// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/abnormal_ends.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <new>
#include <stdexcept>
#include <string>
#include <thread>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/log/json_log.h"

namespace sumac {
namespace {

// A process that ends by itself, with its log in a file.
class AbnormalEndsTest : public testing::Test {
 protected:
  AbnormalEndsTest() { std::filesystem::remove(this->path); }
  ~AbnormalEndsTest() override { std::filesystem::remove(this->path); }

  void Start() const {
    StartLogging(ProcessName("test"), this->path, LogLevel::kInfo);
    LogAbnormalEnds();
  }

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

  std::string path = StrCat("/tmp/abnormal_ends_test.", ::getpid(), ".log");
};

TEST_F(AbnormalEndsTest, ABrokenInvariantIsALineOfTheLog) {
  EXPECT_EXIT(
      {
        this->Start();
        VERIFY(1 > 2);
      },
      testing::KilledBySignal(SIGABRT), "VERIFY failed: 1 > 2");
  const nlohmann::json line = this->LastLine();
  EXPECT_EQ(line.value("event", ""), "verify-failed");
  EXPECT_EQ(line.value("level", ""), "error");
  EXPECT_EQ(line.value("condition", ""), "1 > 2");
  EXPECT_NE(line.value("place", "").find("abnormal_ends_test"),
            std::string::npos);
}

TEST_F(AbnormalEndsTest, AnUncaughtExceptionIsALineOfTheLog) {
  EXPECT_EXIT(
      {
        this->Start();
        std::thread([] { throw std::runtime_error("no place left"); }).join();
      },
      testing::KilledBySignal(SIGABRT), "no place left");
  const nlohmann::json line = this->LastLine();
  EXPECT_EQ(line.value("event", ""), "uncaught-exception");
  EXPECT_EQ(line.value("error", ""), "no place left");
}

TEST_F(AbnormalEndsTest, ALackOfMemoryIsALineOfTheLog) {
  EXPECT_EXIT(
      {
        this->Start();
        std::thread([] { throw std::bad_alloc(); }).join();
      },
      testing::KilledBySignal(SIGABRT), "bad_alloc");
  EXPECT_EQ(this->LastLine().value("error", ""), "std::bad_alloc");
}

}  // namespace
}  // namespace sumac
