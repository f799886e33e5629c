// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_SCOPE_GUARD_H_
#define LIBRARIES_BASE_SCOPE_GUARD_H_

#include <unistd.h>

#include <utility>

namespace sumac {

// Runs `cleanup` at the end of the scope unless Release was called.
template <typename Cleanup>
class ScopeGuard {
 public:
  explicit ScopeGuard(Cleanup cleanup) : cleanup(std::move(cleanup)) {}
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ~ScopeGuard() {
    if (this->is_armed) {
      this->cleanup();
    }
  }

  // Cancels the clean-up.
  void Release() { this->is_armed = false; }

 private:
  Cleanup cleanup;
  bool is_armed = true;
};

// Owns one file descriptor and closes it.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(this->descriptor, other.descriptor);
    return *this;
  }
  ~FileDescriptor() {
    if (this->is_open()) {
      ::close(this->descriptor);
    }
  }

  // Returns the descriptor's number, or -1 if none is owned.
  int get() const { return this->descriptor; }

  // True while a descriptor is owned.
  bool is_open() const { return this->descriptor >= 0; }

 private:
  int descriptor = -1;
};

}  // namespace sumac

#endif  // LIBRARIES_BASE_SCOPE_GUARD_H_
