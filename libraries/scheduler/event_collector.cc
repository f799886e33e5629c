// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/event_collector.h"

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

// Limits the length of a log line.
constexpr std::size_t kMaxRunsPerEvent = 64;

}  // namespace

void EventCollector::Add(std::string what,
                         const jobs::TaskId& task,
                         RunNumber run,
                         const WorkerId& worker,
                         std::string reason) {
  this->AddText(std::move(what), std::move(reason), false,
                StrCat(task.ToText(), "#", run.value(), "@", worker.value()));
}

void EventCollector::AddText(std::string what,
                             std::string reason,
                             bool is_alarm,
                             std::string text) {
  const bool is_same = !this->events.empty() &&
                       this->events.back().what == what &&
                       this->events.back().reason == reason &&
                       this->events.back().runs.size() < kMaxRunsPerEvent;
  if (!is_same) {
    this->events.push_back(
        SchedulerEvent{std::move(what), std::move(reason), {}, is_alarm});
  }
  this->events.back().runs.push_back(std::move(text));
}

}  // namespace sumac::scheduler
