// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WAITING_CAUSE_H_
#define LIBRARIES_SCHEDULER_WAITING_CAUSE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/time.h"
#include "libraries/scheduler/placement.h"

namespace sumac::scheduler {

// The reason why a due step has no place.
enum class WaitingReason {
  // The step may still run on a worker that has not answered this leader.
  kUnseen,
  // The customer's quota has no room for a task of the step, or for its gang.
  kQuota,
  // Only workers in evacuated data centres could hold a task of the step, or
  // have room for one now.
  kEvacuated,
  // No worker of the step's service accepts work.
  kNoWorker,
  // No worker of the step's service has the required label.
  kLabel,
  // No remaining worker could hold a task of the step even if it were idle.
  kTooSmall,
  // All remaining workers run the maximum number of the step's tasks per
  // worker.
  kLimit,
  // No remaining worker has enough free room now that is not reserved for
  // another step.
  kRoom,
  // The placement policy admits none of the workers that have room.
  kPolicy,
  // There is room for some members of the gang, but not for all.
  kGang,
  // There is room only far from the step's data, and the step still waits for
  // room near it.
  kNear,
};

inline constexpr std::array kWaitingReasons{
    WaitingReason::kUnseen,   WaitingReason::kQuota, WaitingReason::kEvacuated,
    WaitingReason::kNoWorker, WaitingReason::kLabel, WaitingReason::kTooSmall,
    WaitingReason::kLimit,    WaitingReason::kRoom,  WaitingReason::kPolicy,
    WaitingReason::kGang,     WaitingReason::kNear};

std::string_view NameOf(WaitingReason reason);

// Why a step has no place. Counts the workers of its service that accept work,
// each under the first requirement that excludes it.
struct WaitingCause {
  WaitingReason reason = WaitingReason::kNoWorker;
  std::uint32_t workers = 0;
  std::uint32_t without_label = 0;
  std::uint32_t too_small = 0;
  std::uint32_t at_limit = 0;
  std::uint32_t without_room = 0;
  std::uint32_t not_admitted = 0;
  // The workers of the service in evacuated data centres that could hold a task
  // of the step if they were idle, and the number of tasks for which they have
  // room now. They are not among `workers`.
  std::uint32_t evacuated = 0;
  std::uint32_t evacuated_places = 0;
  // The number of tasks (or members of a gang) for which there is room now, up
  // to the step's count.
  std::uint32_t places = 0;
  // Whether the workers of the whole fleet, of any service, with nothing
  // running and not in an evacuated data centre, could hold the step: one task
  // of it, or a whole gang.
  bool is_feasible = false;
  // Whether at least half of the processor capacity of the service's workers is
  // free.
  bool is_half_free = false;

  std::string ToText() const;
};

// Determines why a step has no place. `may_run_unseen`: see
// WaitingReason::kUnseen. Scans all workers, so it should be called for a few
// steps at a time only. Pure.
WaitingCause FindWaitingCause(const PlacementRequest& request,
                              const Placement& placement,
                              const Placement::Sessions& fleet,
                              bool may_run_unseen,
                              SteadyTime now);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WAITING_CAUSE_H_
