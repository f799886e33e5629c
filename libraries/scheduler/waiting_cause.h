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

// What keeps a step that is due from a place.
enum class WaitingReason {
  // It may still run on a worker that has not answered this leader.
  kUnseen,
  // No worker of its service takes work.
  kNoWorker,
  // No worker of its service has the label that it requires.
  kLabel,
  // No worker that is left could hold a task of it even if nothing ran there.
  kTooSmall,
  // All workers that are left hold as many of its tasks as one may.
  kLimit,
  // No worker that is left has room now.
  kRoom,
  // The placement policy admits none of those that have room.
  kPolicy,
  // There is room for some members of the gang and not for all.
  kGang,
  // There is room only far from its data, and it still waits for some near.
  kNear,
};

inline constexpr std::array kWaitingReasons{
    WaitingReason::kUnseen,   WaitingReason::kNoWorker, WaitingReason::kLabel,
    WaitingReason::kTooSmall, WaitingReason::kLimit,    WaitingReason::kRoom,
    WaitingReason::kPolicy,   WaitingReason::kGang,     WaitingReason::kNear};

std::string_view NameOf(WaitingReason reason);

// Why a step has no place, with the workers of its service that take work, each
// counted under the first wish that excludes it.
struct WaitingCause {
  WaitingReason reason = WaitingReason::kNoWorker;
  std::uint32_t workers = 0;
  std::uint32_t without_label = 0;
  std::uint32_t too_small = 0;
  std::uint32_t at_limit = 0;
  std::uint32_t without_room = 0;
  std::uint32_t not_admitted = 0;
  // Members of a gang, or single tasks, that would find room now; counted up to
  // the step's count.
  std::uint32_t places = 0;
  // The fleet's workers, of any service and with nothing running, could hold
  // the step: one task of it, or a whole gang.
  bool is_feasible = false;
  // At least half of the processor room of its service's workers is free.
  bool is_half_free = false;

  std::string ToText() const;
};

// Finds why a step has no place. `may_run_unseen` as in WaitingReason::kUnseen.
// It walks over all workers, so it is for a few steps now and then. Pure.
WaitingCause FindWaitingCause(const PlacementRequest& request,
                              const Placement& placement,
                              const Placement::Sessions& fleet,
                              bool may_run_unseen,
                              SteadyTime now);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WAITING_CAUSE_H_
