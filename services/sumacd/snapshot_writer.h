// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_SNAPSHOT_WRITER_H_
#define SERVICES_SUMACD_SNAPSHOT_WRITER_H_

#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "libraries/base/names.h"
#include "libraries/codec/cbor_writer.h"

namespace sumac::daemon {

// Serializes a copy of the state into a snapshot on a separate thread, so that
// a large state does not block the event loop. One snapshot is made at a time.
class SnapshotWriter {
 public:
  // Called on the writer's thread when the bytes of the snapshot are ready.
  using OnReady = std::function<void(LogIndex index, std::string bytes)>;

  explicit SnapshotWriter(OnReady on_ready) : on_ready(std::move(on_ready)) {}
  ~SnapshotWriter() { this->Stop(); }
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  // Starts a snapshot of the state after log index `index`; `record` is a copy
  // of that state. Must not be called before the previous snapshot is ready.
  template <Described Record>
  void Begin(LogIndex index, Record record) {
    this->Stop();
    this->thread = std::thread([this, index, record = std::move(record)] {
      this->on_ready(index, ToCbor(record));
    });
  }

  // Waits until the snapshot in progress, if any, is finished.
  void Stop();

 private:
  OnReady on_ready;
  std::thread thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_SNAPSHOT_WRITER_H_
