// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_CALLS_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_CALLS_H_

#include <kj/async.h>

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/maintenance/instance_messages.h"

namespace sumac::maintenance {

// The calls with which a leader lists and orders the platform's instances. An
// adapter provides them; the functions are empty if the platform has no
// interface for instances.
struct InstanceCalls {
  // Requests one page of the list of instances; an empty token requests the
  // first page.
  std::function<kj::Promise<absl::StatusOr<InstancePage>>(std::string token)>
      list;
  std::function<kj::Promise<InstanceResult>(InstanceOrder)> send;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_CALLS_H_
