// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_CALLS_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_CALLS_H_

#include <kj/async.h>

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/maintenance/instance_messages.h"

namespace sumac::maintenance {

// How a leader reaches the platform about instances; an adapter provides it.
// Empty functions where the platform has no door for that.
struct InstanceCalls {
  // One page of the list; an empty token asks for the first.
  std::function<kj::Promise<absl::StatusOr<InstancePage>>(std::string token)>
      list;
  std::function<kj::Promise<InstanceResult>(InstanceOrder)> send;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_CALLS_H_
