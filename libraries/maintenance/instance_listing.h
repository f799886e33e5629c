// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_INSTANCE_LISTING_H_
#define LIBRARIES_MAINTENANCE_INSTANCE_LISTING_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/maintenance/instance_messages.h"

namespace sumac::maintenance {

// The instances that the platform lists. A list is read page by page while
// instances come and go, so that it may lack an instance that exists all the
// time. An instance therefore counts as gone only if two lists in a row lack
// it, and only if it existed before the first of them was requested. Pure.
class InstanceListing {
 public:
  // Records a complete list whose first page was requested at `requested_at`.
  // If some of its rows do not name their instance, no instance counts as gone
  // on the basis of this list.
  void RecordList(std::vector<ListedInstance> instances,
                  SteadyTime requested_at,
                  bool has_nameless_rows = false);

  // Returns the rows of the last list, and those rows of the list before it
  // that the last one lacks.
  const std::map<InstanceName, ListedInstance>& rows() const {
    return this->known;
  }
  // Returns the row of an instance in the last list, or null if there is none.
  const ListedInstance* Find(const InstanceName& name) const;

  // Returns when the last list was requested, or nothing if there has been no
  // list.
  std::optional<SteadyTime> requested_at() const {
    return this->last_requested_at;
  }

  // True if some rows of the last list do not name their instance, so that they
  // may belong to any instance.
  bool has_nameless_rows() const { return this->is_last_incomplete; }

  // True if the last two lists show that an instance that existed at `since` no
  // longer exists.
  bool IsGone(const InstanceName& name, SteadyTime since) const;

 private:
  std::map<InstanceName, ListedInstance> known;
  // True if every row of the last two lists names its instance.
  bool is_complete() const {
    return !this->is_last_incomplete && !this->is_previous_incomplete;
  }

  // The names of the rows of `known` that the last list lacks.
  std::set<InstanceName> absent_rows;
  std::optional<SteadyTime> last_requested_at;
  std::optional<SteadyTime> previous_requested_at;
  bool is_last_incomplete = false;
  bool is_previous_incomplete = false;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_LISTING_H_
