// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/cluster.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"

namespace sumac::replication {
namespace {

constexpr char kSeparator = '\n';

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += part + kSeparator;
  }
  return text;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = text.find(kSeparator, start);
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

}  // namespace

Cluster::Cluster(int voters,
                 std::uint64_t seed,
                 const ReplicationSettings& settings)
    : settings(settings), seed(seed) {
  Membership membership;
  for (int number = 0; number < voters; ++number) {
    membership.voters.insert(NodeId(StrCat("n", number, ".1")));
  }
  for (const NodeId& voter : membership.voters) {
    Node node{.id = voter};
    node.snapshot.meta.membership = membership;
    this->nodes.push_back(std::move(node));
  }
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    this->Restart(node);
  }
}

std::size_t Cluster::PositionOf(const NodeId& id) const {
  for (std::size_t position = 0; position < this->nodes.size(); ++position) {
    if (this->nodes[position].id == id) {
      return position;
    }
  }
  return this->nodes.size();
}

std::size_t Cluster::AddNode(const NodeId& id) {
  this->nodes.push_back(Node{.id = id});
  this->Restart(this->nodes.size() - 1);
  return this->nodes.size() - 1;
}

void Cluster::Tick(Milliseconds step) {
  this->now += step;
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    if (this->nodes[node].is_up() && !this->nodes[node].is_frozen) {
      this->nodes[node].replica->Tick(this->now);
      this->Pump(node);
    }
  }
}

void Cluster::Settle() {
  while (!this->network.empty()) {
    this->Deliver(0);
  }
}

std::optional<std::size_t> Cluster::ElectLeader(Milliseconds limit) {
  const SteadyTime deadline = this->now + limit;
  while (this->now < deadline) {
    this->PassTime(Milliseconds(20));
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
      const Node& candidate = this->nodes[node];
      if (candidate.is_up() && !candidate.is_frozen &&
          candidate.replica->is_ready_to_lead() &&
          candidate.replica->HoldsLease(this->now)) {
        return node;
      }
    }
  }
  return std::nullopt;
}

void Cluster::PassTime(Milliseconds time) {
  constexpr Milliseconds kStep{10};
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    this->Tick(kStep);
    this->Settle();
  }
}

void Cluster::Pump(std::size_t position) {
  Node& node = this->nodes[position];
  while (node.replica->has_output()) {
    const Output output = node.replica->TakeOutput();
    Store(node, output);
    if (!output.entries_to_write.empty()) {
      node.replica->HandleLogWritten(node.stored.back().index, this->now);
    }
    this->CarryOut(node, output);
  }
}

void Cluster::Store(Node& node, const Output& output) {
  if (output.snapshot_to_install) {
    node.snapshot = *output.snapshot_to_install;
    std::erase_if(node.stored, [&](const Entry& entry) {
      return output.does_snapshot_replace_log ||
             entry.index <= node.snapshot.meta.index;
    });
  }
  if (output.hard_state) {
    node.hard_state = *output.hard_state;
  }
  for (const Entry& entry : output.entries_to_write) {
    std::erase_if(node.stored,
                  [&](const Entry& old) { return old.index >= entry.index; });
    node.stored.push_back(entry);
  }
}

void Cluster::CarryOut(Node& node, const Output& output) {
  if (output.snapshot_to_install) {
    node.applied = Split(output.snapshot_to_install->state);
    node.applied_index = output.snapshot_to_install->meta.index;
  }
  this->network.insert(this->network.end(), output.messages.begin(),
                       output.messages.end());
  for (const Entry& entry : output.committed) {
    VERIFY(entry.index == node.applied_index.Next());
    node.applied_index = entry.index;
    this->committed.try_emplace(entry.index, entry);
    if (entry.kind == EntryKind::kCommand) {
      node.applied.push_back(entry.payload);
    }
  }
}

Entry Cluster::LastCommitted() const {
  return this->committed.empty() ? Entry{} : this->committed.rbegin()->second;
}

bool Cluster::Deliver(std::size_t position) {
  if (position >= this->network.size()) {
    return false;
  }
  Message message = std::move(this->network[position]);
  this->network.erase(this->network.begin() +
                      static_cast<std::ptrdiff_t>(position));
  const std::size_t from = this->PositionOf(message.from);
  const std::size_t to = this->PositionOf(message.to);
  const bool is_lost = to == this->nodes.size() ||
                       !this->AreConnected(from, to) ||
                       !this->nodes[to].is_up();
  if (!is_lost && !this->nodes[to].is_frozen) {
    this->nodes[to].replica->Receive(std::move(message), this->now);
    this->Pump(to);
  }
  return true;
}

