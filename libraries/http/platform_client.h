// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_PLATFORM_CLIENT_H_
#define LIBRARIES_HTTP_PLATFORM_CLIENT_H_

#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/time.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/planner.h"

namespace sumac::http {

// Something that carries out operations on instances. Telling it the same
// operation again does nothing twice, since the id is the same; each telling
// answers how far it is.
template <typename T>
concept Platform = requires(T& platform, const fleet::PlatformStep& step) {
  {
    platform.Tell(step)
    } -> std::same_as<absl::StatusOr<fleet::RecordPlatformReport>>;
};

// The platform's HTTP door, as docs/PROTOCOLS.md describes it.
class PlatformClient {
 public:
  // `address` is IP:PORT; each call takes at most `timeout`.
  PlatformClient(std::string address, Milliseconds timeout)
      : address(std::move(address)), timeout(timeout) {}

  // Tells one operation; blocks. The error is kUnreachable or
  // kMalformedMessage.
  absl::StatusOr<fleet::RecordPlatformReport> Tell(
      const fleet::PlatformStep& step);

 private:
  std::string address;
  Milliseconds timeout;
};

static_assert(Platform<PlatformClient>);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_PLATFORM_CLIENT_H_
