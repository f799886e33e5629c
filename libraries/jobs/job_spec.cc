// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/job_spec.h"

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"

namespace sumac::jobs {
namespace {

// Bounds that keep one job from filling the controllers' memory.
constexpr std::size_t kMaxSteps = 1'000;
constexpr std::uint64_t kMaxTasks = 100'000;
constexpr std::uint32_t kMaxRepeats = 100'000;

absl::Status CheckStep(const StepSpec& step, std::size_t number) {
  if (step.count == 0) {
    return MakeError(ResultCode::kBadArgument,
                     StrCat("step ", number, " has no tasks"));
  }
  for (const std::uint32_t earlier : step.after) {
    if (earlier >= number) {
      return MakeError(ResultCode::kBadArgument,
                       StrCat("step ", number, " waits for step ", earlier,
                              ", which is not before it"));
    }
  }
  if (step.need.millicores < 0 || step.need.memory_mb < 0 ||
      step.need.accelerators < 0) {
    return MakeError(ResultCode::kBadArgument,
                     StrCat("step ", number, " needs less than nothing"));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status CheckJobSpec(const JobSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return MakeError(ResultCode::kBadArgument,
                     StrCat("found ", spec.steps.size(),
                            " steps, allowed: 1 to ", kMaxSteps));
  }
  std::uint64_t tasks = 0;
  for (std::size_t number = 0; number < spec.steps.size(); ++number) {
    TRY(CheckStep(spec.steps[number], number));
    tasks += spec.steps[number].count;
  }
  if (tasks > kMaxTasks || spec.repeats > kMaxRepeats) {
    return MakeError(
        ResultCode::kBadArgument,
        StrCat("found ", tasks, " tasks and ", spec.repeats,
               " repeats, allowed: up to ", kMaxTasks, " and ", kMaxRepeats));
  }
  return absl::OkStatus();
}

}  // namespace sumac::jobs
