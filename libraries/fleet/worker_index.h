// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_WORKER_INDEX_H_
#define LIBRARIES_FLEET_WORKER_INDEX_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/fleet/job.h"

namespace sumac::fleet {

// What a job takes of a worker, or a worker has. Ordered by the scarcest part
// first.
struct Resources {
  std::int64_t accelerators = 0;
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;

  auto operator<=>(const Resources&) const = default;

  // True if `need` fits in all parts.
  bool Covers(const Resources& need) const {
    return need.accelerators <= this->accelerators &&
           need.millicores <= this->millicores &&
           need.memory_mb <= this->memory_mb;
  }

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);

  // What a job needs.
  static Resources Of(const JobSpec& spec);
  // What a worker has in all.
  static Resources Of(const struct TargetDescription& target);

  // A short text for people.
  std::string ToString() const;
};

// The workers of one pool by what they have free, so that placement looks at a
// few and not at all.
class WorkerIndex {
 public:
  // Puts a worker in with what it has free, or changes that; `can_take_work`
  // keeps one that may not get jobs now out of the choice.
  void Set(const InstanceName& worker,
           const Resources& capacity,
           const Resources& free,
           bool can_take_work);

  // Takes a worker out.
  void Remove(const InstanceName& worker);

  // The worker with the least free room in which `need` fits, passing over
  // `excluded`; at most kMaxScannedWorkers are looked at. Those looked at and
  // not taken are added to `rejected`.
  std::optional<InstanceName> FindTightest(
      const Resources& need,
      const std::set<InstanceName>& excluded,
      std::vector<std::string>& rejected) const;

  // True if some worker of the pool, however busy now, could ever hold `need`.
  bool CouldEverFit(const Resources& need) const;

  // Why `need` fits nowhere: the part of it that exceeds what the nearest
  // worker has.
  std::string DescribeNearestMiss(const Resources& need) const;

  // How many workers are in.
  std::size_t size() const { return this->workers.size(); }

  static constexpr std::size_t kMaxScannedWorkers = 64;

 private:
  struct Entry {
    Resources capacity;
    Resources free;
    bool can_take_work = false;
  };

  std::map<InstanceName, Entry> workers;
  std::set<std::pair<Resources, InstanceName>> by_free;
  // How many workers have each capacity; there are few kinds of workers.
  std::map<Resources, std::size_t> capacities;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_WORKER_INDEX_H_
