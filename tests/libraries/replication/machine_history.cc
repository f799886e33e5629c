// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/machine_history.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/replication/quorum.h"

namespace sumac::replication {
namespace {

constexpr Milliseconds kStep{20};
constexpr Milliseconds kMaintenanceInterval{100};
constexpr Milliseconds kCheckInterval{500};
constexpr Milliseconds kJoinInterval{500};
// The time from the start of a process until its loop runs.
constexpr Milliseconds kStartTime{300};
// The time within which somebody leads again after the last event.
constexpr Milliseconds kMaxWithoutLeader{4'000};

std::string NamesOf(const std::set<NodeId>& nodes) {
  std::string names;
  for (const NodeId& node : nodes) {
    names += " " + node.value();
  }
  return names;
}

}  // namespace

ReplicationSettings MachineHistory::Times() {
  return {.heartbeat_interval = Milliseconds(100),
          .election_timeout = Milliseconds(450),
          .clock_drift_margin = Milliseconds(45),
          .hand_over_timeout = Milliseconds(450)};
}

MachineHistory::MachineHistory(std::uint64_t seed, int spares)
    : MachineHistory(seed,
                     spares,
                     std::make_unique<Cluster>(kVoters, seed, Times()),
                     kStep) {}

MachineHistory::MachineHistory(std::uint64_t seed,
                               int spares,
                               std::unique_ptr<Cluster> group,
                               Milliseconds step)
    : random(seed),
      owned_cluster(std::move(group)),
      cluster(*this->owned_cluster),
      step(step) {
  for (int slot = 0; slot < kVoters; ++slot) {
    this->slots.push_back({.node = static_cast<std::size_t>(slot)});
  }
  for (int spare = 0; spare < spares; ++spare) {
    this->slots.push_back({});
    this->StartSuccessor(this->slots.size() - 1, false);
  }
  this->last_event_at = this->cluster.now;
}

std::size_t MachineHistory::Draw(std::size_t end) {
  return std::uniform_int_distribution<std::size_t>(0, end - 1)(this->random);
}

void MachineHistory::Note(const std::string& what) {
  this->history +=
      StrCat(this->cluster.now.time_since_epoch().count(), " ms ", what, "\n");
  this->last_event_at = this->cluster.now;
}

void MachineHistory::At(SteadyTime time, std::function<void()> event) {
  this->events.emplace(time, std::move(event));
}

bool MachineHistory::MayLose(std::size_t slot) const {
  const bool counts = this->slots[slot].counts_until > this->cluster.now;
  return this->CountLost() + (counts ? 0 : 1) <= kMaxLost;
}

void MachineHistory::CountUntilReturn(std::size_t slot, SteadyTime back_at) {
  SteadyTime& until = this->slots[slot].counts_until;
  until = std::max(until, back_at + kCatchUpTime);
}

void MachineHistory::CountAsGone(std::size_t slot,
                                 SteadyTime successor_starts_at) {
  this->slots[slot].gone_count_until.push_back(successor_starts_at +
                                               kCatchUpTime);
  this->slots[slot].counts_until = SteadyTime{};
}

// Starts the slot's machine again.
void MachineHistory::StartMachine(std::size_t slot) {
  const std::size_t node = this->slots[slot].node;
  if (this->cluster.nodes[node].is_up()) {
    return;
  }
  this->Note(StrCat("slot ", slot, " starts"));
  this->keepers.erase(node);
  this->cluster.Restart(node);
}

// Starts an empty replica: of another machine, or of the same one with a new
// disk.
void MachineHistory::StartSuccessor(std::size_t slot, bool is_same_machine) {
  Slot& place = this->slots[slot];
  ++place.generation;
  const std::string machine =
      is_same_machine ? ProcessOf(this->cluster.nodes[place.node].id).value()
                      : StrCat("s", slot, "g", place.generation);
  place.node =
      this->cluster.AddNode(NodeId(StrCat(machine, ".", place.generation + 1)));
  this->Note(StrCat("slot ", slot, " starts empty as ",
                    this->cluster.nodes[place.node].id.value()));
}

void MachineHistory::Kill(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("slot ", slot, " is killed for ", time.count(), " ms"));
  this->cluster.Crash(this->slots[slot].node);
  const SteadyTime back_at = this->cluster.now + time;
  this->CountUntilReturn(slot, back_at);
  this->At(back_at + kStartTime, [this, slot] { this->StartMachine(slot); });
}

void MachineHistory::Wipe(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("slot ", slot, " loses its disk"));
  this->cluster.Crash(this->slots[slot].node);
  const SteadyTime back_at = this->cluster.now + time;
  this->CountUntilReturn(slot, back_at);
  const std::size_t node = this->slots[slot].node;
  this->RecordLostDisk(slot, node, back_at);
  this->At(back_at + kStartTime, [this, slot, node] {
    if (this->slots[slot].node == node) {
      this->cluster.Crash(node);
      this->StartSuccessor(slot, true);
    }
  });
}

