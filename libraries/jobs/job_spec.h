// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_JOB_SPEC_H_
#define LIBRARIES_JOBS_JOB_SPEC_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/resources.h"

namespace sumac::jobs {

// One step of a job: `count` equal tasks.
struct StepSpec {
  std::uint32_t count = 1;
  // The resources that each task needs on its worker.
  Resources need;
  // The submitter's estimate of a task's run time; may be far off.
  Milliseconds estimate{0};
  // Earlier steps, counted from 0, that must be done first.
  std::vector<std::uint32_t> after;
  // True if tasks save their progress and can resume from it on another worker.
  bool is_checkpointing = false;
  // True if all tasks run at the same time or not at all.
  bool is_gang = false;
  // True if the tasks run slower when they are spread over several racks.
  bool wants_same_rack = false;
  // A label that the worker must have; empty if any worker will do.
  std::string required_label;
  // The rack that holds the step's data; empty if that does not matter.
  Rack data_rack;
  // The maximum number of the step's tasks on one worker; 0 for no limit.
  std::uint32_t most_per_worker = 0;
  // True if copies of a task may run side by side; the first to end counts.
  bool is_speculative = false;
  // True if tasks run until the job is cancelled and are restarted when they
  // end.
  bool is_long_running = false;
  // The image that the tasks run. Tasks with the same image are expected to
  // behave alike.
  std::string image;
  // The time within which tasks should answer the users that they serve; 0 if
  // they serve none.
  Milliseconds latency_target{0};
  // True if tasks use only processor time that other tasks leave over, so that
  // their own use is not counted.
  bool is_filler = false;
  // If `has_disruption_budget`: the maximum number of the step's tasks that the
  // system may have evicted at once.
  bool has_disruption_budget = false;
  std::uint32_t disruption_budget = 0;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("count", self.count);
    visitor.Field("need", self.need);
    visitor.Field("estimate_ms", self.estimate);
    visitor.Field("after", self.after);
    visitor.Field("is_checkpointing", self.is_checkpointing);
    visitor.Field("is_gang", self.is_gang);
    visitor.Field("wants_same_rack", self.wants_same_rack);
    visitor.Field("required_label", self.required_label);
    visitor.Field("data_rack", self.data_rack);
    visitor.Field("most_per_worker", self.most_per_worker);
    visitor.Field("is_speculative", self.is_speculative);
    visitor.Field("is_long_running", self.is_long_running);
    visitor.Field("image", self.image);
    visitor.Field("latency_target_ms", self.latency_target);
    visitor.Field("is_filler", self.is_filler);
    visitor.Field("has_disruption_budget", self.has_disruption_budget);
    visitor.Field("disruption_budget", self.disruption_budget);
  }
};

// The specification of a job, as a caller submits it.
struct JobSpec {
  // A text that is passed to the workers without being interpreted.
  std::string text;
  std::vector<StepSpec> steps;
  // How many times the steps are run; occurrence K, counted from 0, is due at
  // first_due + K * interval. 0 means once and immediately.
  std::uint32_t repeats = 0;
  WallTime first_due{};
  Milliseconds interval{0};

  // Returns how many times the steps are run.
  std::uint32_t occurrences() const {
    return this->repeats == 0 ? 1 : this->repeats;
  }

  bool has_long_running_step() const {
    return std::any_of(
        this->steps.begin(), this->steps.end(),
        [](const StepSpec& step) { return step.is_long_running; });
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("text", self.text);
    visitor.Field("steps", self.steps);
    visitor.Field("repeats", self.repeats);
    visitor.Field("first_due_ms", self.first_due);
    visitor.Field("interval_ms", self.interval);
  }
};

// Checks a specification as far as this is possible without knowing the
// workers. Returns kBadArgument for a job without steps, a step without tasks,
// a step that waits for itself or a later one, a negative resource need, or
// sizes out of bounds.
absl::Status CheckJobSpec(const JobSpec& spec);

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_JOB_SPEC_H_
