// SPDX-License-Identifier: Apache-2.0
#include "libraries/storage/posix_disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <system_error>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"

namespace sumac::storage {
namespace {

constexpr int kFileMode = 0640;

absl::Status SystemError(std::string_view action,
                         const std::string& path,
                         int error) {
  ResultCode code = ResultCode::kStorageFailed;
  if (error == ENOSPC || error == EDQUOT) {
    code = ResultCode::kDiskFull;
  } else if (error == EMFILE || error == ENFILE) {
    code = ResultCode::kStorageShort;
  }
  return MakeError(code,
                   StrCat(path, ": ", action, ": ", std::strerror(error)));
}

absl::Status SystemError(std::string_view action,
                         const std::string& path,
                         const std::error_code& error) {
  return SystemError(action, path, error.value());
}

absl::StatusOr<FileDescriptor> Open(const std::string& path, int flags) {
  int opened = -1;
  do {
    opened = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  } while (opened < 0 && errno == EINTR);
  FileDescriptor descriptor(opened);
  if (!descriptor.is_open()) {
    return SystemError("open", path, errno);
  }
  return descriptor;
}

absl::Status SyncDescriptor(const FileDescriptor& descriptor,
                            const std::string& path) {
  if (::fsync(descriptor.get()) != 0) {
    return SystemError("fsync", path, errno);
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status PosixDisk::File::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written =
        ::write(this->descriptor.get(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return SystemError("write", this->path, errno);
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return absl::OkStatus();
}

absl::Status PosixDisk::File::Sync() {
  if (::fdatasync(this->descriptor.get()) != 0) {
    return SystemError("fdatasync", this->path, errno);
  }
  return absl::OkStatus();
}

absl::Status PosixDisk::MakeFolder(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  return error ? SystemError("mkdir", path, error) : absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> PosixDisk::List(
    const std::string& path) {
  std::error_code error;
  std::vector<std::string> names;
  for (const auto& item : std::filesystem::directory_iterator(path, error)) {
    names.push_back(item.path().filename().string());
  }
  if (error) {
    return SystemError("list", path, error);
  }
  std::sort(names.begin(), names.end());
  return names;
}

absl::StatusOr<std::string> PosixDisk::Read(const std::string& path) {
  const FileDescriptor descriptor = TRY(Open(path, O_RDONLY));
  std::string bytes;
  std::string buffer(1 << 16, '\0');
  while (true) {
    const ssize_t count =
        ::read(descriptor.get(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return SystemError("read", path, errno);
    }
    if (count == 0) {
      return bytes;
    }
    bytes.append(buffer, 0, static_cast<std::size_t>(count));
  }
}

absl::StatusOr<PosixDisk::File> PosixDisk::OpenForAppend(
    const std::string& path) {
  FileDescriptor descriptor = TRY(Open(path, O_WRONLY | O_CREAT | O_APPEND));
  return File(std::move(descriptor), path);
}

absl::Status PosixDisk::Truncate(const std::string& path,
                                 std::uint64_t length) {
  const FileDescriptor descriptor = TRY(Open(path, O_WRONLY));
  if (::ftruncate(descriptor.get(), static_cast<off_t>(length)) != 0) {
    return SystemError("truncate", path, errno);
  }
  return SyncDescriptor(descriptor, path);
}

absl::Status PosixDisk::Rename(const std::string& from, const std::string& to) {
  std::error_code error;
  std::filesystem::rename(from, to, error);
  return error ? SystemError("rename", from, error) : absl::OkStatus();
}

absl::Status PosixDisk::Remove(const std::string& path) {
  std::error_code error;
  std::filesystem::remove(path, error);
  return error ? SystemError("remove", path, error) : absl::OkStatus();
}

absl::Status PosixDisk::SyncFolder(const std::string& path) {
  const FileDescriptor descriptor = TRY(Open(path, O_RDONLY | O_DIRECTORY));
  return SyncDescriptor(descriptor, path);
}

}  // namespace sumac::storage
