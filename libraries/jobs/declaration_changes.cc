// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/declaration_changes.h"

#include <map>
#include <string>
#include <utility>

#include "libraries/base/names.h"

namespace sumac::jobs {
namespace {

using Address = std::pair<std::string, std::string>;

std::map<Address, const QueueDeclaration*> QueuesByAddress(
    const JobsDeclaration& declaration) {
  std::map<Address, const QueueDeclaration*> queues;
  for (const QueueDeclaration& queue : declaration.queues()) {
    queues.emplace(Address(queue.host, queue.path_prefix), &queue);
  }
  return queues;
}

void CompareQueues(const JobsDeclaration& before,
                   const JobsDeclaration& after,
                   DeclarationChanges& changes) {
  const auto earlier = QueuesByAddress(before);
  const auto later = QueuesByAddress(after);
  for (const auto& [address, queue] : earlier) {
    changes.removed_queues += later.contains(address) ? 0 : 1;
    const QueueDeclaration* same_name = after.FindQueue(queue->name);
    const bool is_elsewhere =
        same_name != nullptr &&
        Address(same_name->host, same_name->path_prefix) != address;
    changes.readdressed_names += is_elsewhere ? 1 : 0;
  }
  for (const auto& [address, queue] : later) {
    const auto found = earlier.find(address);
    if (found == earlier.end()) {
      ++changes.added_queues;
      continue;
    }
    const QueueDeclaration& known = *found->second;
    changes.renamed_queues += known.name != queue->name ? 1 : 0;
    changes.moved_queues += known.service != queue->service ? 1 : 0;
    changes.reopened_queues += known.is_public != queue->is_public ? 1 : 0;
  }
}

std::map<KeyDigest, CustomerName> OwnersOfKeys(
    const JobsDeclaration& declaration) {
  std::map<KeyDigest, CustomerName> owners;
  for (const auto& [name, customer] : declaration.customers()) {
    for (const KeyDigest& key : customer.keys) {
      owners.emplace(key, name);
    }
  }
  return owners;
}

void CompareCustomers(const JobsDeclaration& before,
                      const JobsDeclaration& after,
                      DeclarationChanges& changes) {
  for (const auto& [name, customer] : before.customers()) {
    const CustomerDeclaration* later = after.FindCustomer(name);
    changes.removed_customers += later == nullptr ? 1 : 0;
    const bool has_other_quota =
        later != nullptr && !(later->quota == customer.quota);
    changes.changed_quotas += has_other_quota ? 1 : 0;
  }
  for (const auto& [name, customer] : after.customers()) {
    changes.added_customers += before.FindCustomer(name) == nullptr ? 1 : 0;
  }
  const auto earlier = OwnersOfKeys(before);
  const auto later = OwnersOfKeys(after);
  for (const auto& [key, owner] : earlier) {
    changes.removed_keys += later.contains(key) ? 0 : 1;
  }
  for (const auto& [key, owner] : later) {
    const auto found = earlier.find(key);
    changes.added_keys += found == earlier.end() ? 1 : 0;
    const bool is_moved = found != earlier.end() && found->second != owner;
    changes.moved_keys += is_moved ? 1 : 0;
  }
}

}  // namespace

DeclarationChanges CompareDeclarations(const JobsDeclaration& before,
                                       const JobsDeclaration& after) {
  DeclarationChanges changes;
  CompareQueues(before, after, changes);
  CompareCustomers(before, after, changes);
  return changes;
}

}  // namespace sumac::jobs
