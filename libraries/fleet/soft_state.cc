// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/soft_state.h"

#include <algorithm>

#include "libraries/fleet/commands.h"

namespace sumac::fleet {

void SoftState::Reset(SteadyTime now) {
  *this = SoftState();
  this->started_at = now;
}

void SoftState::RecordAnnouncement(const Announcement& announcement,
                                   SteadyTime now) {
  this->last_announcements[announcement.target.name] =
      LastAnnouncement{now, announcement.in_flight, announcement.is_leaving};
}

SteadyTime SoftState::LastAnnouncementTime(const InstanceName& name) const {
  const auto found = this->last_announcements.find(name);
  return found == this->last_announcements.end() ? this->started_at
                                                 : found->second.at;
}

bool SoftState::IsIdleSince(const InstanceName& name, SteadyTime since) const {
  const auto found = this->last_announcements.find(name);
  return found != this->last_announcements.end() && found->second.at >= since &&
         found->second.in_flight == 0;
}

bool SoftState::IsLeaving(const InstanceName& name) const {
  const auto found = this->last_announcements.find(name);
  return found != this->last_announcements.end() && found->second.is_leaving;
}

SteadyTime SoftState::LastLeaseRenewalTime(const InstanceName& worker) const {
  const auto found = this->lease_renewals.find(worker);
  return found == this->lease_renewals.end() ? this->started_at : found->second;
}

void SoftState::RecordLeaseRenewal(const InstanceName& worker, SteadyTime now) {
  this->lease_renewals[worker] = now;
}

SteadyTime SoftState::GetOrRecordDrainStart(const InstanceName& name,
                                            SteadyTime now) {
  return this->drain_starts.try_emplace(name, now).first->second;
}

void SoftState::RemoveDrainStart(const InstanceName& name) {
  this->drain_starts.erase(name);
}

std::vector<RecordTargets> CommandsForTarget(const FleetState& state,
                                             const Announcement& announcement) {
  const Instance* known = state.FindInstance(announcement.target.name);
  const bool has_news =
      known == nullptr || known->target != announcement.target ||
      known->state == InstanceState::kSilent ||
      known->state == InstanceState::kLeft || known->is_silent_while_planned;
  const bool is_stale = known != nullptr && announcement.target.incarnation <
                                                known->target.incarnation;
  if (!has_news || is_stale || (announcement.is_leaving && known == nullptr)) {
    return {};
  }
  // A leaving target that already left is not called back.
  if (announcement.is_leaving && known->state == InstanceState::kLeft) {
    return {};
  }
  return {RecordTargets{{announcement.target}}};
}

std::vector<TaskReport> NewTaskReports(const FleetState& state,
                                       const Announcement& announcement) {
  std::vector<TaskReport> reports;
  std::copy_if(
      announcement.tasks.begin(), announcement.tasks.end(),
      std::back_inserter(reports), [&](const TaskReport& report) {
        const Job* job = state.FindJob(report.job);
        const bool is_current = job != nullptr && job->token == report.token &&
                                job->worker == announcement.target.name;
        const bool is_open = is_current && !state.JobHasTag(*job, "ended") &&
                             job->state != JobState::kQueued;
        const bool is_known = report.state == TaskState::kRunning && is_open &&
                              job->state != JobState::kPlaced;
        return is_open && !is_known;
      });
  return reports;
}

TargetOrders OrdersFor(const FleetState& state, const InstanceName& name) {
  TargetOrders orders;
  const Instance* instance = state.FindInstance(name);
  if (instance == nullptr) {
    return orders;
  }
  orders.is_confirmed = true;
  orders.is_draining = state.InstanceHasTag(*instance, "planned");
  orders.lease = state.record().declaration.job_lease;
  for (const JobId& id : state.JobsOn(name)) {
    const Job& job = *state.FindJob(id);
    if (job.state == JobState::kPlaced || job.state == JobState::kRunning) {
      orders.tasks.push_back(
          TaskOrder{id, job.token, job.spec.command, job.spec.run_time});
    }
  }
  return orders;
}

}  // namespace sumac::fleet
