// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/worker_index.h"

#include <algorithm>

#include "libraries/base/text.h"
#include "libraries/fleet/instance.h"

namespace sumac::fleet {

Resources& Resources::operator+=(const Resources& other) {
  this->accelerators += other.accelerators;
  this->millicores += other.millicores;
  this->memory_mb += other.memory_mb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->accelerators -= other.accelerators;
  this->millicores -= other.millicores;
  this->memory_mb -= other.memory_mb;
  return *this;
}

Resources Resources::Of(const JobSpec& spec) {
  return Resources{spec.accelerators, spec.millicores, spec.memory_mb};
}

Resources Resources::Of(const TargetDescription& target) {
  return Resources{target.accelerators, target.millicores, target.memory_mb};
}

std::string Resources::ToString() const {
  return StrCat(this->accelerators, " accelerators, ", this->millicores,
                " millicores, ", this->memory_mb, " MB");
}

void WorkerIndex::Set(const InstanceName& worker,
                      const Resources& capacity,
                      const Resources& free,
                      bool can_take_work) {
  this->Remove(worker);
  this->workers[worker] = Entry{capacity, free, can_take_work};
  ++this->capacities[capacity];
  if (can_take_work) {
    this->by_free.emplace(free, worker);
  }
}

void WorkerIndex::Remove(const InstanceName& worker) {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) {
    return;
  }
  this->by_free.erase({found->second.free, worker});
  const auto capacity = this->capacities.find(found->second.capacity);
  if (--capacity->second == 0) {
    this->capacities.erase(capacity);
  }
  this->workers.erase(found);
}

std::optional<InstanceName> WorkerIndex::FindTightest(
    const Resources& need,
    const std::set<InstanceName>& excluded,
    std::vector<std::string>& rejected) const {
  std::size_t scanned = 0;
  const Resources smallest{need.accelerators, need.millicores, 0};
  auto position = this->by_free.lower_bound({smallest, InstanceName()});
  while (position != this->by_free.end() && scanned < kMaxScannedWorkers) {
    const auto& [free, worker] = *position;
    ++scanned;
    if (!free.Covers(need)) {
      // Everything with this many accelerators and fewer cores can be passed
      // over at once.
      if (free.millicores < need.millicores) {
        position = this->by_free.lower_bound(
            {Resources{free.accelerators, need.millicores, 0}, InstanceName()});
        continue;
      }
      rejected.push_back(StrCat(worker.value(), ": free ", free.ToString()));
    } else if (excluded.contains(worker)) {
      rejected.push_back(
          StrCat(worker.value(), ": the job failed there before"));
    } else {
      return worker;
    }
    ++position;
  }
  return std::nullopt;
}

bool WorkerIndex::CouldEverFit(const Resources& need) const {
  return std::any_of(this->capacities.begin(), this->capacities.end(),
                     [&](const auto& kind) { return kind.first.Covers(need); });
}

std::string WorkerIndex::DescribeNearestMiss(const Resources& need) const {
  if (this->capacities.empty()) {
    return "the pool has no workers";
  }
  // The kind of worker that misses the fewest parts, and of those the largest.
  const auto count_missing = [&](const Resources& kind) {
    return (kind.accelerators < need.accelerators ? 1 : 0) +
           (kind.millicores < need.millicores ? 1 : 0) +
           (kind.memory_mb < need.memory_mb ? 1 : 0);
  };
  const Resources* nearest = nullptr;
  for (const auto& [kind, count] : this->capacities) {
    if (nearest == nullptr || count_missing(kind) <= count_missing(*nearest)) {
      nearest = &kind;
    }
  }
  std::string text;
  const auto add = [&](std::int64_t wanted, std::int64_t has,
                       std::string_view part) {
    if (wanted > has) {
      StrAppend(&text, text.empty() ? "" : "; ", "needs ", wanted, " ", part,
                ", the nearest worker has ", has);
    }
  };
  add(need.accelerators, nearest->accelerators, "accelerators");
  add(need.millicores, nearest->millicores, "millicores");
  add(need.memory_mb, nearest->memory_mb, "MB of memory");
  return text;
}

}  // namespace sumac::fleet
