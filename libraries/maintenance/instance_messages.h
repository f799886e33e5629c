// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_MESSAGES_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_MESSAGES_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/codec/describe.h"
#include "libraries/jobs/resources.h"

namespace sumac::maintenance {

// What an instance does now, as the platform lists it.
enum class InstanceState {
  kUp,
  kMoving,
  kInMaintenance,
  kDown,
  // Its row can't be read, or names a state that is not known here: nothing
  // follows from it.
  kUnknown,
};

// One instance as the platform lists it.
struct ListedInstance {
  InstanceName name;
  // The service whose pool it is in.
  ServiceName service;
  InstanceState state = InstanceState::kDown;
  jobs::Resources capacity;
  // Its kind, its rack and whatever else tasks may require; they stay with the
  // instance.
  std::vector<std::string> labels;
  // The worker that runs there; empty if none does.
  WorkerName worker;
};

// One page of the platform's list of instances.
struct InstancePage {
  std::vector<ListedInstance> instances;
  // Rows that don't tell which instance they are about.
  std::size_t nameless_rows = 0;
  // Asks for the next page; empty after the last.
  std::string next_token;
};

// Tells the platform to maintain an instance for a wave, or, with `pool` set
// and `wave` empty, to move it to another pool. Everything that runs there
// ends.
struct InstanceOrder {
  InstanceName instance;
  WaveId wave;
  ServiceName pool;
  // The leader that gives the order, and its fencing token.
  ProcessName holder;
  LeaderEpoch epoch;
};

// What became of an order about an instance.
enum class InstanceResult {
  // Done, now or before.
  kDone,
  // It is not up, or is leaving.
  kBusy,
  // A higher fencing token was used for it.
  kFenced,
  // It is not of that wave.
  kNotInWave,
  // There is no such instance, or it can't go to that pool.
  kUnknownInstance,
  // The platform takes no more orders now, and did nothing.
  kRefused,
  // No answer: it may have been done.
  kUnknown,
};

}  // namespace sumac::maintenance

namespace sumac {

template <>
struct EnumNames<maintenance::InstanceState> {
  using enum maintenance::InstanceState;
  static constexpr std::array kNames = {
      EnumName<maintenance::InstanceState>{kUp, "up"},
      EnumName<maintenance::InstanceState>{kMoving, "moving"},
      EnumName<maintenance::InstanceState>{kInMaintenance, "in-maintenance"},
      EnumName<maintenance::InstanceState>{kDown, "down"},
      EnumName<maintenance::InstanceState>{kUnknown, "unknown"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_MESSAGES_H_
