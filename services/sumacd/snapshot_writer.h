// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_SNAPSHOT_WRITER_H_
#define SERVICES_SUMACD_SNAPSHOT_WRITER_H_

#include <kj/async.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "absl/status/statusor.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"

namespace sumac::daemon {

// Serializes a copy of the state into a snapshot on a separate thread, so that
// a large state does not block the event loop. One snapshot is made at a time.
//
// The thread never waits for the event loop, so the loop's thread may wait for
// it, also after the loop has stopped.
class SnapshotWriter {
 public:
  SnapshotWriter() = default;
  ~SnapshotWriter() { this->Stop(); }
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  // Starts to serialize `record` and returns its bytes, or an error if they
  // can't be read back. Called on the event loop, and not before the previous
  // snapshot is ready.
  template <Described Record>
  kj::Promise<absl::StatusOr<std::string>> Serialize(Record record) {
    this->Stop();
    auto paf =
        kj::newPromiseAndCrossThreadFulfiller<absl::StatusOr<std::string>>();
    // A thread's function must not throw when it is destroyed.
    auto fulfiller =
        std::make_unique<decltype(paf.fulfiller)>(kj::mv(paf.fulfiller));
    this->thread = std::thread([record = std::move(record),
                                fulfiller = std::move(fulfiller)]() mutable {
      (*fulfiller)->fulfill(ToReadableCbor(std::move(record)));
    });
    return kj::mv(paf.promise);
  }

  // Waits until the snapshot in progress, if any, is serialized.
  void Stop();

 private:
  // Takes the record, so that it is not held beside the one that is read back.
  template <Described Record>
  static absl::StatusOr<std::string> ToReadableCbor(Record&& record) {
    std::string bytes = ToCbor(Record(std::move(record)));
    const absl::StatusOr<Record> read = FromCbor<Record>(bytes, "snapshot");
    if (!read.ok()) {
      return MakeError(ResultCode::kStorageUnreadable,
                       FromAbsl(read.status().message()));
    }
    return bytes;
  }

  std::thread thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_SNAPSHOT_WRITER_H_
