// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_LOG_BOUNDED_WRITER_H_
#define LIBRARIES_LOG_BOUNDED_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "libraries/base/time.h"

namespace sumac {

// Writes lines to a file descriptor without blocking on a slow reader: lines
// that can't be written at once are buffered up to a maximum size, and further
// lines are dropped and counted. Not thread-safe.
class BoundedWriter {
 public:
  // The descriptor must outlive the writer. At most `max_bytes` are buffered.
  BoundedWriter(int descriptor, std::size_t max_bytes)
      : descriptor(descriptor), max_bytes(max_bytes) {}

  // Adds a line, given without its line end, and writes what can be written
  // now. Returns false if the line was dropped.
  bool WriteLine(const std::string& line);

  // Writes as much of the buffer as can be written without blocking.
  void Flush();

  // Writes the buffer, waiting for the reader for at most `max_wait`. Returns
  // true if nothing is left.
  bool FlushWithin(Milliseconds max_wait);

  // Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropCount();

  std::size_t buffered_bytes() const { return this->buffered_byte_count; }

 private:
  bool IsWritable(Milliseconds max_wait) const;

  int descriptor;
  std::size_t max_bytes;
  std::deque<std::string> lines;
  // The number of bytes of the first line that have been written.
  std::size_t first_offset = 0;
  std::size_t buffered_byte_count = 0;
  std::uint64_t dropped = 0;
};

}  // namespace sumac

#endif  // LIBRARIES_LOG_BOUNDED_WRITER_H_
