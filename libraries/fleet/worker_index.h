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

// The resources that a job needs or a worker has. Ordered by the scarcest
// resource first.
struct Resources {
  std::int64_t accelerators = 0;
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;

  auto operator<=>(const Resources&) const = default;

  // Returns true if every part of `need` fits.
  bool Covers(const Resources& need) const {
    return need.accelerators <= this->accelerators &&
           need.millicores <= this->millicores &&
           need.memory_mb <= this->memory_mb;
  }

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);

  // Returns the resources that a job needs.
  static Resources Of(const JobSpec& spec);
  // Returns the total resources of a worker.
  static Resources Of(const struct TargetDescription& target);

  // Returns a short text for people, as in "0 accelerators, 4000 millicores,
  // 256 MB".
  std::string ToString() const;
};

// An index of the workers of one pool by their free resources, so that
// placement examines only a few workers.
class WorkerIndex {
 public:
  // Adds or updates a worker with its total and free resources. A worker that
  // may not get jobs now (`can_take_work` is false) is never chosen.
  void Set(const InstanceName& worker,
           const Resources& capacity,
           const Resources& free,
           bool can_take_work);

  // Removes a worker from the index.
  void Remove(const InstanceName& worker);

  // Returns the worker with the least free resources in which `need` fits,
  // skipping `excluded`. At most kMaxScannedWorkers workers are examined; those
  // examined and not chosen are added to `rejected`.
  std::optional<InstanceName> FindTightest(
      const Resources& need,
      const std::set<InstanceName>& excluded,
      std::vector<std::string>& rejected) const;

  // Returns true if `need` fits the total resources of some worker of the pool,
  // however busy that worker is now.
  bool CouldEverFit(const Resources& need) const;

  // Returns why `need` fits no worker: the parts of it that exceed the total
  // resources of the nearest worker.
  std::string DescribeNearestMiss(const Resources& need) const;

  // Returns the number of workers in the index.
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
  // The number of workers per capacity; there are only a few kinds of workers.
  std::map<Resources, std::size_t> capacities;
};

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_WORKER_INDEX_H_
