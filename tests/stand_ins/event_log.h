// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_EVENT_LOG_H_
#define TESTS_STAND_INS_EVENT_LOG_H_

#include <fstream>
#include <mutex>
#include <string>
#include <utility>

#include "libraries/base/time.h"
#include "nlohmann/json.hpp"

namespace sumac::stand_ins {

// A file of JSON lines that records the events of one stand-in with their
// times, for a check of the whole history. All stand-ins run on one machine, so
// the wall clock orders their lines.
class EventLog {
 public:
  // Appends to the file at `path`; with an empty path, events are discarded.
  explicit EventLog(const std::string& path) {
    if (!path.empty()) {
      this->file.open(path, std::ios::app);
    }
  }

  // Writes one line with a time of `ago` before now. Flushes it, since the
  // process may be killed at any time.
  void Add(nlohmann::json event, Milliseconds ago = Milliseconds(0)) {
    event["at"] = (this->clock.Now() - ago).time_since_epoch().count();
    const std::lock_guard lock(this->mutex);
    this->file << event.dump() + "\n" << std::flush;
  }

 private:
  SystemClock clock;
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_EVENT_LOG_H_
