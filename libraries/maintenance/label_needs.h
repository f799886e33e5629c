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

// What each pool has and needs of the labels that tasks require, in one look at
// the pools. Labels that no task requires are not counted. Pure.
class LabelNeeds {
 public:
  using Labels = std::map<InstanceName, std::vector<std::string>>;

  // `labels` are those of all known instances and must outlive this.
  LabelNeeds(const Labels& labels,
             const std::map<ServiceName, jobs::ServiceDemand>& demand);

  // Takes in that an instance is in the pool or on its way there.
  void Add(const ServiceName& pool, const InstanceName& instance);
  // Takes in that an instance leaves one pool for another.
  void Move(const ServiceName& from,
            const ServiceName& to,
            const InstanceName& instance);
  // Says how many instances with a label a pool needs.
  void SetNeed(const ServiceName& pool,
               const std::string& label,
               std::int64_t instances);

  // How many instances of the pool, or of all pools, have the label.
  std::int64_t CountIn(const ServiceName& pool, const std::string& label) const;
  std::int64_t CountAll(const std::string& label) const;
  std::int64_t NeedOf(const ServiceName& pool, const std::string& label) const;
  bool Has(const InstanceName& instance, const std::string& label) const;
  // True if the pool has enough of every label that the instance has without
  // it.
  bool CanSpare(const ServiceName& pool, const InstanceName& instance) const;

  // Pools that lack a label that they need, with the label: those that have
  // none of it first, then those that lack most.
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