void Cluster::Drop(std::size_t position) {
  if (position < this->network.size()) {
    this->network.erase(this->network.begin() +
                        static_cast<std::ptrdiff_t>(position));
  }
}

void Cluster::Duplicate(std::size_t position) {
  if (position < this->network.size()) {
    this->network.push_back(this->network[position]);
  }
}

void Cluster::Crash(std::size_t node) {
  this->nodes[node].replica.reset();
  this->nodes[node].is_frozen = false;
}

void Cluster::Restart(std::size_t position) {
  Node& node = this->nodes[position];
  node.applied = Split(node.snapshot.state);
  node.applied_index = node.snapshot.meta.index;
  node.replica = std::make_unique<Replica>(
      this->settings,
      StartState{node.id, node.hard_state, node.snapshot, node.stored,
                 ++this->seed},
      this->now);
}

void Cluster::SetCut(std::size_t node, bool is_cut) {
  is_cut ? static_cast<void>(this->cut.insert(node))
         : static_cast<void>(this->cut.erase(node));
}

void Cluster::SplitGroup(std::set<std::size_t> side) {
  this->split_side = std::move(side);
}

bool Cluster::AreConnected(std::size_t one, std::size_t other) const {
  return !this->cut.contains(one) && !this->cut.contains(other) &&
         this->split_side.contains(one) == this->split_side.contains(other);
}

void Cluster::Compact(std::size_t position) {
  Node& node = this->nodes[position];
  const std::string state = Join(node.applied);
  node.snapshot =
      Snapshot{node.replica->Compact(node.applied_index, state), state};
  std::erase_if(node.stored, [&](const Entry& entry) {
    return entry.index <= node.snapshot.meta.index;
  });
}

absl::StatusOr<LogIndex> Cluster::Propose(std::size_t node,
                                          const std::string& command) {
  auto index = this->nodes[node].replica->Propose(command, this->now);
  this->Pump(node);
  return index;
}

std::vector<std::size_t> Cluster::LeaseHolders() const {
  std::vector<std::size_t> holders;
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    if (this->nodes[node].is_up() &&
        this->nodes[node].replica->HoldsLease(this->now)) {
      holders.push_back(node);
    }
  }
  return holders;
}

std::string Cluster::CheckApplied(const Node& node) {
  std::vector<std::string> expected;
  for (const auto& [index, entry] : this->committed) {
    if (index <= node.applied_index && entry.kind == EntryKind::kCommand) {
      expected.push_back(entry.payload);
    }
  }
  return expected == node.applied
             ? ""
             : StrCat(node.id.value(), " applied another history");
}

std::string Cluster::CheckStored(const Node& node) const {
  for (const Entry& entry : node.stored) {
    const auto known = this->committed.find(entry.index);
    const bool is_committed_here = entry.index <= node.replica->commit_index();
    if (is_committed_here && known != this->committed.end() &&
        !(known->second == entry)) {
      return StrCat(node.id.value(),
                    " holds another entry at committed position ",
                    entry.index.value());
    }
  }
  return "";
}

std::string Cluster::CheckInvariants() {
  for (std::size_t position = 0; position < this->nodes.size(); ++position) {
    const Node& node = this->nodes[position];
    if (!node.is_up()) {
      continue;
    }
    if (node.replica->role() == Role::kLeader) {
      const auto [known, is_new] =
          this->leader_of_term.try_emplace(node.replica->term(), node.id);
      if (known->second != node.id) {
        return StrCat("two leaders in term ", node.replica->term().value());
      }
    }
    // A disk may hold other entries until those that replace them are written.
    if (this->IsWritten(position)) {
      if (std::string problem = this->CheckStored(node); !problem.empty()) {
        return problem;
      }
    }
    if (std::string problem = this->CheckApplied(node); !problem.empty()) {
      return problem;
    }
  }
  const std::vector<std::size_t> holders = this->LeaseHolders();
  return holders.size() > 1 ? "two replicas hold a lease at once" : "";
}

}  // namespace sumac::replication
