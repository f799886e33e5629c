// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_LIFE_END_H_
#define LIBRARIES_SCHEDULER_LIFE_END_H_

#include <string_view>

namespace sumac::scheduler {

// By which evidence a leader takes a worker's life for ended.
enum class LifeEnd {
  // The platform lists its instance as down, as gone, or with another worker.
  kListedAsDown,
  // A later life of the same name is on record.
  kRestarted,
  // Another process answered at its address.
  kReplacedAtAddress,
  // A later life on its instance answered.
  kReplacedOnInstance,
  // It said that it leaves, or the platform took an order that ends it.
  kPlanned,
  // It has been silent for long, and may come back.
  kSilent,
};

// The evidence, for the log.
std::string_view TextOf(LifeEnd end);

// True if this proves that the life is over, without telling why.
bool IsUnexplained(LifeEnd end);

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_LIFE_END_H_
