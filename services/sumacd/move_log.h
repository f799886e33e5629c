// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_MOVE_LOG_H_
#define SERVICES_SUMACD_MOVE_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/maintenance/capacity_planner.h"
#include "libraries/maintenance/instance_messages.h"

namespace sumac::daemon {

// Logs the moves between pools in batches: one line with what was decided for
// each pool and why, and with the answers of the platform. A line for each move
// would be lost in a rush, when the log takes no more lines of one kind.
class MoveLog {
 public:
  // Counts the decisions of one planning pass.
  void RecordPass(const std::map<ServiceName, maintenance::PoolReport>& pools);
  // Counts the answer to the order for one move.
  void RecordAnswer(const ServiceName& pool,
                    maintenance::InstanceResult result);

  // Writes a line if moves have begun or were answered since the last one, and
  // that was long enough ago.
  void Write(SteadyTime now);

 private:
  struct Batch {
    maintenance::PoolReport last;
    std::int64_t begun = 0;
    std::map<std::string, std::int64_t> answers;
  };

  std::map<ServiceName, Batch> batches;
  bool has_news = false;
  SteadyTime last_line{};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_MOVE_LOG_H_
