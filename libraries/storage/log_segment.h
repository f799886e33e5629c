// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_LOG_SEGMENT_H_
#define LIBRARIES_STORAGE_LOG_SEGMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/replication/types.h"

namespace sumac::storage {

// The format of a log segment, version 1: an 8-byte header ("SUMACLG" and the
// version byte), then records of [length: 4 bytes][checksum: 4 bytes, CRC-32 of
// length and body][body]. Numbers are little-endian; the body is a Cap'n Proto
// LogRecord (schemas/replication.capnp).
inline constexpr std::string_view kSegmentHeader =
    std::string_view("SUMACLG\x01", 8);

// Invalidates all earlier entries with the index `first` or a higher one.
struct TruncateRecord {
  LogIndex first;

  bool operator==(const TruncateRecord&) const = default;
};

// One record of the log.
using LogRecord =
    std::variant<replication::Entry, replication::HardState, TruncateRecord>;

// Returns the CRC-32 of `bytes`.
std::uint32_t ChecksumOf(std::string_view bytes);

// Appends `value` as four little-endian bytes.
void AppendNumber(std::string& bytes, std::uint32_t value);

// Reads four little-endian bytes at the start of `bytes`.
std::uint32_t ReadNumber(std::string_view bytes);

// Returns the bytes of one record with its length and checksum.
std::string EncodeRecord(const LogRecord& record);

// The decoded content of a segment.
struct SegmentContent {
  std::vector<LogRecord> records;
  // The length up to the end of the last whole record, in bytes; less than the
  // file's length if its tail is torn.
  std::uint64_t whole_length = 0;
  bool has_torn_tail = false;
};

// Decodes a segment. A record that is cut short or fails its checksum counts as
// a torn tail if `may_be_torn` is true (for the newest segment) and no whole
// record follows it. Any other bad record is kStorageDamaged, with the file's
// path and the offset.
absl::StatusOr<SegmentContent> DecodeSegment(std::string_view bytes,
                                             const std::string& path,
                                             bool may_be_torn);

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_LOG_SEGMENT_H_
