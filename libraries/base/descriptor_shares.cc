// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac {
namespace {

// Beyond this a process has more connections than it has time for; it keeps the
// sums small where the operating system names no limit.
constexpr std::size_t kMaxDescriptors = 1U << 20;
// Below this there is no room for a group of five, a dozen callers and a few
// workers.
constexpr std::size_t kMinDescriptors = 128;
// Libraries, locales and name look-ups open some dozens for a moment; a
// platform may keep up to 200 for them.
constexpr std::size_t kMaxForProcess = 224;
// Two log segments, two snapshots, their folder, and as many while they are
// replaced.
constexpr std::size_t kMaxForDisk = 32;
// Of what is left after these, in eighths. Peers are our own processes, one
// connection each way; callers and workers that announce themselves keep one
// each; a worker that is given orders takes up to five.
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
  const std::size_t left = limit - shares.process - shares.disk;
  shares.peers = left * kPeerEighths / kEighths;
  shares.incoming = left * kIncomingEighths / kEighths;
  shares.outgoing = left - shares.peers - shares.incoming;
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
