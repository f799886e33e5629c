// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_EVENT_NOTES_H_
#define LIBRARIES_SCHEDULER_EVENT_NOTES_H_

#include <string>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// One thing that the scheduler decided or noticed, for the log: the same about
// one or several tasks, each written TASK#RUN@WORKER.
struct SchedulerEvent {
  std::string what;
  std::string reason;
  std::vector<std::string> runs;
  // Something that an operator should look at.
  bool is_alarm = false;
};

// Collects what a pass of the scheduler has to tell.
class EventNotes {
 public:
  // Notes something about one run. What is noted several times in a row shares
  // one event.
  void Add(std::string what,
           const jobs::TaskId& task,
           RunNumber run,
           const WorkerId& worker,
           std::string reason);

  // Notes something that is not about single runs, as a text that tells it.
  void AddText(std::string what,
               std::string reason,
               bool is_alarm,
               std::string text);

  // What was noted since the last time.
  std::vector<SchedulerEvent> Take() { return std::exchange(this->events, {}); }

 private:
  std::vector<SchedulerEvent> events;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_EVENT_NOTES_H_
