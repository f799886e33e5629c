// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_REFUSAL_REASON_H_
#define LIBRARIES_SCHEDULER_REFUSAL_REASON_H_

#include <string_view>

namespace sumac::scheduler {

// Why a new job was refused.
enum class RefusalReason {
  // The declared maximum number of jobs is active.
  kOverload,
  // The customer's quota or share is used up, and many jobs are active.
  kShare,
  // More jobs wait than can be begun.
  kBacklog,
  // The job would begin too late to be in time.
  kTooLate,
  // The leader's event loop is late.
  kLate,
};

constexpr std::string_view NameOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverload:
      return "overload";
    case RefusalReason::kShare:
      return "share";
    case RefusalReason::kBacklog:
      return "backlog";
    case RefusalReason::kTooLate:
      return "too_late";
    case RefusalReason::kLate:
      return "late";
  }
  return "";
}

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_REFUSAL_REASON_H_
