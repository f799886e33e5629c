// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_HTTP_LISTENERS_H_
#define SERVICES_SUMACD_HTTP_LISTENERS_H_

#include <atomic>
#include <memory>

#include "absl/status/statusor.h"
#include "libraries/http/http_server.h"
#include "libraries/http/metrics.h"
#include "services/sumacd/core_link.h"
#include "services/sumacd/entry.h"
#include "services/sumacd/settings.h"

namespace sumac::daemon {

// The callers' door: requests to services, and /health for the balancer. Once
// `is_stopping` is set the health check fails and answers close their
// connections, while requests are still served.
absl::StatusOr<std::unique_ptr<http::HttpServer>> OpenCallerListener(
    const Settings& settings,
    Entry& entry,
    const std::atomic<bool>& is_stopping);

// The targets' door: announcements, /metrics and /health.
absl::StatusOr<std::unique_ptr<http::HttpServer>> OpenTargetListener(
    const Settings& settings,
    CoreLink& core,
    const http::Metrics& metrics,
    const std::atomic<bool>& is_stopping);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_HTTP_LISTENERS_H_
