// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/snapshot_writer.h"

#include <utility>

#include "libraries/codec/json_writer.h"

namespace sumac::daemon {

void SnapshotWriter::Begin(LogIndex index, fleet::FleetRecord record) {
  this->Stop();
  this->thread = std::thread([this, index, record = std::move(record)] {
    this->on_ready(index, ToCbor(record));
  });
}

void SnapshotWriter::Stop() {
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

}  // namespace sumac::daemon
