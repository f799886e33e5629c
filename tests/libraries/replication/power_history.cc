// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/power_history.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::replication {
namespace {

constexpr Milliseconds kStep{10};
// A machine whose disk hangs for longer is slowed, and counts as lost.
constexpr Milliseconds kMaxUncountedStall{300};
// A replica that follows writes at least this often.
constexpr Milliseconds kWriteInterval{200};
// The time after the return of all machines within which the group recovers
// from more losses than it has to bear.
constexpr Milliseconds kRecoveryTime{12'000};

}  // namespace

PowerHistory::PowerHistory(std::uint64_t seed, int spares, Limits limits)
    : PowerHistory(seed, spares, limits, [seed] {
        ReplicationSettings settings = Times();
        // A snapshot of some commands takes several messages.
        settings.snapshot_chunk_bytes = 200;
        return std::make_unique<SlowDiskCluster>(kVoters, seed, settings);
      }()) {}

PowerHistory::PowerHistory(std::uint64_t seed,
                           int spares,
                           Limits limits,
                           std::unique_ptr<SlowDiskCluster> group)
    : MachineHistory(seed, spares, std::move(group), kStep),
      disks(static_cast<SlowDiskCluster&>(*this->owned_cluster)),
      limits(limits) {
  this->disks.observe = [this] { this->Observe(); };
}

std::size_t PowerHistory::AllowedDisks() const {
  if (this->limits == Limits::kCounted) {
    return kMaxLost - std::min(kMaxLost, this->CountLost());
  }
  const auto counting = static_cast<std::size_t>(
      std::count_if(this->lost_disks.begin(), this->lost_disks.end(),
                    [this](const LostDisk& disk) {
                      return disk.counts_until > this->cluster.now;
                    }));
  return kMaxLost - std::min(kMaxLost, counting);
}

bool PowerHistory::IsLossFree(std::size_t slot) const {
  if (this->limits == Limits::kCounted) {
    const Slot& place = this->slots[slot];
    const auto counts = [this](SteadyTime until) {
      return until > this->cluster.now;
    };
    return this->CountLost() <= kMaxLost &&
           (counts(place.counts_until) ||
            std::any_of(place.gone_count_until.begin(),
                        place.gone_count_until.end(), counts));
  }
  return std::any_of(this->lost_disks.begin(), this->lost_disks.end(),
                     [&](const LostDisk& disk) {
                       return disk.slot == slot &&
                              disk.counts_until > this->cluster.now &&
                              (this->limits == Limits::kOverlapping ||
                               this->IsSameMachine(slot, disk.node));
                     });
}

// Returns true if the slot's machine has the name of the one with that node.
bool PowerHistory::IsSameMachine(std::size_t slot, std::size_t node) const {
  const auto& nodes = this->cluster.nodes;
  return ProcessOf(nodes[this->slots[slot].node].id) ==
         ProcessOf(nodes[node].id);
}

bool PowerHistory::MayLoseDisk(std::size_t slot) const {
  return this->HasDisk(slot) && this->MayLose(slot) &&
         (this->limits == Limits::kCounted || this->AllowedDisks() > 0 ||
          this->IsLossFree(slot));
}

bool PowerHistory::HasDisk(std::size_t slot) const {
  return !this->lost_nodes.contains(this->slots[slot].node);
}

void PowerHistory::RecordLostDisk(std::size_t slot,
                                  std::size_t node,
                                  SteadyTime successor_runs_at) {
  this->lost_nodes.insert(node);
  this->lost_disks.push_back({slot, node, successor_runs_at + kCatchUpTime});
}

std::vector<DurableReplica> PowerHistory::DurableReplicas() const {
  std::vector<DurableReplica> replicas;
  for (std::size_t slot = 0; slot < this->slots.size(); ++slot) {
    if (this->HasDisk(slot)) {
      const Cluster::Node& node = this->cluster.nodes[this->slots[slot].node];
      replicas.push_back({.id = node.id,
                          .snapshot = node.snapshot.meta,
                          .entries = node.stored,
                          .is_loss_free = this->IsLossFree(slot)});
    }
  }
  return replicas;
}

PowerHistory::Seen PowerHistory::Look() const {
  Seen now{.committed = this->cluster.LastCommitted().index};
  for (const Cluster::Node& node : this->cluster.nodes) {
    now.snapshots += node.snapshot.meta.index.value();
    now.terms += node.hard_state.term.value();
    const auto latest = std::find_if(
        node.stored.rbegin(), node.stored.rend(), [](const Entry& entry) {
          return entry.kind == EntryKind::kMembership;
        });
    if (latest != node.stored.rend()) {
      now.memberships += latest->index.value();
      now.is_passing_vote |= (latest->membership.is_joint() ||
                              latest->membership.voters.size() < kVoters) &&
                             latest->index <= now.committed;
    }
  }
  return now;
}

bool PowerHistory::HasCome(Moment moment,
                           const Seen& before,
                           const Seen& after) const {
  switch (moment) {
    case Moment::kCommit:
      return after.committed > before.committed;
    case Moment::kMembership:
      return after.memberships > before.memberships;
    case Moment::kVotePassing:
      return after.is_passing_vote && !before.is_passing_vote;
    case Moment::kSnapshot:
      return after.snapshots > before.snapshots;
    case Moment::kTerm:
      return after.terms > before.terms;
  }
  return false;
}

void PowerHistory::Observe() {
  if (!this->problem.empty()) {
    return;
  }
  this->problem =
      CheckDurableVotes(this->DurableReplicas(), this->cluster.LastCommitted(),
                        this->AllowedDisks(), VoteRule::kAnyReplica);
  if (!this->awaited) {
    return;
  }
  const Seen before = std::exchange(this->seen, this->Look());
  if (this->HasCome(*this->awaited, before, this->seen)) {
    this->awaited.reset();
    this->disks.CutPower();
    // After the present step: replicas that are at work can't be ended.
    this->At(this->cluster.now, this->when_it_comes);
  }
}

// A lost disk counts at least as long as more is lost than the limits allow,
// and while connections are silent the time of its successor does not run.
void PowerHistory::StopClockBeyondLimits() {
  const Milliseconds passed = this->cluster.now - this->checked_at;
  const bool is_beyond =
      this->CountLost() > kMaxLost || this->is_split || this->is_resting;
  for (LostDisk& disk : this->lost_disks) {
    if (disk.counts_until <= this->checked_at) {
      continue;
    }
    if (!this->silenced.empty()) {
      disk.counts_until += passed;
    }
    if (is_beyond) {
      disk.counts_until =
          std::max(disk.counts_until, this->cluster.now + 2 * this->step);
    }
  }
  this->checked_at = this->cluster.now;
}

bool PowerHistory::AreAllBack() const {
  return std::all_of(this->slots.begin(), this->slots.end(),
                     [this](const Slot& slot) {
                       return this->IsRunning(slot.node) &&
                              this->cluster.AreConnected(slot.node, slot.node);
                     }) &&
         !this->is_split;
}

// Returns true if somebody leads five voters that run, and the entry by which
// they vote is committed: until then those who lack it need the voters of
// before.
bool PowerHistory::IsWhole() const {
  const auto leader = this->FindActing();
  if (!leader) {
    return false;
  }
  const Replica& replica = *this->cluster.nodes[*leader].replica;
  const Membership& members = replica.membership();
  if (members.is_joint() || !replica.is_membership_committed()) {
    return false;
  }
  std::size_t running = 0;
  for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
    running += members.is_voter(this->cluster.nodes[node].id) &&
                       this->IsRunning(node) &&
                       this->cluster.AreConnected(node, *leader)
                   ? 1
                   : 0;
  }
  return running >= kVoters;
}