void MachineHistory::Freeze(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("slot ", slot, " freezes for ", time.count(), " ms"));
  const std::size_t node = this->slots[slot].node;
  this->cluster.nodes[node].is_frozen = true;
  const SteadyTime back_at = this->cluster.now + time;
  this->CountUntilReturn(slot, back_at);
  this->At(back_at, [this, node] {
    this->Note(StrCat(this->cluster.nodes[node].id.value(), " wakes"));
    this->cluster.nodes[node].is_frozen = false;
  });
}

void MachineHistory::CutOff(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("slot ", slot, " is cut off for ", time.count(), " ms"));
  this->CountUntilReturn(slot, this->cluster.now + time);
  this->Disconnect(this->slots[slot].node, time);
}

void MachineHistory::Silence(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("connections of slot ", slot, " are silent for ",
                    time.count(), " ms"));
  this->silenced.insert(this->slots[slot].node);
  // A successor's time does not run while connections are silent.
  for (Slot& other : this->slots) {
    for (SteadyTime& until : other.gone_count_until) {
      until += time;
    }
  }
  this->Disconnect(this->slots[slot].node, time);
}

void MachineHistory::Disconnect(std::size_t node, Milliseconds time) {
  this->cluster.SetCut(node, true);
  this->At(this->cluster.now + time, [this, node] {
    this->Note(
        StrCat(this->cluster.nodes[node].id.value(), " is connected again"));
    this->cluster.SetCut(node, false);
    this->silenced.erase(node);
  });
}

void MachineHistory::Restart(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("slot ", slot, " stops as planned"));
  const std::size_t node = this->slots[slot].node;
  if (this->IsRunning(node)) {
    static_cast<void>(
        this->cluster.nodes[node].replica->HandOver(this->cluster.now));
    this->cluster.Pump(node);
  }
  const SteadyTime back_at = this->cluster.now + time;
  this->CountUntilReturn(slot, back_at);
  constexpr Milliseconds kHandOverTime{60};
  this->At(this->cluster.now + kHandOverTime,
           [this, node] { this->cluster.Crash(node); });
  this->At(back_at + kHandOverTime + kStartTime,
           [this, slot] { this->StartMachine(slot); });
}

void MachineHistory::Replace(std::size_t slot, Milliseconds time) {
  this->Note(StrCat("slot ", slot, " is gone for good"));
  const std::size_t node = this->slots[slot].node;
  this->cluster.Crash(node);
  const SteadyTime started_at = this->cluster.now + time;
  this->CountAsGone(slot, started_at);
  this->RecordLostDisk(slot, node, started_at);
  this->At(started_at + kStartTime, [this, slot, node] {
    if (this->slots[slot].node == node) {
      this->cluster.Crash(node);
      this->StartSuccessor(slot, false);
    }
  });
}

void MachineHistory::ReplaceAsPlanned(std::size_t slot, Milliseconds time) {
  const std::size_t node = this->slots[slot].node;
  this->RecordLostDisk(slot, node, this->cluster.now + time);
  this->StartSuccessor(slot, false);
  // The machine that leaves counts from its stop.
  this->CountAsGone(slot, this->cluster.now + time);
  this->At(this->cluster.now + time, [this, node] {
    this->Note(StrCat(this->cluster.nodes[node].id.value(), " stops for good"));
    if (this->IsRunning(node)) {
      static_cast<void>(
          this->cluster.nodes[node].replica->HandOver(this->cluster.now));
      this->cluster.Pump(node);
      this->cluster.Settle();
    }
    this->cluster.Crash(node);
  });
}

