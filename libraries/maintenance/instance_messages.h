// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_MESSAGES_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_MESSAGES_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/codec/describe.h"
#include "libraries/jobs/resources.h"

namespace sumac::maintenance {

// The current state of an instance, as the platform lists it.
enum class InstanceState {
  kUp,
  kMoving,
  kInMaintenance,
  kDown,
  // The instance's row cannot be parsed or names an unknown state, so that no
  // conclusion is drawn from it.
  kUnknown,
};

// One instance as the platform lists it.
struct ListedInstance {
  InstanceName name;
  // The service to whose pool the instance belongs.
  ServiceName service;
  // Empty if the platform does not name it.
  DataCentre data_centre;
  InstanceState state = InstanceState::kDown;
  jobs::Resources capacity;
  // The instance's kind, its rack and other labels that tasks may require. They
  // do not change when the instance moves to another pool.
  std::vector<std::string> labels;
  // The worker that runs on the instance; empty if none does.
  WorkerName worker;
};

// One page of the platform's list of instances.
struct InstancePage {
  std::vector<ListedInstance> instances;
  // The number of rows that do not name their instance.
  std::size_t nameless_rows = 0;
  // The token with which to request the next page; empty on the last page.
  std::string next_token;
};

// Orders the platform to maintain an instance for a wave or, if `pool` is set
// and `wave` is empty, to move it to another pool. Everything that runs on the
// instance ends.
struct InstanceOrder {
  InstanceName instance;
  WaveId wave;
  ServiceName pool;
  // The leader that gives the order, and its fencing token.
  ProcessName holder;
  LeaderEpoch epoch;
};

// The result of an order about an instance.
enum class InstanceResult {
  // The order was carried out, now or before.
  kDone,
  // The instance is not up, or is leaving.
  kBusy,
  // An order with a higher fencing token was given for the instance before.
  kFenced,
  // The instance does not belong to that wave.
  kNotInWave,
  // There is no such instance, or it cannot be moved to that pool.
  kUnknownInstance,
  // The platform accepts no more orders at present, and did nothing.
  kRefused,
  // There was no answer; the order may have been carried out.
  kUnknown,
};

// Returns the result's name in logs.
std::string_view NameOfResult(InstanceResult result);

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