void PowerHistory::UpdateRest() {
  if (!this->AreAllBack()) {
    this->last_away_at = this->cluster.now;
  }
  const bool is_over =
      this->IsWhole() || this->cluster.now - this->last_away_at > kRecoveryTime;
  this->is_resting = this->is_resting && !is_over;
}

std::string PowerHistory::Check() {
  this->UpdateRest();
  this->StopClockBeyondLimits();
  this->Observe();
  if (!this->problem.empty()) {
    return StrCat(this->cluster.now.time_since_epoch().count(), " ms, ",
                  this->AllowedDisks(), " disks: ", this->problem);
  }
  const auto leader = this->FindActing();
  if (leader != this->noted_leader) {
    this->noted_leader = leader;
    this->history +=
        StrCat(this->cluster.now.time_since_epoch().count(), " ms ",
               leader ? this->cluster.nodes[*leader].id.value() : "nobody",
               " leads\n");
  }
  if (leader && this->cluster.nodes[*leader].replica->commit_index() <
                    this->cluster.LastCommitted().index) {
    return "the leader lacks what was committed before";
  }
  if (this->is_resting) {
    this->last_event_at = this->cluster.now;
    return this->cluster.CheckInvariants();
  }
  return MachineHistory::Check();
}

void PowerHistory::StallDisk(std::size_t slot, Milliseconds time) {
  if (time > kMaxUncountedStall) {
    if (!this->MayLose(slot)) {
      return;
    }
    this->CountUntilReturn(slot, this->cluster.now + kWriteInterval + time);
  }
  this->Note(
      StrCat("the disk of slot ", slot, " stalls for ", time.count(), " ms"));
  this->disks.StallDisk(this->slots[slot].node, time);
}

