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

// What the platform's lists of instances show. A list is read page by page
// while instances come and go, so that it may lack one that is there all the
// time: absence is believed only if two lists in a row show it, and only for
// the time since the first of them was asked for. Pure.
class InstanceListing {
 public:
  // Takes in a whole list whose first page was asked for at `requested_at`.
  // Where some of its rows don't tell which instance they are about, it shows
  // nobody as gone.
  void RecordList(std::vector<ListedInstance> instances,
                  SteadyTime requested_at,
                  bool has_nameless_rows = false);

  // The rows of the last list, and those of the one before that it lacks.
  const std::map<InstanceName, ListedInstance>& rows() const {
    return this->known;
  }
  // The row of an instance in the last list; nothing where it has none.
  const ListedInstance* Find(const InstanceName& name) const;

  // When the last list was asked for; nothing before the first.
  std::optional<SteadyTime> requested_at() const {
    return this->last_requested_at;
  }

  // True if some row of the last list may be that of any instance.
  bool has_nameless_rows() const { return this->is_last_incomplete; }

  // True if an instance that existed at `since` doesn't any more.
  bool IsGone(const InstanceName& name, SteadyTime since) const;

 private:
  std::map<InstanceName, ListedInstance> known;
  // True if the last two lists tell of each row which instance it is about.
  bool is_complete() const {
    return !this->is_last_incomplete && !this->is_previous_incomplete;
  }

  // Rows of `known` that the last list lacks.
  std::set<InstanceName> absent_rows;
  std::optional<SteadyTime> last_requested_at;
  std::optional<SteadyTime> previous_requested_at;
  bool is_last_incomplete = false;
  bool is_previous_incomplete = false;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_INSTANCE_LISTING_H_
