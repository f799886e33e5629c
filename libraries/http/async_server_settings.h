// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_ASYNC_SERVER_SETTINGS_H_
#define LIBRARIES_HTTP_ASYNC_SERVER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/time.h"

namespace sumac::http {

// The settings of a listener.
struct AsyncServerSettings {
  // The address to listen on, as IP:PORT.
  std::string address;
  // The maximum size of a request's body. A larger body is answered with 413
  // and its connection is closed.
  std::uint64_t max_body_bytes = 1U << 20;
  // The maximum size of all bodies together that are being read. Beyond it a
  // request is answered with a refusal.
  std::uint64_t max_held_bytes = 64U << 20;
  // The maximum time from the first byte of a request to the end of its
  // headers.
  Milliseconds header_time{3'000};
  // The maximum time from the end of a request's headers to the end of its
  // body. A slower one is answered with 408.
  Milliseconds body_time{15'000};
  // The time after which a connection without a request is closed.
  Milliseconds idle_time{15'000};
  // The names of the headers that are copied into ServerRequest::headers.
  std::vector<std::string> headers;
  // The maximum number of open connections; 0 for no limit. A further
  // connection replaces the one that has been idle for the longest; if none is
  // idle, its request is answered with a refusal.
  std::size_t max_connections = 0;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_ASYNC_SERVER_SETTINGS_H_
