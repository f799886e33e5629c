// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_NODE_DAEMON_H_
#define SERVICES_SUMACD_NODE_DAEMON_H_

#include <string>

#include "absl/status/status.h"
#include "services/sumacd/node_settings.h"

namespace sumac::daemon {

// Runs a process that discovers the others from seeds, until SIGTERM or SIGINT
// stops it and the shutdown is complete. `path` is the settings file, which is
// reloaded on SIGHUP and when it changes. The error says why the process could
// not start.
absl::Status RunNodeDaemon(const NodeSettings& settings,
                           const std::string& path);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_NODE_DAEMON_H_
