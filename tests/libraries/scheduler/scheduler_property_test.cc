// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::scheduler {
namespace {

constexpr std::size_t kWorkers = 4;
constexpr int kSteps = 60;

// Applies one random event to the fleet.
void ApplyEvent(FakeFleet& fleet, int& next_job, int& next_life) {
  const std::string worker =
      "w" + std::to_string(*rc::gen::inRange<int>(0, kWorkers));
  FakeWorker& chosen = fleet.worker(worker);
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
    case 1:
    case 2:
      fleet.Submit("job" + std::to_string(next_job++),
                   {.count = *rc::gen::inRange<std::uint32_t>(1, 6)});
      break;
    case 3:
      fleet.ChangeLeader();
      break;
    case 4:
      chosen.is_cut = true;
      chosen.is_cut_with_resets = *rc::gen::arbitrary<bool>();
      break;
    case 5:
      chosen.is_cut = false;
      break;
    case 6:
      if (chosen.is_up) {
        chosen.Crash();
        fleet.AddWorker("life" + std::to_string(next_life++),
                        chosen.description.instance.value());
      }
      break;
    case 7:
      fleet.lists_instances = *rc::gen::arbitrary<bool>();
      fleet.late_permille = *rc::gen::inRange<std::uint32_t>(0, 300);
      fleet.lost_report_permille = *rc::gen::inRange<std::uint32_t>(0, 500);
      break;
    default:
      if (next_job > 0) {
        fleet.Commit(jobs::CancelJob{
            JobId("job" + std::to_string(*rc::gen::inRange(0, next_job)))});
      }
      break;
  }
  fleet.PassTime(Milliseconds(*rc::gen::inRange(10, 1'500)));
}

RC_GTEST_PROP(SchedulerPropertyTest, NothingRunsTwiceInAnyHistory, ()) {
  FakeFleet fleet(kWorkers, *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  int next_job = 0;
  int next_life = 0;
  for (int step = 0; step < kSteps && fleet.problem.empty(); ++step) {
    ApplyEvent(fleet, next_job, next_life);
  }
  if (!fleet.problem.empty()) {
    RC_FAIL(fleet.problem);
  }
  // Once the faults end, all accepted jobs end, too.
  fleet.late_permille = 0;
  fleet.lost_report_permille = 0;
  for (std::size_t number = 0; number < kWorkers; ++number) {
    fleet.worker("w" + std::to_string(number)).is_cut = false;
  }
  fleet.PassTime(Milliseconds(40'000));
  RC_ASSERT(fleet.problem.empty());
  for (int job = 0; job < next_job; ++job) {
    RC_ASSERT(!fleet.job("job" + std::to_string(job)).is_active());
  }
}

}  // namespace
}  // namespace sumac::scheduler
