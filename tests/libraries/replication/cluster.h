// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_CLUSTER_H_
#define TESTS_LIBRARIES_REPLICATION_CLUSTER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/replication/replica.h"

namespace sumac::replication {

// A group of replicas on a fake clock, network and disk. Everything happens
// when the test says so.
class Cluster {
 public:
  explicit Cluster(int voters, std::uint64_t seed = 1);

  // One replica with its disk and state machine.
  struct Node {
    NodeId id;
    // What survives a crash.
    HardState hard_state;
    Snapshot snapshot;
    std::vector<Entry> stored;
    // What is gone at a crash.
    std::unique_ptr<Replica> replica;
    // The applied commands, in order; part of the snapshot.
    std::vector<std::string> applied;
    LogIndex applied_index;
    bool is_frozen = false;

    bool is_up() const { return this->replica != nullptr; }
  };

  // Advances the clock by `step` for all and lets replicas tick.
  void Tick(Milliseconds step);
  // Carries out outputs and delivers all messages until nothing is left.
  void Settle();
  // Ticks and settles until a leader is ready, at most `limit`; the leader's
  // position.
  std::optional<std::size_t> ElectLeader(
      Milliseconds limit = Milliseconds(20'000));
  // Lets `time` pass in small steps, settling after each.
  void PassTime(Milliseconds time);

  // Carries out a replica's outputs: writes, sends, applies.
  void Pump(std::size_t node);
  // Delivers the message at a position of the network's queue; false if there
  // is none.
  bool Deliver(std::size_t position);
  void Drop(std::size_t position);
  void Duplicate(std::size_t position);

  void Crash(std::size_t node);
  void Restart(std::size_t node);
  // Cuts a node off both ways, or heals it.
  void SetCut(std::size_t node, bool is_cut);
  void Compact(std::size_t node);
  // Adds a node that is no member yet.
  std::size_t AddNode(const NodeId& id);

  absl::StatusOr<LogIndex> Propose(std::size_t node,
                                   const std::string& command);

  // Checks what must always hold: one leader a term, equal logs where terms
  // match, committed entries never lost or changed, one history applied
  // everywhere. Empty when all holds.
  std::string CheckInvariants();

  // The replicas that hold a lease now.
  std::vector<std::size_t> LeaseHolders() const;

  std::vector<Node> nodes;
  std::deque<Message> network;
  SteadyTime now{Milliseconds(1'000)};
  ReplicationSettings settings;

 private:
  std::size_t PositionOf(const NodeId& id) const;
  std::string CheckApplied(const Node& node);

  std::uint64_t seed;
  std::set<std::size_t> cut;
  std::map<Term, NodeId> leader_of_term;
  // What was committed at each position, by whoever first applied it.
  std::map<LogIndex, Entry> committed;
};

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_CLUSTER_H_
