// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/slow_disk_cluster.h"

#include <utility>

#include "libraries/replication/send_order.h"

namespace sumac::replication {
namespace {

constexpr Milliseconds kMaxWriteTime{25};
// A leader hands over when a single write takes longer than this.
constexpr Milliseconds kStalledDiskTime{1'000};

}  // namespace

SlowDiskCluster::SlowDiskCluster(int voters,
                                 std::uint64_t seed,
                                 const ReplicationSettings& settings)
    : Cluster(voters, seed, settings), random(seed) {}

Milliseconds SlowDiskCluster::DrawWriteTime(std::size_t position) {
  if (const auto stall = this->stalls.extract(position)) {
    return stall.mapped();
  }
  return Milliseconds(std::uniform_int_distribution<std::int64_t>(
      0, kMaxWriteTime.count())(this->random));
}

void SlowDiskCluster::StallDisk(std::size_t node, Milliseconds time) {
  this->stalls[node] = time;
}

bool SlowDiskCluster::IsWritten(std::size_t node) const {
  const auto writes = this->unwritten.find(node);
  return writes == this->unwritten.end() || writes->second.empty();
}

void SlowDiskCluster::Tick(Milliseconds step) {
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    if (this->nodes[node].is_up() && !this->nodes[node].is_frozen) {
      this->FinishWrites(node);
    }
  }
  if (!this->has_power) {
    return;
  }
  Cluster::Tick(step);
  for (auto& [node, writes] : this->unwritten) {
    Node& owner = this->nodes[node];
    const bool is_stalled =
        !writes.empty() && owner.is_up() && !owner.is_frozen &&
        owner.replica->role() == Role::kLeader &&
        this->now - writes.front().began_at > kStalledDiskTime;
    if (is_stalled) {
      static_cast<void>(owner.replica->HandOver(this->now));
    }
  }
}

void SlowDiskCluster::Settle() {
  for (std::size_t left = this->network.size(); left > 0 && this->has_power;
       --left) {
    this->Deliver(0);
  }
}

// Stores the first of the outputs that wait, and of the next one a part of its
// entries.
void SlowDiskCluster::StoreUnsynced(std::size_t position) {
  std::bernoulli_distribution is_stored(0.3);
  for (Write& write : this->unwritten[position]) {
    if (is_stored(this->random)) {
      Store(this->nodes[position], write.output);
      continue;
    }
    if (is_stored(this->random)) {
      auto& entries = write.output.entries_to_write;
      entries.resize(entries.size() / 2);
      Store(this->nodes[position], write.output);
    }
    return;
  }
}

void SlowDiskCluster::Crash(std::size_t node) {
  this->StoreUnsynced(node);
  this->unwritten.erase(node);
  Cluster::Crash(node);
}

void SlowDiskCluster::Pump(std::size_t position) {
  while (this->has_power && this->PumpOnce(position)) {
  }
}

bool SlowDiskCluster::PumpOnce(std::size_t position) {
  Node& node = this->nodes[position];
  Writes& waiting = this->unwritten[position];
  const bool may_take =
      waiting.empty() || node.replica->role() == Role::kLeader;
  if (!may_take || !node.replica->has_output()) {
    return false;
  }
  Output output = node.replica->TakeOutput();
  const bool can_send =
      CanSendBeforeWrite(node.replica->role(), waiting, output, &Write::output);
  const bool is_done = !output.has_writes() && (can_send || waiting.empty());
  if (can_send || is_done) {
    const bool has_committed = !output.committed.empty();
    this->CarryOut(node, output);
    output.messages.clear();
    output.committed.clear();
    if (has_committed) {
      this->observe();
    }
  }
  if (is_done) {
    return true;
  }
  waiting.push_back({std::move(output)});
  if (waiting.size() == 1) {
    this->BeginWrite(position);
  }
  return can_send;
}

void SlowDiskCluster::BeginWrite(std::size_t position) {
  Write& write = this->unwritten[position].front();
  write.began_at = this->now;
  write.done_at = this->now + this->DrawWriteTime(position);
}

void SlowDiskCluster::FinishWrites(std::size_t position) {
  Writes& waiting = this->unwritten[position];
  while (this->has_power && !waiting.empty() &&
         waiting.front().done_at <= this->now) {
    Node& node = this->nodes[position];
    const Output output = std::move(waiting.front().output);
    waiting.pop_front();
    Store(node, output);
    this->observe();
    if (!this->has_power) {
      return;
    }
    if (!output.entries_to_write.empty()) {
      node.replica->HandleLogWritten(output.entries_to_write.back().index,
                                     this->now);
    }
    this->CarryOut(node, output);
    if (!output.committed.empty()) {
      this->observe();
    }
    if (!waiting.empty()) {
      this->BeginWrite(position);
    }
    this->Pump(position);
  }
}

}  // namespace sumac::replication
