// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_LABEL_NEEDS_H_
#define LIBRARIES_MAINTENANCE_LABEL_NEEDS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/jobs/service_demand.h"

namespace sumac::maintenance {

// Counts, within one planning pass, how many instances with each required label
// a pool has and needs. Labels that no task requires are not counted. Pure.
class LabelNeeds {
 public:
  using Labels = std::map<InstanceName, std::vector<std::string>>;

  // `labels` holds the labels of all known instances and must outlive this
  // object.
  LabelNeeds(const Labels& labels,
             const std::map<ServiceName, jobs::ServiceDemand>& demand);

  // Counts an instance that is in the pool or on its way to it.
  void Add(const ServiceName& pool, const InstanceName& instance);
  // Counts an instance in pool `to` instead of in pool `from`.
  void Move(const ServiceName& from,
            const ServiceName& to,
            const InstanceName& instance);
  // Sets how many instances with a label a pool needs.
  void SetNeed(const ServiceName& pool,
               const std::string& label,
               std::int64_t instances);

  // Return how many instances of the pool, or of all pools, have the label.
  std::int64_t CountIn(const ServiceName& pool, const std::string& label) const;
  std::int64_t CountAll(const std::string& label) const;
  std::int64_t NeedOf(const ServiceName& pool, const std::string& label) const;
  bool Has(const InstanceName& instance, const std::string& label) const;
  // True if, without the instance, the pool still has enough instances with
  // each of its labels.
  bool CanSpare(const ServiceName& pool, const InstanceName& instance) const;

  // Returns the pools that have too few instances with a label, together with
  // the label. Those that have no instance with it come first, then those with
  // the largest shortage.
  std::vector<std::pair<ServiceName, std::string>> FindShortages() const;

 private:
  using Key = std::pair<ServiceName, std::string>;

  std::set<std::string> RequiredLabelsOf(const InstanceName& instance) const;

  const Labels& labels;
  std::set<std::string> required_labels;
  std::map<Key, std::int64_t> have;
  std::map<Key, std::int64_t> needs;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_LABEL_NEEDS_H_
