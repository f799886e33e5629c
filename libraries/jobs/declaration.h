// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_DECLARATION_H_
#define LIBRARIES_JOBS_DECLARATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/customer.h"

namespace sumac::jobs {

// The time that a queue's placement policy needs for one decision, the
// additional time for each worker that the decision covers, and how long a
// decision stays valid.
struct PlacementPolicy {
  Milliseconds decision_time{0};
  Milliseconds worker_time{0};
  Milliseconds validity{0};
};

// A queue that accepts jobs for one service. Jobs are addressed by host and
// path.
struct QueueDeclaration {
  QueueName name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  // The queue's priority; 0 is the highest.
  std::uint32_t priority = 0;
  // The number of failed runs of one task at which its job fails.
  std::uint32_t most_attempts = 1;
  // A job is on time if it takes no longer than `stretch` times its longest
  // chain of dependent steps plus `latency_target`.
  double stretch = 1;
  Milliseconds latency_target{0};
  // True if calls need no key. Jobs of such a queue belong to no customer.
  bool is_public = false;
  // Set if a policy decides which workers may run a step.
  std::optional<PlacementPolicy> placement_policy;
};

// A service: the pool of instances whose workers run the tasks of its queues.
struct ServiceDeclaration {
  ServiceName name;
  // True if its workers reject tasks that exceed their capacity. Otherwise the
  // scheduler must keep within the capacity itself.
  bool enforces_capacity = true;
  // True if the pool's instances are switched off and cost nothing until they
  // are moved to another pool.
  bool is_headroom = false;
};

// All queues, services and customers that one version of the operators'
// document declares.
class JobsDeclaration {
 public:
  JobsDeclaration() = default;
  // Without `customers` no call needs a key.
  JobsDeclaration(
      std::uint64_t version,
      std::vector<QueueDeclaration> queues,
      std::vector<ServiceDeclaration> services,
      std::optional<std::vector<CustomerDeclaration>> customers = {});

  std::uint64_t version() const { return this->own_version; }
  const std::vector<QueueDeclaration>& queues() const {
    return this->all_queues;
  }
  const std::map<ServiceName, ServiceDeclaration>& services() const {
    return this->all_services;
  }

  bool has_customers() const { return this->is_customer_list_declared; }
  const std::map<CustomerName, CustomerDeclaration>& customers() const {
    return this->all_customers;
  }

  // Returns kInvalidDeclaration if a queue names an unknown service, two queues
  // have the same host and prefix, a name is declared twice, a customer has no
  // weight, or a key is declared twice.
  absl::Status Check() const;

  // Returns the queue on `host` with the longest prefix of `path`, or null if
  // there is none.
  const QueueDeclaration* FindByAddress(std::string_view host,
                                        std::string_view path) const;
  const QueueDeclaration* FindQueue(const QueueName& name) const;
  const ServiceDeclaration* FindService(const ServiceName& name) const;
  const CustomerDeclaration* FindCustomer(const CustomerName& name) const;
  // Returns the customer that a key identifies, or null for an unknown key.
  const CustomerDeclaration* FindCustomerByKey(const KeyDigest& key) const;

 private:
  void AddCustomer(CustomerDeclaration customer);
  absl::Status CheckCustomers() const;

  std::uint64_t own_version = 0;
  std::vector<QueueDeclaration> all_queues;
  std::map<ServiceName, ServiceDeclaration> all_services;
  std::vector<ServiceName> repeated_services;
  std::map<QueueName, std::size_t> by_name;
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
  bool is_customer_list_declared = false;
  std::map<CustomerName, CustomerDeclaration> all_customers;
  std::unordered_map<KeyDigest, CustomerName> by_key;
  std::vector<CustomerName> repeated_customers;
  // Pairs of customers that declare the same key; a customer stands twice if it
  // repeats a key of its own.
  std::vector<std::pair<CustomerName, CustomerName>> shared_keys;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_DECLARATION_H_
