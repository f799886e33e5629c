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
  // What each task needs of its worker.
  Resources need;
  // The submitter's guess of a task's run time; may be far off.
  Milliseconds estimate{0};
  // Earlier steps, counted from 0, that must be done first.
  std::vector<std::uint32_t> after;
  // Tasks save their progress and can go on from it elsewhere.
  bool is_checkpointing = false;
  // All tasks run together or not at all.
  bool is_gang = false;
  // Tasks spread over several racks run slower.
  bool wants_same_rack = false;
  // A label that the worker must have; empty for any.
  std::string required_label;
  // The rack that holds the step's data; empty if that does not matter.
  Rack data_rack;
  // Tasks of the step that one worker may hold at most; 0 for no limit.
  std::uint32_t most_per_worker = 0;
  // Copies of a task may run side by side; the first to end counts.
  bool is_speculative = false;
  // Tasks run until the job is cancelled and are started again when they end.
  bool is_long_running = false;
  // Tasks of one image behave alike.
  std::string image;
  // Tasks serve users of their own and should answer within this; 0 if they
  // serve nobody.
  Milliseconds latency_target{0};
  // Tasks use only processor time that others leave; theirs is not counted.
  bool is_filler = false;
  // How many tasks of the step the system may have taken away at once.
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

// What a caller submits.
struct JobSpec {
  // Passed on to the workers unread.
  std::string text;
  std::vector<StepSpec> steps;
  // How often the steps are run; time K, counted from 0, is due at first_due +
  // K * interval. 0 means once and at once.
  std::uint32_t repeats = 0;
  WallTime first_due{};
  Milliseconds interval{0};

  // How many times the steps are run.
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

// Checks what no worker is needed to know: kBadArgument for a job without
// steps, a step without tasks, a step that waits for itself or a later one, or
// sizes out of bounds.
absl::Status CheckJobSpec(const JobSpec& spec);

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_JOB_SPEC_H_
