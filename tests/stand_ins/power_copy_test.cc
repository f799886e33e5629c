// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/power_copy.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

namespace sumac::stand_ins {
namespace {

namespace fs = std::filesystem;

class PowerCopyTest : public testing::Test {
 protected:
  PowerCopyTest() {
    std::string pattern = fs::temp_directory_path() / "power-copy-XXXXXX";
    this->root = ::mkdtemp(pattern.data());
    fs::create_directory(this->root / "data");
    this->Start();
  }
  ~PowerCopyTest() override { fs::remove_all(this->root); }

  void Start() {
    this->copy =
        std::make_unique<PowerCopy>(this->root / "data", this->root / "copy");
  }
  void Append(const std::string& name, const std::string& bytes) {
    std::ofstream(this->root / "data" / name, std::ios::app) << bytes;
  }
  void Rename(const std::string& from, const std::string& to) {
    fs::rename(this->root / "data" / from, this->root / "data" / to);
  }
  // Syncs a file, or the folder for an empty name.
  void Sync(const std::string& name, int (*sync)(int) = ::fsync) {
    const fs::path folder = this->root / "data";
    const fs::path path = name.empty() ? folder : folder / name;
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    this->copy->Sync(descriptor, sync);
    ::close(descriptor);
  }
  // Returns what a loss of power leaves of a file, or "none".
  std::string Left(const std::string& name) const {
    std::ifstream file(this->root / "copy" / "names" / name);
    return file ? std::string(std::istreambuf_iterator<char>(file), {})
                : "none";
  }

  fs::path root;
  std::unique_ptr<PowerCopy> copy;
};

TEST_F(PowerCopyTest, BytesWithoutASyncAreLost) {
  this->Append("a", "one");
  this->Sync("a");
  this->Sync("");
  this->Append("a", "two");
  EXPECT_EQ(this->Left("a"), "one");
  this->Sync("a", [](int) { return -1; });
  EXPECT_EQ(this->Left("a"), "one");
  this->Sync("a");
  EXPECT_EQ(this->Left("a"), "onetwo");
}

TEST_F(PowerCopyTest, BytesWrittenDuringASyncAreLost) {
  this->Append("a", "one");
  this->Sync("");
  this->Sync("a", [](int descriptor) {
    const int writer =
        ::open(("/proc/self/fd/" + std::to_string(descriptor)).c_str(),
               O_WRONLY | O_APPEND | O_CLOEXEC);
    EXPECT_EQ(::write(writer, "two", 3), 3);
    return ::close(writer);
  });
  EXPECT_EQ(this->Left("a"), "one");
}

TEST_F(PowerCopyTest, NamesWithoutASyncOfTheFolderAreLost) {
  this->Append("a.tmp", "one");
  this->Sync("a.tmp");
  EXPECT_EQ(this->Left("a.tmp"), "none");
  this->Sync("");
  this->Rename("a.tmp", "a");
  this->Sync("a");
  EXPECT_EQ(this->Left("a.tmp"), "one");
  EXPECT_EQ(this->Left("a"), "none");
  this->Sync("");
  EXPECT_EQ(this->Left("a.tmp"), "none");
  EXPECT_EQ(this->Left("a"), "one");
}

TEST_F(PowerCopyTest, AFileThatIsReplacedKeepsItsBytesUntilTheFolderIsSynced) {
  this->Append("a", "old");
  this->Sync("a");
  this->Sync("");
  this->Append("b", "new");
  this->Sync("b");
  this->Rename("b", "a");
  EXPECT_EQ(this->Left("a"), "old");
  this->Sync("");
  EXPECT_EQ(this->Left("a"), "new");
}

TEST_F(PowerCopyTest, ADurableNameMayHaveNoContent) {
  this->Append("a", "one");
  this->Sync("");
  EXPECT_EQ(this->Left("a"), "");
}

TEST_F(PowerCopyTest, AKillMakesNothingDurable) {
  this->Append("a", "one");
  this->Sync("a");
  this->Sync("");
  this->Append("a", "two");
  this->Start();
  EXPECT_EQ(this->Left("a"), "one");
  fs::resize_file(this->root / "data" / "a", 2);
  this->Sync("a");
  EXPECT_EQ(this->Left("a"), "on");
}

}  // namespace
}  // namespace sumac::stand_ins
