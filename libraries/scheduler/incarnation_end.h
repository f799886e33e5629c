// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_INCARNATION_END_H_
#define LIBRARIES_SCHEDULER_INCARNATION_END_H_

#include <string_view>

namespace sumac::scheduler {

// The evidence by which a leader considers a worker's incarnation to be over.
enum class IncarnationEnd {
  // The platform lists its instance as down, as gone, or with another worker.
  kListedAsDown,
  // A later incarnation of the same name is committed.
  kRestarted,
  // Another process answered at its address.
  kReplacedAtAddress,
  // A later incarnation on its instance answered.
  kReplacedOnInstance,
  // The worker announced that it leaves, or the platform accepted an order that
  // ends it.
  kPlanned,
  // The worker has been silent for too long, but may come back.
  kSilent,
};

// Returns the evidence as text for the log.
std::string_view TextOf(IncarnationEnd end);

// Returns true if this proves that the incarnation is over but does not give
// the cause.
bool IsUnexplained(IncarnationEnd end);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_INCARNATION_END_H_
