// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac {
namespace {

// The limit where the operating system sets none or a higher one. It keeps the
// sums of shares small, and a process has no processor time for more
// connections than this.
constexpr std::size_t kMaxDescriptors = 1U << 20;
// The minimum for a group of five controllers, a dozen callers and a few
// workers.
constexpr std::size_t kMinDescriptors = 128;
// Libraries, locales and name look-ups open some dozens of files for a short
// time; a platform may keep up to 200 open for them.
constexpr std::size_t kMaxForProcess = 224;
// Two log segments, two snapshots and their folder, and the same number again
// while they are replaced.
constexpr std::size_t kMaxForDisk = 32;
// A platform's health checks, a few readers of metrics and a few operators.
constexpr std::size_t kMaxForSideListener = 16;
constexpr std::size_t kSideListenerDivisor = 64;
constexpr std::size_t kSideListeners = 3;
// The shares of the remaining descriptors, in eighths. Peers are processes of
// this system, with one connection in each direction; callers and workers that
// announce themselves keep one connection each; a worker that receives orders
// takes up to five.
constexpr std::size_t kEighths = 8;
constexpr std::size_t kPeerEighths = 1;
constexpr std::size_t kIncomingEighths = 2;

}  // namespace

absl::StatusOr<DescriptorShares> ShareDescriptors(std::size_t limit) {
  if (limit < kMinDescriptors) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat("a process needs at least ", kMinDescriptors,
                            " file descriptors and may hold ", limit));
  }
  DescriptorShares shares;
  shares.process = std::min(kMaxForProcess, limit / kEighths);
  shares.disk = std::min(kMaxForDisk, limit / kEighths);
  shares.side_listener =
      std::min(kMaxForSideListener, limit / kSideListenerDivisor);
  const std::size_t left = limit - shares.process - shares.disk;
  shares.peers = left * kPeerEighths / kEighths;
  shares.incoming = left * kIncomingEighths / kEighths;
  shares.outgoing = left - shares.peers - shares.incoming -
                    kSideListeners * shares.side_listener;
  return shares;
}

absl::StatusOr<std::size_t> DescriptorLimit(std::size_t wanted,
                                            std::size_t allowed) {
  if (wanted > allowed) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat("most_descriptors asks for ", wanted,
                            " file descriptors, and the operating system "
                            "allows this process ",
                            allowed));
  }
  return wanted == 0 ? allowed : wanted;
}

std::size_t AllowedDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kMaxDescriptors;
  }
  return std::min<std::size_t>(limit.rlim_cur, kMaxDescriptors);
}

}  // namespace sumac
