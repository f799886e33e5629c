// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/member_data_centres.h"

#include "libraries/replication/membership_plan.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kAskInterval{1'000};

}  // namespace

MemberDataCentres::MemberDataCentres(std::vector<DataCentre> known,
                                     const ProcessName& self,
                                     const DataCentre& own)
    : known(known.begin(), known.end()) {
  this->Record(self, own);
}

std::vector<ProcessName> MemberDataCentres::TakeDue(
    const replication::Membership& members,
    SteadyTime now) {
  if (now - this->last_asked < kAskInterval) {
    return {};
  }
  this->last_asked = now;
  std::set<ProcessName> due;
  for (const replication::NodeId& node : members.AllMembers()) {
    const ProcessName process = replication::ProcessOf(node);
    if (!this->data_centres.contains(process)) {
      due.insert(process);
    }
  }
  return {due.begin(), due.end()};
}

bool MemberDataCentres::Record(const ProcessName& process,
                               const DataCentre& data_centre) {
  const bool is_known =
      this->known.empty() || this->known.contains(data_centre);
  this->data_centres[process] = is_known ? data_centre : DataCentre();
  return is_known;
}

DataCentre MemberDataCentres::Find(const replication::NodeId& member) const {
  const auto found = this->data_centres.find(replication::ProcessOf(member));
  return found == this->data_centres.end() ? DataCentre() : found->second;
}

}  // namespace sumac::daemon
