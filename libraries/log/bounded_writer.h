// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_LOG_BOUNDED_WRITER_H_
#define LIBRARIES_LOG_BOUNDED_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace sumac {

// Writes lines to a file descriptor without ever waiting for whoever reads it:
// lines that can't go out at once are kept up to a bound, later ones are
// dropped and counted. Not safe to use from several threads at once.
class BoundedWriter {
 public:
  // The descriptor must outlive the writer. At most `max_bytes` are kept.
  BoundedWriter(int descriptor, std::size_t max_bytes)
      : descriptor(descriptor), max_bytes(max_bytes) {}

  // Takes a line without its end, and writes what can be written now. False if
  // the line was dropped.
  bool WriteLine(const std::string& line);

  // Writes what can be written now.
  void Flush();

  // Lines dropped since the last call.
  std::uint64_t TakeDropCount();

  std::size_t buffered_bytes() const { return this->buffered_byte_count; }

 private:
  bool IsWritable() const;

  int descriptor;
  std::size_t max_bytes;
  std::deque<std::string> lines;
  // What of the first line has gone out.
  std::size_t first_offset = 0;
  std::size_t buffered_byte_count = 0;
  std::uint64_t dropped = 0;
};

}  // namespace sumac

#endif  // LIBRARIES_LOG_BOUNDED_WRITER_H_
