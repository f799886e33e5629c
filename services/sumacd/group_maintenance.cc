// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/group_maintenance.h"

#include <utility>

#include "libraries/base/result_code.h"
#include "libraries/fleet/answer.h"
#include "libraries/log/json_log.h"
#include "libraries/rpc/call.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kCallTimeout{1'000};
constexpr Milliseconds kJoinInterval{500};
// The time after which a leader that had another change of members under way is
// asked again: most changes take less.
constexpr Milliseconds kBusyLeaderInterval{100};

}  // namespace

GroupMaintenance::GroupMaintenance(const GroupMaintenanceSettings& settings,
                                   ProcessName process,
                                   Peers& peers)
    : settings(settings),
      process(std::move(process)),
      peers(peers),
      data_centres(settings.data_centres, this->process, settings.data_centre),
      keeper(settings.wanted_voters,
             settings.tolerated_data_centres,
             [this](const replication::NodeId& member) {
               return this->data_centres.Find(member);
             }) {}

void GroupMaintenance::Tick(const replication::Replica& replica,
                            SteadyTime now,
                            kj::TaskSet& tasks) {
  this->RequestToJoin(replica, now, tasks);
  this->LearnDataCentres(replica.membership(), now, tasks);
}

std::optional<replication::Membership> GroupMaintenance::Check(
    const replication::Replica& replica) {
  const auto health = this->keeper.HealthOfAll(replica);
  this->LogMembers(replica, health);
  return this->keeper.Check(replica, health);
}

bool GroupMaintenance::HasCaughtUp(const replication::Replica& replica,
                                   const replication::NodeId& member) const {
  return this->keeper.HealthOf(replica, member).is_caught_up;
}

// Logs which spares have caught up and why silent voters keep their votes.
void GroupMaintenance::LogMembers(
    const replication::Replica& replica,
    const std::map<replication::NodeId, replication::MemberHealth>& health) {
  const auto news = this->watch.Observe(replica.membership(), health,
                                        replica.is_membership_committed());
  for (const replication::NodeId& node : news.caught_up) {
    LogEvent(LogLevel::kInfo, "spare-has-caught-up",
             {{"node", node.value()},
              {"commit_index", replica.commit_index().value()}});
  }
  for (const auto& voter : news.silent) {
    LogEvent(LogLevel::kInfo, "voter-is-silent",
             {{"node", voter.node.value()},
              {"silent_ms", voter.silence.count()},
              {"keeps_vote_for", NameOf(voter.hold)}});
  }
}

// A replica that belongs to no group, or may have been removed from it while it
// was partitioned, asks the leader to join, or all controllers if it does not
// know the leader.
void GroupMaintenance::RequestToJoin(const replication::Replica& replica,
                                     SteadyTime now,
                                     kj::TaskSet& tasks) {
  if (!this->keeper.ShouldRequestToJoin(replica, now) ||
      now - this->last_join_request_at < kJoinInterval) {
    return;
  }
  this->last_join_request_at = now;
  const ProcessName leader = std::exchange(this->join_hint, ProcessName());
  if (!leader.value().empty() && leader != this->process) {
    this->AskToJoin(leader, replica.self(), tasks);
    return;
  }
  for (const ProcessName& asked : replication::ControllersToAsk(
           this->process, this->peers.controllers(), replica.membership())) {
    this->AskToJoin(asked, replica.self(), tasks);
  }
}

void GroupMaintenance::AskToJoin(const ProcessName& asked,
                                 const replication::NodeId& node,
                                 kj::TaskSet& tasks) {
  rpc::Channel* channel = this->peers.Find(asked);
  if (channel == nullptr) {
    return;
  }
  auto request = channel->Get<wire::Peer>().joinRequest();
  request.setNode(node.value());
  tasks.add(rpc::CallForAnswer(*channel, kCallTimeout, request)
                .then(
                    [this, asked](const fleet::Answer& answer) {
                      this->HandleJoinAnswer(asked, answer);
                    },
                    [](kj::Exception&& /*exception*/) {}));
}

void GroupMaintenance::HandleJoinAnswer(const ProcessName& asked,
                                        const fleet::Answer& answer) {
  if (answer.code == ResultCode::kNotLeader && !answer.message.empty()) {
    this->join_hint = ProcessName(answer.message);
    // Sends the next request, to the leader, at the next tick.
    this->last_join_request_at = SteadyTime{};
  } else if (answer.code == ResultCode::kWrongState) {
    // This change of members, or another one, is not committed yet.
    this->join_hint = asked;
    this->last_join_request_at -= kJoinInterval - kBusyLeaderInterval;
  }
}

// Asks the other controllers where they run.
void GroupMaintenance::LearnDataCentres(const replication::Membership& members,
                                        SteadyTime now,
                                        kj::TaskSet& tasks) {
  if (this->settings.tolerated_data_centres == 0) {
    return;
  }
  for (const ProcessName& process : this->data_centres.TakeDue(members, now)) {
    rpc::Channel* channel = this->peers.Find(process);
    if (channel == nullptr) {
      continue;
    }
    auto request = channel->Get<wire::Peer>().describeRequest();
    tasks.add(channel
                  ->Guard(kCallTimeout,
                          request.send().then([this, process](auto&& response) {
                            const DataCentre name(
                                wire::ToString(response.getDataCentre()));
                            if (!this->data_centres.Record(process, name)) {
                              LogEvent(LogLevel::kWarning,
                                       "unknown-data-centre",
                                       {{"process", process.value()},
                                        {"data_centre", name.value()}});
                            }
                          }))
                  // It is asked again.
                  .then([] {}, [](kj::Exception&& /*exception*/) {}));
  }
}

}  // namespace sumac::daemon
