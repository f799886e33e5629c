// SPDX-License-Identifier: Apache-2.0
#include "libraries/storage/log_segment.h"

#include <Poco/Checksum.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <optional>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/wire/bounded_message.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::storage {
namespace {

constexpr std::size_t kFrameBytes = 8;
constexpr std::size_t kNumberBytes = 4;
// The maximum size of a record, in bytes; a larger length counts as damage.
constexpr std::uint32_t kMaxRecordBytes = 64U << 20;

struct RecordWriter {
  wire::LogRecord::Builder builder;

  void operator()(const replication::Entry& entry) {
    wire::WriteEntry(entry, this->builder.initEntry());
  }
  void operator()(const replication::HardState& state) {
    auto built = this->builder.initHardState();
    built.setTerm(state.term.value());
    built.setVotedFor(state.voted_for ? state.voted_for->value() : "");
  }
  void operator()(const TruncateRecord& record) {
    this->builder.setTruncateFrom(record.first.value());
  }
};

absl::StatusOr<LogRecord> ReadRecord(wire::LogRecord::Reader reader) {
  switch (reader.which()) {
    case wire::LogRecord::ENTRY:
      return wire::ReadEntry(reader.getEntry());
    case wire::LogRecord::HARD_STATE: {
      replication::HardState state{.term =
                                       Term(reader.getHardState().getTerm())};
      const std::string voted_for =
          wire::ToString(reader.getHardState().getVotedFor());
      if (!voted_for.empty()) {
        state.voted_for = replication::NodeId(voted_for);
      }
      return state;
    }
    case wire::LogRecord::TRUNCATE_FROM:
      return TruncateRecord{LogIndex(reader.getTruncateFrom())};
  }
  return MakeError(ResultCode::kStorageVersion,
                   "the record has a kind unknown to this program version");
}

absl::StatusOr<LogRecord> DecodeBody(std::string_view body) {
  try {
    return wire::ReadFlatMessage<wire::LogRecord>(body, ReadRecord);
  } catch (const kj::Exception& exception) {
    return MakeError(ResultCode::kStorageDamaged,
                     exception.getDescription().cStr());
  }
}

// Returns the body of the record at the start of `bytes`, or nullopt if the
// record is cut short or fails its checksum.
std::optional<std::string_view> FindBody(std::string_view bytes) {
  if (bytes.size() < kFrameBytes) {
    return std::nullopt;
  }
  const std::uint32_t length = ReadNumber(bytes);
  const std::uint32_t checksum = ReadNumber(bytes.substr(kNumberBytes));
  if (length == 0 || length > kMaxRecordBytes ||
      bytes.size() - kFrameBytes < length) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kFrameBytes, length);
  std::string checked(bytes.substr(0, kNumberBytes));
  checked.append(body);
  if (ChecksumOf(checked) != checksum) {
    return std::nullopt;
  }
  return body;
}

// Returns true if a whole record starts anywhere after the first byte of
// `bytes`. The bytes before it are damaged then, and not a torn tail: nothing
// is written behind a torn tail.
bool HasWholeRecord(std::string_view bytes) {
  for (std::size_t offset = 1; offset + kFrameBytes < bytes.size(); ++offset) {
    if (FindBody(bytes.substr(offset))) {
      return true;
    }
  }
  return false;
}

absl::Status Damaged(const std::string& path,
                     std::uint64_t offset,
                     std::string_view problem) {
  return MakeError(ResultCode::kStorageDamaged,
                   StrCat(path, ": offset ", offset, ": ", problem));
}

}  // namespace

std::uint32_t ChecksumOf(std::string_view bytes) {
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(bytes.data(), static_cast<unsigned>(bytes.size()));
  return checksum.checksum();
}

void AppendNumber(std::string& bytes, std::uint32_t value) {
  for (std::size_t position = 0; position < kNumberBytes; ++position) {
    bytes.push_back(static_cast<char>((value >> (8 * position)) & 0xFFU));
  }
}

std::uint32_t ReadNumber(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t position = 0; position < kNumberBytes; ++position) {
    value |=
        static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[position]))
        << (8 * position);
  }
  return value;
}

std::string EncodeRecord(const LogRecord& record) {
  capnp::MallocMessageBuilder message;
  std::visit(RecordWriter{message.initRoot<wire::LogRecord>()}, record);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto body = words.asChars();
  std::string checked;
  AppendNumber(checked, static_cast<std::uint32_t>(body.size()));
  checked.append(body.begin(), body.size());
  std::string bytes(checked, 0, kNumberBytes);
  AppendNumber(bytes, ChecksumOf(checked));
  bytes.append(body.begin(), body.size());
  return bytes;
}

absl::StatusOr<SegmentContent> DecodeSegment(std::string_view bytes,
                                             const std::string& path,
                                             bool may_be_torn) {
  SegmentContent content;
  if (bytes.size() < kSegmentHeader.size() && may_be_torn &&
      kSegmentHeader.substr(0, bytes.size()) == bytes) {
    content.has_torn_tail = true;
    return content;
  }
  const std::size_t magic_length = kSegmentHeader.size() - 1;
  if (bytes.substr(0, magic_length) != kSegmentHeader.substr(0, magic_length)) {
    return Damaged(path, 0, "not a log segment");
  }
  if (bytes.size() < kSegmentHeader.size() ||
      bytes[magic_length] != kSegmentHeader.back()) {
    return MakeError(ResultCode::kStorageVersion,
                     StrCat(path, ": format version is not 1"));
  }
  std::size_t offset = kSegmentHeader.size();
  while (offset < bytes.size()) {
    const auto body = FindBody(bytes.substr(offset));
    if (!body) {
      if (!may_be_torn || HasWholeRecord(bytes.substr(offset))) {
        return Damaged(path, offset, "a record fails its checksum");
      }
      content.has_torn_tail = true;
      break;
    }
    absl::StatusOr<LogRecord> record = DecodeBody(*body);
    if (!record.ok()) {
      return MakeError(CodeOf(record.status()),
                       StrCat(path, ": offset ", offset, ": ",
                              FromAbsl(record.status().message())));
    }
    content.records.push_back(*std::move(record));
    offset += kFrameBytes + body->size();
  }
  content.whole_length = offset;
  return content;
}

}  // namespace sumac::storage
