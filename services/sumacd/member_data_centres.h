// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_MEMBER_DATA_CENTRES_H_
#define SERVICES_SUMACD_MEMBER_DATA_CENTRES_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/replication/types.h"

namespace sumac::daemon {

// What a controller knows of where the other controllers run. Each asks the
// others while all is well, so that it knows the data centres of those that a
// later loss takes. Pure.
class MemberDataCentres {
 public:
  // `known` are the names that may be given; any if it is empty.
  MemberDataCentres(std::vector<DataCentre> known,
                    const ProcessName& self,
                    const DataCentre& own);

  // Returns the members to ask now: those of whom nothing is known, at
  // intervals.
  std::vector<ProcessName> TakeDue(const replication::Membership& members,
                                   SteadyTime now);

  // Records a process's answer. Returns false if it names a data centre that
  // no settings hold; it then counts for none.
  bool Record(const ProcessName& process, const DataCentre& data_centre);

  // Returns a member's data centre; empty if it is not known.
  DataCentre Find(const replication::NodeId& member) const;

 private:
  std::set<DataCentre> known;
  std::map<ProcessName, DataCentre> data_centres;
  SteadyTime last_asked{};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_MEMBER_DATA_CENTRES_H_
