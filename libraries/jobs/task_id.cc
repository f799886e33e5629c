// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/task_id.h"

#include "libraries/base/text.h"

namespace sumac::jobs {
namespace {

// Takes the number after the last dot off the end of `text`.
bool ParseLastNumber(std::string_view& text, std::uint32_t& number) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos ||
      !ParseNumber(text.substr(dot + 1), &number)) {
    return false;
  }
  text = text.substr(0, dot);
  return true;
}

}  // namespace

std::string StepId::ToText() const {
  return StrCat(this->job.value(), ".", this->occurrence, ".", this->step);
}

std::string TaskId::ToText() const {
  return StrCat(this->step.ToText(), ".", this->index);
}

std::optional<TaskId> TaskId::Parse(std::string_view text) {
  TaskId task;
  if (!ParseLastNumber(text, task.index) ||
      !ParseLastNumber(text, task.step.step) ||
      !ParseLastNumber(text, task.step.occurrence) || text.empty()) {
    return std::nullopt;
  }
  task.step.job = JobId(std::string(text));
  return task;
}

}  // namespace sumac::jobs
