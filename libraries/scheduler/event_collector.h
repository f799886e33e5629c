// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_EVENT_COLLECTOR_H_
#define LIBRARIES_SCHEDULER_EVENT_COLLECTOR_H_

#include <string>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// A decision or an observation of the scheduler for the log, about one or
// several runs, each written TASK#RUN@WORKER.
struct SchedulerEvent {
  std::string what;
  std::string reason;
  std::vector<std::string> runs;
  // Whether an operator should investigate the event.
  bool is_alarm = false;
};

// Collects the events of a planning pass.
class EventCollector {
 public:
  // Adds an event about one run. Consecutive events of the same kind and reason
  // are merged into one.
  void Add(std::string what,
           const jobs::TaskId& task,
           RunNumber run,
           const WorkerId& worker,
           std::string reason);

  // Adds an event that is not about single runs, described by a text.
  void AddText(std::string what,
               std::string reason,
               bool is_alarm,
               std::string text);

  // Returns and removes the events that were added since the last call.
  std::vector<SchedulerEvent> Take() { return std::exchange(this->events, {}); }

 private:
  std::vector<SchedulerEvent> events;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_EVENT_COLLECTOR_H_
