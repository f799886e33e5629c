// SPDX-License-Identifier: Apache-2.0
#include "libraries/storage/snapshot_file.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/storage/log_segment.h"
#include "libraries/wire/bounded_message.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::storage {
namespace {

constexpr std::string_view kSnapshotHeader = std::string_view("SUMACSN\x01", 8);
constexpr std::size_t kNumberBytes = 4;

}  // namespace

std::string EncodeSnapshot(const replication::Snapshot& snapshot) {
  capnp::MallocMessageBuilder message;
  auto file = message.initRoot<wire::SnapshotFile>();
  wire::WriteSnapshotMeta(snapshot.meta, file.initMeta());
  file.setState(wire::ToData(snapshot.state));
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto body = words.asChars();
  std::string bytes(kSnapshotHeader);
  AppendNumber(bytes, ChecksumOf(std::string_view(body.begin(), body.size())));
  bytes.append(body.begin(), body.size());
  return bytes;
}

absl::StatusOr<replication::Snapshot> DecodeSnapshot(std::string_view bytes,
                                                     const std::string& path) {
  const std::size_t magic_length = kSnapshotHeader.size() - 1;
  const std::size_t body_offset = kSnapshotHeader.size() + kNumberBytes;
  if (bytes.size() < body_offset ||
      bytes.substr(0, magic_length) !=
          kSnapshotHeader.substr(0, magic_length)) {
    return MakeError(ResultCode::kStorageDamaged,
                     StrCat(path, ": not a snapshot"));
  }
  if (bytes[magic_length] != kSnapshotHeader.back()) {
    return MakeError(ResultCode::kStorageVersion,
                     StrCat(path, ": format version is not 1"));
  }
  const std::uint32_t checksum =
      ReadNumber(bytes.substr(kSnapshotHeader.size()));
  const std::string_view body = bytes.substr(body_offset);
  if (ChecksumOf(body) != checksum) {
    return MakeError(ResultCode::kStorageDamaged,
                     StrCat(path, ": offset ", body_offset,
                            ": the body fails its checksum"));
  }
  try {
    return wire::ReadFlatMessage<wire::SnapshotFile>(
        body, [](wire::SnapshotFile::Reader file) {
          return replication::Snapshot{wire::ReadSnapshotMeta(file.getMeta()),
                                       wire::ToString(file.getState())};
        });
  } catch (const kj::Exception& exception) {
    return MakeError(ResultCode::kStorageDamaged,
                     StrCat(path, ": ", exception.getDescription().cStr()));
  }
}

absl::Status CheckSameSnapshot(std::string_view bytes,
                               const std::string& path,
                               const replication::Snapshot& snapshot) {
  const replication::Snapshot read = TRY(DecodeSnapshot(bytes, path));
  if (read.meta != snapshot.meta || read.state != snapshot.state) {
    return MakeError(ResultCode::kStorageDamaged,
                     StrCat(path, ": holds another snapshot"));
  }
  return absl::OkStatus();
}

}  // namespace sumac::storage
