// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_CHARTS_H_
#define LIBRARIES_FLEET_CHARTS_H_

#include <string>

#include "absl/status/statusor.h"
#include "libraries/statechart/chart.h"

namespace sumac::fleet {

// The state charts that the fleet's state machine interprets. They are checked
// against the states that the program defines.
struct Charts {
  Chart instance;
  Chart job;
  Chart request;

  // Loads instance.json, job.json and request.json from `folder`.
  static absl::StatusOr<Charts> Load(const std::string& folder);
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_CHARTS_H_
