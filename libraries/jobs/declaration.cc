// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/declaration.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::jobs {

JobsDeclaration::JobsDeclaration(
    std::uint64_t version,
    std::vector<QueueDeclaration> queues,
    std::vector<ServiceDeclaration> services,
    std::optional<std::vector<CustomerDeclaration>> customers)
    : own_version(version),
      all_queues(std::move(queues)),
      is_customer_list_declared(customers.has_value()) {
  if (customers) {
    for (CustomerDeclaration& customer : *customers) {
      this->AddCustomer(std::move(customer));
    }
  }
  for (ServiceDeclaration& service : services) {
    const ServiceName name = service.name;
    if (!this->all_services.emplace(name, std::move(service)).second) {
      this->repeated_services.push_back(name);
    }
  }
  for (std::size_t place = 0; place < this->all_queues.size(); ++place) {
    this->by_name[this->all_queues[place].name] = place;
    this->by_host[this->all_queues[place].host].push_back(place);
  }
  // Sorts the queues of each host by the length of their prefix, longest first.
  for (auto& [host, places] : this->by_host) {
    std::stable_sort(places.begin(), places.end(),
                     [this](std::size_t left, std::size_t right) {
                       return this->all_queues[left].path_prefix.size() >
                              this->all_queues[right].path_prefix.size();
                     });
  }
}

void JobsDeclaration::AddCustomer(CustomerDeclaration customer) {
  for (const KeyDigest& key : customer.keys) {
    const auto [owner, is_new] = this->by_key.emplace(key, customer.name);
    if (!is_new) {
      this->shared_keys.emplace_back(owner->second, customer.name);
    }
  }
  const CustomerName name = customer.name;
  if (!this->all_customers.emplace(name, std::move(customer)).second) {
    this->repeated_customers.push_back(name);
  }
}

absl::Status JobsDeclaration::CheckCustomers() const {
  const auto fail = [](const CustomerName& customer, std::string_view problem) {
    return MakeError(ResultCode::kInvalidDeclaration,
                     StrCat("customer ", customer.value(), ": ", problem));
  };
  if (!this->repeated_customers.empty()) {
    return fail(this->repeated_customers.front(), "is declared twice");
  }
  if (!this->shared_keys.empty()) {
    const auto& [one, other] = this->shared_keys.front();
    return fail(other, one == other
                           ? "has the same key twice"
                           : StrCat("shares a key with ", one.value()));
  }
  for (const auto& [name, customer] : this->all_customers) {
    if (name.value().empty()) {
      return fail(name, "has no name");
    }
    if (!(customer.weight > 0)) {
      return fail(name, "has no weight above 0");
    }
    if (!customer.quota.Holds({})) {
      return fail(name, "has a quota below 0");
    }
  }
  return absl::OkStatus();
}

absl::Status JobsDeclaration::Check() const {
  if (!this->repeated_services.empty()) {
    return MakeError(ResultCode::kInvalidDeclaration,
                     StrCat("service ", this->repeated_services.front().value(),
                            " stands twice"));
  }
  if (this->by_name.size() != this->all_queues.size()) {
    return MakeError(ResultCode::kInvalidDeclaration,
                     "two queues have the same name");
  }
  std::set<std::pair<std::string, std::string>> addresses;
  for (const QueueDeclaration& queue : this->all_queues) {
    if (!this->all_services.contains(queue.service)) {
      return MakeError(ResultCode::kInvalidDeclaration,
                       StrCat("queue ", queue.name.value(),
                              ": unknown service ", queue.service.value()));
    }
    if (!addresses.emplace(queue.host, queue.path_prefix).second) {
      return MakeError(
          ResultCode::kInvalidDeclaration,
          StrCat("queue ", queue.name.value(), ": another queue is at ",
                 queue.host, queue.path_prefix));
    }
  }
  return this->CheckCustomers();
}

const QueueDeclaration* JobsDeclaration::FindByAddress(
    std::string_view host,
    std::string_view path) const {
  const auto places = this->by_host.find(host);
  if (places == this->by_host.end()) {
    return nullptr;
  }
  for (const std::size_t place : places->second) {
    if (path.starts_with(this->all_queues[place].path_prefix)) {
      return &this->all_queues[place];
    }
  }
  return nullptr;
}

const QueueDeclaration* JobsDeclaration::FindQueue(
    const QueueName& name) const {
  const auto place = this->by_name.find(name);
  return place == this->by_name.end() ? nullptr
                                      : &this->all_queues[place->second];
}

const ServiceDeclaration* JobsDeclaration::FindService(
    const ServiceName& name) const {
  const auto found = this->all_services.find(name);
  return found == this->all_services.end() ? nullptr : &found->second;
}

const CustomerDeclaration* JobsDeclaration::FindCustomer(
    const CustomerName& name) const {
  const auto found = this->all_customers.find(name);
  return found == this->all_customers.end() ? nullptr : &found->second;
}

const CustomerDeclaration* JobsDeclaration::FindCustomerByKey(
    const KeyDigest& key) const {
  const auto owner = this->by_key.find(key);
  return owner == this->by_key.end() ? nullptr
                                     : this->FindCustomer(owner->second);
}

}  // namespace sumac::jobs
