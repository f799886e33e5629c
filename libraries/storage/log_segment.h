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

// The format of a segment, version 1: an 8-byte header ("SUMACLG" and the
// version byte), then records of [length: 4 bytes][check: 4 bytes, CRC-32 of
// length and body][body]. Numbers are little-endian; the body is a Cap'n Proto
// LogRecord (schemas/replication.capnp).
inline constexpr std::string_view kSegmentHeader =
    std::string_view("SUMACLG\x01", 8);

// Tells that all entries from `first` on are void.
struct TruncateRecord {
  LogIndex first;

  bool operator==(const TruncateRecord&) const = default;
};

// One record of the log.
using LogRecord =
    std::variant<replication::Entry, replication::HardState, TruncateRecord>;

// The CRC-32 of `bytes`.
std::uint32_t ChecksumOf(std::string_view bytes);

// Appends `value` as four little-endian bytes.
void AppendNumber(std::string& bytes, std::uint32_t value);

// Reads four little-endian bytes at the start of `bytes`.
std::uint32_t ReadNumber(std::string_view bytes);

// The bytes of one record with length and check.
std::string EncodeRecord(const LogRecord& record);

// What a segment holds.
struct SegmentContent {
  std::vector<LogRecord> records;
  // The length up to the end of the last whole record; less than the file's
  // when its tail is torn.
  std::uint64_t whole_length = 0;
  bool has_torn_tail = false;
};

// Reads a segment. A record that is cut short or fails its check counts as a
// torn tail when `may_be_torn` (the newest segment) and nothing whole follows
// it; anything else is kStorageDamaged and names file and offset.
absl::StatusOr<SegmentContent> DecodeSegment(std::string_view bytes,
                                             const std::string& path,
                                             bool may_be_torn);

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_LOG_SEGMENT_H_
