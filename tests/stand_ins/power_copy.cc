// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/power_copy.h"

#include <fcntl.h>
#include <sys/stat.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace sumac::stand_ins {
namespace {

namespace fs = std::filesystem;

// Returns the name of a file's bytes: an inode's number may be used again for
// another file, but not with the same time of birth.
std::string KeyOf(const fs::path& path) {
  struct statx status {};
  ::statx(AT_FDCWD, path.c_str(), 0, STATX_INO | STATX_BTIME, &status);
  std::array<char, 64> key{};
  std::snprintf(key.data(), key.size(), "%llu-%lld.%09u",
                static_cast<unsigned long long>(status.stx_ino),
                static_cast<long long>(status.stx_btime.tv_sec),
                status.stx_btime.tv_nsec);
  return key.data();
}

std::map<std::string, std::string> KeysByName(const fs::path& folder) {
  std::map<std::string, std::string> keys;
  std::error_code error;
  for (const auto& item : fs::directory_iterator(folder, error)) {
    keys[item.path().filename()] = KeyOf(item.path());
  }
  return keys;
}

std::uintmax_t LengthOf(const fs::path& path) {
  std::error_code error;
  const std::uintmax_t length = fs::file_size(path, error);
  return error ? 0 : length;
}

}  // namespace

PowerCopy::PowerCopy(fs::path data, fs::path copy)
    : data(std::move(data)), copy(std::move(copy)) {
  if (fs::exists(this->copy / "names")) {
    return;
  }
  fs::create_directories(this->copy / "files");
  const auto keys = KeysByName(this->data);
  for (const auto& [name, key] : keys) {
    this->CommitFile(this->data / name, key, LengthOf(this->data / name));
  }
  fs::create_directories(this->copy / "names");
  this->CommitNames(keys);
}

int PowerCopy::Sync(int descriptor, int (*sync)(int)) {
  std::error_code error;
  const fs::path path =
      fs::read_symlink("/proc/self/fd/" + std::to_string(descriptor), error);
  const bool is_folder = path == this->data;
  if (error || (!is_folder && path.parent_path() != this->data)) {
    return sync(descriptor);
  }
  const std::scoped_lock lock(this->mutex);
  // Only what was there when the sync began is sure to be covered.
  const auto keys = KeysByName(this->data);
  const std::uintmax_t length = LengthOf(path);
  const int result = sync(descriptor);
  if (result != 0) {
    return result;
  }
  this->Delay();
  const auto key = keys.find(path.filename());
  if (is_folder) {
    this->CommitNames(keys);
  } else if (key != keys.end()) {
    this->CommitFile(path, key->second, length);
  }
  return result;
}

void PowerCopy::CommitFile(const fs::path& path,
                           const std::string& key,
                           std::uintmax_t length) const {
  const fs::path target = this->copy / "files" / key;
  const std::uintmax_t copied = LengthOf(target);
  if (copied > length) {
    fs::resize_file(target, length);
    return;
  }
  std::vector<char> bytes(length - copied);
  std::ifstream from(path, std::ios::binary);
  from.seekg(static_cast<std::streamoff>(copied));
  from.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  std::ofstream to(target, std::ios::binary | std::ios::app);
  to.write(bytes.data(), from.gcount());
}

void PowerCopy::CommitNames(
    const std::map<std::string, std::string>& keys) const {
  for (const auto& [name, key] : keys) {
    const fs::path bytes = this->copy / "files" / key;
    const fs::path target = this->copy / "names" / name;
    if (!fs::exists(bytes)) {
      // The name is durable, the content isn't.
      const std::ofstream empty(bytes);
    }
    if (!fs::exists(target) || !fs::equivalent(bytes, target)) {
      const fs::path link = this->copy / "link";
      fs::remove(link);
      fs::create_hard_link(bytes, link);
      fs::rename(link, target);
    }
  }
  for (const auto& item : fs::directory_iterator(this->copy / "names")) {
    if (!keys.contains(item.path().filename())) {
      fs::remove(item.path());
    }
  }
}

void PowerCopy::Delay() const {
  std::int64_t sync_ms = 0;
  if (std::ifstream(this->copy / "sync-ms") >> sync_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(sync_ms));
  }
}

}  // namespace sumac::stand_ins
