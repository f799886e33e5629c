// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/declaration.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::jobs {

JobsDeclaration::JobsDeclaration(std::uint64_t version,
                                 std::vector<QueueDeclaration> queues,
                                 std::vector<ServiceDeclaration> services)
    : own_version(version), all_queues(std::move(queues)) {
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
  return absl::OkStatus();
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

}  // namespace sumac::jobs
