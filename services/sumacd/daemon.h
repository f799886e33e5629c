// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_DAEMON_H_
#define SERVICES_SUMACD_DAEMON_H_

#include "absl/status/status.h"
#include "services/sumacd/settings.h"

namespace sumac::daemon {

// Creates the data folder of a controller of a new group. Done once, before the
// first start.
absl::Status FormatDataFolder(const Settings& settings);

// Creates an empty data folder for a controller that joins an existing group,
// under an incarnation that was never used before.
absl::Status FormatForJoining(const Settings& settings);

// Runs the process until SIGTERM or SIGINT stops it and the shutdown is
// complete. The error says why the process could not start.
absl::Status RunDaemon(const Settings& settings);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_DAEMON_H_