void MachineHistory::KillAll(Milliseconds time,
                             const std::vector<std::size_t>& wiped) {
  this->Note("all are killed");
  for (std::size_t slot = 0; slot < this->slots.size(); ++slot) {
    if (std::find(wiped.begin(), wiped.end(), slot) != wiped.end()) {
      this->Wipe(slot, time);
    } else if (this->cluster.nodes[this->slots[slot].node].is_up()) {
      this->Kill(slot, time);
    } else {
      this->CountUntilReturn(slot, this->cluster.now + time);
    }
  }
}

void MachineHistory::Split(const std::vector<std::size_t>& side,
                           Milliseconds time) {
  std::set<std::size_t> nodes;
  std::string names;
  for (const std::size_t slot : side) {
    nodes.insert(this->slots[slot].node);
    names += StrCat(" ", slot);
  }
  this->Note(StrCat("the group is split:", names));
  this->cluster.SplitGroup(nodes);
  this->is_split = true;
  const SteadyTime healed_at = this->cluster.now + time;
  for (std::size_t slot = 0; slot < this->slots.size(); ++slot) {
    this->CountUntilReturn(slot, healed_at);
  }
  this->At(healed_at, [this] {
    this->Note("the group is connected again");
    this->cluster.SplitGroup({});
    this->is_split = false;
  });
}

bool MachineHistory::IsRunning(std::size_t node) const {
  const Cluster::Node& found = this->cluster.nodes[node];
  return found.is_up() && !found.is_frozen;
}

std::optional<std::size_t> MachineHistory::FindActing() const {
  for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
    if (this->IsRunning(node) &&
        this->cluster.nodes[node].replica->is_ready_to_lead() &&
        this->cluster.nodes[node].replica->HoldsLease(this->cluster.now)) {
      return node;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> MachineHistory::LeaderSlot() const {
  const auto leader = this->FindActing();
  for (std::size_t slot = 0; leader && slot < this->slots.size(); ++slot) {
    if (this->slots[slot].node == *leader) {
      return slot;
    }
  }
  return std::nullopt;
}

MembershipKeeper& MachineHistory::KeeperOf(std::size_t node) {
  return this->keepers
      .try_emplace(node, kVoters, 0, [](const NodeId&) { return DataCentre(); })
      .first->second;
}

void MachineHistory::RunEvents() {
  while (!this->events.empty() &&
         this->events.begin()->first <= this->cluster.now) {
    auto event = std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    event();
  }
}

// Does what the host of the leading replica does at intervals.
void MachineHistory::MaintainGroup() {
  const auto leader = this->FindActing();
  if (!leader) {
    return;
  }
  this->last_acting_at = this->cluster.now;
  if (this->cluster.now - this->last_maintenance < kMaintenanceInterval) {
    return;
  }
  this->last_maintenance = this->cluster.now;
  static_cast<void>(
      this->cluster.Propose(*leader, StrCat("c", ++this->commands)));
  Replica& replica = *this->cluster.nodes[*leader].replica;
  MembershipKeeper& keeper = this->KeeperOf(*leader);
  if (const auto next = keeper.Check(replica, keeper.HealthOfAll(replica))) {
    this->history += StrCat(this->cluster.now.time_since_epoch().count(),
                            " ms ", replica.self().value(), " proposes voters",
                            NamesOf(next->voters), ", outgoing",
                            NamesOf(next->outgoing_voters), ", learners",
                            NamesOf(next->learners), "\n");
    const std::size_t wanted =
        std::min(CountBorneLosses(replica.membership()), kMaxLost);
    if (CountBorneLosses(*next) < wanted) {
      this->step_problem = StrCat("a step from ", wanted, " losses borne to ",
                                  CountBorneLosses(*next));
    }
    static_cast<void>(replica.ProposeMembership(*next, this->cluster.now));
    this->cluster.Pump(*leader);
  }
}

void MachineHistory::RequestJoins() {
  for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
    if (!this->IsRunning(node)) {
      continue;
    }
    const Replica& replica = *this->cluster.nodes[node].replica;
    const bool needs_group =
        this->KeeperOf(node).ShouldRequestToJoin(replica, this->cluster.now);
    SteadyTime& last = this->last_join_at[node];
    if (needs_group && this->cluster.now - last >= kJoinInterval) {
      last = this->cluster.now;
      this->RequestJoin(node);
    }
  }
}

// Asks one controller, which passes the request on to the leader.
void MachineHistory::RequestJoin(std::size_t node) {
  const std::size_t asked = this->slots[this->Draw(this->slots.size())].node;
  const auto leader = this->FindActing();
  if (!leader || !this->IsRunning(asked) ||
      !this->cluster.AreConnected(node, asked) ||
      !this->cluster.AreConnected(node, *leader)) {
    return;
  }
  Replica& replica = *this->cluster.nodes[*leader].replica;
  const NodeId& id = this->cluster.nodes[node].id;
  if (!replica.membership().is_member(id)) {
    static_cast<void>(replica.ProposeMembership(
        WithLearner(replica.membership(), id), this->cluster.now));
    this->cluster.Pump(*leader);
  }
}

std::string MachineHistory::Pass(Milliseconds time) {
  const SteadyTime end = this->cluster.now + time;
  while (this->cluster.now < end) {
    this->RunEvents();
    this->cluster.Tick(this->step);
    this->cluster.Settle();
    this->MaintainGroup();
    this->RequestJoins();
    this->cluster.Settle();
    if (std::string problem = this->Check(); !problem.empty()) {
      return problem;
    }
  }
  return "";
}

std::size_t MachineHistory::CountLost() const {
  const auto counts = [this](SteadyTime until) {
    return until > this->cluster.now;
  };
  std::size_t lost = 0;
  for (const Slot& slot : this->slots) {
    lost += counts(slot.counts_until) ? 1 : 0;
    lost += static_cast<std::size_t>(std::count_if(
        slot.gone_count_until.begin(), slot.gone_count_until.end(), counts));
  }
  return lost;
}

// Checks that the group can bear the loss of as many further voters as the
// limits allow now.
std::string MachineHistory::CheckTolerance(std::size_t leader) const {
  const std::size_t lost = this->CountLost();
  // A leader that was just cut off holds its lease for a moment.
  if (lost > kMaxLost || !this->cluster.AreConnected(leader, leader)) {
    return "";
  }
  const Membership& members = this->cluster.nodes[leader].replica->membership();
  for (const auto* voters : {&members.voters, &members.outgoing_voters}) {
    std::size_t running = 0;
    for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
      const bool is_connected = this->silenced.contains(node) ||
                                this->cluster.AreConnected(node, leader);
      running += voters->contains(this->cluster.nodes[node].id) &&
                         this->IsRunning(node) && is_connected
                     ? 1
                     : 0;
    }
    const std::size_t majority = voters->size() / 2 + 1;
    if (!voters->empty() && running < majority + kMaxLost - lost) {
      return StrCat(this->cluster.now.time_since_epoch().count(),
                    " ms: ", running, " voters run of", NamesOf(*voters),
                    " while ", lost, " machines count as lost");
    }
  }
  return "";
}

