// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_DESCRIPTOR_SHARES_H_
#define LIBRARIES_BASE_DESCRIPTOR_SHARES_H_

#include <cstddef>

#include "absl/status/statusor.h"

namespace sumac {

// How the file descriptors that a process may hold are shared between the
// parts that open them. The disk and the peers come first: a controller that
// can't write its log or hear its peers is lost to its group, while a caller
// who is refused comes back.
struct DescriptorShares {
  // Log, standard streams, the event loop, and files that libraries open.
  std::size_t process = 0;
  // Data files and snapshots.
  std::size_t disk = 0;
  // Connections between our processes, both ways.
  std::size_t peers = 0;
  // Connections that others open to us.
  std::size_t incoming = 0;
  // Connections that we open to workers and to the platform.
  std::size_t outgoing = 0;
};

// Shares out `limit` descriptors; fails with kSettingsInvalid if they are too
// few for the process to do its work.
absl::StatusOr<DescriptorShares> ShareDescriptors(std::size_t limit);

// What the process may hold: `wanted` if it is not 0, else what the operating
// system allows. Fails with kSettingsInvalid, and both figures, if more is
// wanted than is allowed.
absl::StatusOr<std::size_t> DescriptorLimit(std::size_t wanted,
                                            std::size_t allowed);

// What the operating system allows this process now (RLIMIT_NOFILE).
std::size_t AllowedDescriptors();

}  // namespace sumac

#endif  // LIBRARIES_BASE_DESCRIPTOR_SHARES_H_
