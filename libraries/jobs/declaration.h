// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_DECLARATION_H_
#define LIBRARIES_JOBS_DECLARATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::jobs {

// How long a queue's placement policy needs for a question, for each worker in
// it, and how long its answers hold.
struct PlacementPolicy {
  Milliseconds decision_time{0};
  Milliseconds worker_time{0};
  Milliseconds validity{0};
};

// A queue that takes jobs for one service. Jobs are addressed by host and path.
struct QueueDeclaration {
  QueueName name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  // 0 goes first.
  std::uint32_t priority = 0;
  // Runs of one task that may end as failed before its job fails.
  std::uint32_t most_attempts = 1;
  // A job is in time within `stretch` times its longest chain of work plus
  // `latency_target`.
  double stretch = 1;
  Milliseconds latency_target{0};
  // Set if a policy says which workers may run a step.
  std::optional<PlacementPolicy> placement_policy;
};

// A service: the pool of instances whose workers run its queues' tasks.
struct ServiceDeclaration {
  ServiceName name;
  // Its workers reject what does not fit; otherwise we must keep their room.
  bool enforces_capacity = true;
  // The pool's instances are off and free until they are moved elsewhere.
  bool is_headroom = false;
};

// All queues and services in force, as one version of the operators' document.
class JobsDeclaration {
 public:
  JobsDeclaration() = default;
  JobsDeclaration(std::uint64_t version,
                  std::vector<QueueDeclaration> queues,
                  std::vector<ServiceDeclaration> services);

  std::uint64_t version() const { return this->own_version; }
  const std::vector<QueueDeclaration>& queues() const {
    return this->all_queues;
  }
  const std::map<ServiceName, ServiceDeclaration>& services() const {
    return this->all_services;
  }

  // kInvalidDeclaration for a queue of an unknown service, two queues in one
  // place, or a name that stands twice.
  absl::Status Check() const;

  // The queue with the longest prefix of `path` on `host`, or nothing.
  const QueueDeclaration* FindByAddress(std::string_view host,
                                        std::string_view path) const;
  const QueueDeclaration* FindQueue(const QueueName& name) const;
  const ServiceDeclaration* FindService(const ServiceName& name) const;

 private:
  std::uint64_t own_version = 0;
  std::vector<QueueDeclaration> all_queues;
  std::map<ServiceName, ServiceDeclaration> all_services;
  std::vector<ServiceName> repeated_services;
  std::map<QueueName, std::size_t> by_name;
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_DECLARATION_H_