std::string MachineHistory::Check() {
  if (!this->step_problem.empty()) {
    return this->step_problem;
  }
  if (this->is_split) {
    // Neither side need have a majority.
    this->last_event_at = this->cluster.now;
  }
  const SteadyTime since = std::max(this->last_event_at, this->last_acting_at);
  if (this->cluster.now - since > kMaxWithoutLeader) {
    return "nobody leads";
  }
  if (const auto leader = this->FindActing()) {
    if (std::string problem = this->CheckTolerance(*leader); !problem.empty()) {
      return problem;
    }
  }
  if (this->cluster.now - this->last_check < kCheckInterval) {
    return "";
  }
  this->last_check = this->cluster.now;
  return this->cluster.CheckInvariants();
}

std::string MachineHistory::CheckWhole() {
  const auto leader = this->FindActing();
  if (!leader) {
    return "nobody leads in the end";
  }
  const std::string last = StrCat("c", ++this->commands);
  const Membership members = this->cluster.nodes[*leader].replica->membership();
  if (!this->cluster.Propose(*leader, last).ok()) {
    return "the last command is refused";
  }
  if (std::string problem = this->Pass(Milliseconds(500)); !problem.empty()) {
    return problem;
  }
  std::size_t running = 0;
  for (const Cluster::Node& node : this->cluster.nodes) {
    if (members.is_voter(node.id) && node.is_up()) {
      const bool has_last = std::find(node.applied.begin(), node.applied.end(),
                                      last) != node.applied.end();
      running += has_last ? 1 : 0;
    }
  }
  return running == kVoters && members.voters.size() == kVoters
             ? ""
             : StrCat(running, " of ", members.voters.size(),
                      " voters have the last command");
}

}  // namespace sumac::replication
