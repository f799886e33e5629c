// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/election_seed.h"

#include <functional>
#include <random>

namespace sumac::replication {

std::uint64_t DrawElectionSeed(const NodeId& node) {
  constexpr int kHalf = 32;
  std::random_device device;
  const std::uint64_t drawn =
      (static_cast<std::uint64_t>(device()) << kHalf) | device();
  return drawn ^ std::hash<std::string>()(node.value());
}

}  // namespace sumac::replication
