// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_TASK_ID_H_
#define LIBRARIES_JOBS_TASK_ID_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/names.h"

namespace sumac::jobs {

// One step of one occurrence of a job.
struct StepId {
  JobId job;
  // The number of the job's occurrence, counted from 0.
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepId&) const = default;

  // Returns the step as JOB.OCCURRENCE.STEP.
  std::string ToText() const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("job", self.job);
    visitor.Field("occurrence", self.occurrence);
    visitor.Field("step", self.step);
  }
};

// One task: the unit that runs on a worker. Its text is
// JOB.OCCURRENCE.STEP.INDEX.
struct TaskId {
  StepId step;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;

  std::string ToText() const;
  // Returns nothing if `text` does not identify a task.
  static std::optional<TaskId> Parse(std::string_view text);

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("step", self.step);
    visitor.Field("index", self.index);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_TASK_ID_H_
