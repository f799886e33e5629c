// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_DESCRIPTOR_SHARES_H_
#define LIBRARIES_BASE_DESCRIPTOR_SHARES_H_

#include <cstddef>

#include "absl/status/statusor.h"

namespace sumac {

// The maximum numbers of file descriptors that the parts of a process may open,
// which together stay within the limit of the process. The shares of the disk
// and of the peers are kept free for them: a controller that can't write its
// log or reach its peers is lost to its group, while a caller that is refused
// retries.
struct DescriptorShares {
  // The log, the standard streams, the event loop and files that libraries
  // open.
  std::size_t process = 0;
  // Data files and snapshots.
  std::size_t disk = 0;
  // Connections between the processes of this system, in both directions.
  std::size_t peers = 0;
  // Incoming connections to each listener for health checks, metrics and
  // operators.
  std::size_t side_listener = 0;
  // Incoming connections to the listeners of this process for callers, workers
  // and the platform.
  std::size_t incoming = 0;
  // Outgoing connections to workers and to the platform.
  std::size_t outgoing = 0;
};

// Divides `limit` descriptors into shares. Fails with kSettingsInvalid if they
// are too few for the process to work.
absl::StatusOr<DescriptorShares> ShareDescriptors(std::size_t limit);

// Returns the maximum number of descriptors of this process: `wanted` if it is
// not 0, otherwise `allowed`, the limit of the operating system. If `wanted` is
// larger than `allowed`, fails with kSettingsInvalid and a message that gives
// both numbers.
absl::StatusOr<std::size_t> DescriptorLimit(std::size_t wanted,
                                            std::size_t allowed);

// Returns the number of descriptors that the operating system allows this
// process now (RLIMIT_NOFILE).
std::size_t AllowedDescriptors();

}  // namespace sumac

#endif  // LIBRARIES_BASE_DESCRIPTOR_SHARES_H_
