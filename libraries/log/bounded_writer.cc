// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/bounded_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace sumac {

// NOTE: A pipe that poll(2) reports as writable accepts PIPE_BUF bytes without
// blocking (POSIX, write). Making the descriptor non-blocking instead would
// change it for every process that shares it.
bool BoundedWriter::IsWritable(Milliseconds max_wait) const {
  pollfd polled{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&polled, 1, static_cast<int>(max_wait.count())) == 1 &&
         (polled.revents & POLLOUT) != 0;
}

bool BoundedWriter::WriteLine(const std::string& line) {
  const std::size_t size = line.size() + 1;
  if (this->buffered_byte_count + size > this->max_bytes) {
    this->Flush();
  }
  if (this->buffered_byte_count + size > this->max_bytes) {
    ++this->dropped;
    return false;
  }
  this->lines.push_back(line + '\n');
  this->buffered_byte_count += size;
  this->Flush();
  return true;
}

void BoundedWriter::Flush() {
  while (!this->lines.empty() && this->IsWritable(Milliseconds(0))) {
    const std::string& first = this->lines.front();
    const std::size_t piece =
        std::min<std::size_t>(first.size() - this->first_offset, PIPE_BUF);
    const ssize_t written =
        ::write(this->descriptor, first.data() + this->first_offset, piece);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      // The reader is gone or the disk is full: the lines can't be written, and
      // neither can a log line about that.
      this->dropped += this->lines.size();
      this->lines.clear();
      this->first_offset = 0;
      this->buffered_byte_count = 0;
      return;
    }
    this->first_offset += static_cast<std::size_t>(written);
    this->buffered_byte_count -= static_cast<std::size_t>(written);
    if (this->first_offset == first.size()) {
      this->lines.pop_front();
      this->first_offset = 0;
    }
  }
}

bool BoundedWriter::FlushWithin(Milliseconds max_wait) {
  const SystemClock clock;
  const SteadyTime deadline = clock.SteadyNow() + max_wait;
  this->Flush();
  while (!this->lines.empty()) {
    const Milliseconds left = deadline - clock.SteadyNow();
    if (left <= Milliseconds(0) || !this->IsWritable(left)) {
      return false;
    }
    this->Flush();
  }
  return true;
}

std::uint64_t BoundedWriter::TakeDropCount() {
  return std::exchange(this->dropped, 0);
}

}  // namespace sumac
