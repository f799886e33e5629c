// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_PLATFORM_CLIENT_H_
#define LIBRARIES_HTTP_PLATFORM_CLIENT_H_

#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/time.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/planner.h"

namespace sumac::http {

// A platform that carries out operations on instances. Sending an operation
// again does not repeat it, since its id is the same; each call returns the
// progress of the operation.
template <typename T>
concept Platform = requires(T& platform, const fleet::PlatformStep& step) {
  {
    platform.SendOperation(step)
    } -> std::same_as<absl::StatusOr<fleet::RecordPlatformReport>>;
};

// A client of the platform's HTTP API, which docs/PROTOCOLS.md describes.
class PlatformClient {
 public:
  // `address` is IP:PORT. `timeout` applies to connecting and to each send and
  // receive.
  PlatformClient(std::string address, Milliseconds timeout)
      : address(std::move(address)), timeout(timeout) {}

  // Sends one operation and returns its progress. Blocks until the answer
  // arrives. The error is kUnreachable or kMalformedMessage.
  absl::StatusOr<fleet::RecordPlatformReport> SendOperation(
      const fleet::PlatformStep& step);

 private:
  std::string address;
  Milliseconds timeout;
};

static_assert(Platform<PlatformClient>);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_PLATFORM_CLIENT_H_