void PowerHistory::Compact(std::size_t slot) {
  const std::size_t node = this->slots[slot].node;
  const Cluster::Node& found = this->cluster.nodes[node];
  if (this->IsRunning(node) && this->disks.IsWritten(node) &&
      found.applied_index > found.snapshot.meta.index) {
    this->cluster.Compact(node);
  }
}

// The disks with the highest ranks are lost first.
std::uint64_t PowerHistory::RankOf(std::size_t slot, Choice choice) {
  const std::size_t position = this->slots[slot].node;
  const Cluster::Node& node = this->cluster.nodes[position];
  const std::uint64_t chance = this->Draw(100);
  switch (choice) {
    case Choice::kAny:
      return chance;
    case Choice::kLeader:
      return chance + (node.is_up() && node.replica->role() == Role::kLeader
                           ? 1'000
                           : 0);
    case Choice::kNewestLog:
      return chance + 1'000 * (node.stored.empty() ? node.snapshot.meta.index
                                                   : node.stored.back().index)
                                  .value();
    case Choice::kYoungestVoters: {
      const auto leader = this->FindActing();
      const bool is_voter =
          !leader ||
          this->cluster.nodes[*leader].replica->membership().is_voter(node.id);
      return is_voter ? 1'000 * position + chance : chance;
    }
  }
  return chance;
}

std::vector<std::size_t> PowerHistory::DrawDisks(std::size_t count,
                                                 Choice choice) {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t slot = 0; slot < this->slots.size(); ++slot) {
    if (this->HasDisk(slot)) {
      ranked.emplace_back(this->RankOf(slot, choice), slot);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::size_t left = std::min(count, this->AllowedDisks());
  std::vector<std::size_t> drawn;
  for (const auto& [rank, slot] : ranked) {
    const bool is_free = this->IsLossFree(slot);
    if (drawn.size() < count && (is_free || left > 0)) {
      left -= is_free ? 0 : 1;
      drawn.push_back(slot);
    }
  }
  return drawn;
}

void PowerHistory::LosePower(Milliseconds time,
                             std::size_t count,
                             Choice choice) {
  const std::vector<std::size_t> wiped = this->DrawDisks(count, choice);
  this->Note(StrCat("power is lost, with ", wiped.size(), " disks of ",
                    this->AllowedDisks()));
  const auto newly_lost = static_cast<std::size_t>(std::count_if(
      wiped.begin(), wiped.end(),
      [this](std::size_t slot) { return !this->IsLossFree(slot); }));
  if (this->limits != Limits::kCounted &&
      this->CountLost() + newly_lost > kMaxLost) {
    this->Note("more is lost than has to be borne");
    this->is_resting = true;
  }
  this->disks.RestorePower();
  this->cluster.network.clear();
  this->KillAll(time, wiped);
  for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
    if (this->cluster.nodes[node].is_up()) {
      this->cluster.Crash(node);
    }
  }
}

void PowerHistory::LosePowerAfter(Moment moment,
                                  Milliseconds time,
                                  std::size_t count,
                                  Choice choice) {
  this->Note(StrCat("waits for moment ", static_cast<int>(moment)));
  this->seen = this->Look();
  this->when_it_comes = [this, time, count, choice] {
    this->LosePower(time, count, choice);
  };
  this->awaited = moment;
}

}  // namespace sumac::replication
