// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/label_needs.h"

#include <algorithm>
#include <tuple>

namespace sumac::maintenance {
namespace {

template <typename Key>
std::int64_t Find(const std::map<Key, std::int64_t>& counts, const Key& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

LabelNeeds::LabelNeeds(const Labels& labels,
                       const std::map<ServiceName, jobs::ServiceDemand>& demand)
    : labels(labels) {
  for (const auto& [service, needed] : demand) {
    for (const auto& [label, labelled] : needed.by_label) {
      this->required_labels.insert(label);
    }
  }
}

std::set<std::string> LabelNeeds::RequiredLabelsOf(
    const InstanceName& instance) const {
  std::set<std::string> found;
  const auto known = this->labels.find(instance);
  if (this->required_labels.empty() || known == this->labels.end()) {
    return found;
  }
  for (const std::string& label : known->second) {
    if (this->required_labels.contains(label)) {
      found.insert(label);
    }
  }
  return found;
}

void LabelNeeds::Add(const ServiceName& pool, const InstanceName& instance) {
  for (const std::string& label : this->RequiredLabelsOf(instance)) {
    ++this->have[{pool, label}];
  }
}

void LabelNeeds::Move(const ServiceName& from,
                      const ServiceName& to,
                      const InstanceName& instance) {
  for (const std::string& label : this->RequiredLabelsOf(instance)) {
    --this->have[{from, label}];
    ++this->have[{to, label}];
  }
}

void LabelNeeds::SetNeed(const ServiceName& pool,
                         const std::string& label,
                         std::int64_t instances) {
  this->needs[{pool, label}] = instances;
}

std::int64_t LabelNeeds::CountIn(const ServiceName& pool,
                                 const std::string& label) const {
  return Find(this->have, Key(pool, label));
}

std::int64_t LabelNeeds::CountAll(const std::string& label) const {
  std::int64_t all = 0;
  for (const auto& [key, count] : this->have) {
    all += key.second == label ? count : 0;
  }
  return all;
}

std::int64_t LabelNeeds::NeedOf(const ServiceName& pool,
                                const std::string& label) const {
  return Find(this->needs, Key(pool, label));
}

bool LabelNeeds::Has(const InstanceName& instance,
                     const std::string& label) const {
  return this->RequiredLabelsOf(instance).contains(label);
}

bool LabelNeeds::CanSpare(const ServiceName& pool,
                          const InstanceName& instance) const {
  const std::set<std::string> found = this->RequiredLabelsOf(instance);
  return std::all_of(found.begin(), found.end(), [&](const auto& label) {
    return this->CountIn(pool, label) > this->NeedOf(pool, label);
  });
}

std::vector<std::pair<ServiceName, std::string>> LabelNeeds::FindShortages()
    const {
  std::vector<std::tuple<bool, std::int64_t, Key>> order;
  for (const auto& [key, needed] : this->needs) {
    const std::int64_t count = Find(this->have, key);
    if (count < needed) {
      order.emplace_back(count > 0, count - needed, key);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<Key> shortages;
  shortages.reserve(order.size());
  for (const auto& [has_some, negative_shortage, key] : order) {
    shortages.push_back(key);
  }
  return shortages;
}

}  // namespace sumac::maintenance
