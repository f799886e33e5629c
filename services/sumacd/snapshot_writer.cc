// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/snapshot_writer.h"

namespace sumac::daemon {

void SnapshotWriter::Stop() {
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

}  // namespace sumac::daemon
