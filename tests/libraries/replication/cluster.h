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

// A group of replicas on a fake clock, network and disk. The test triggers
// every event.
class Cluster {
 public:
  explicit Cluster(int voters,
                   std::uint64_t seed = 1,
                   const ReplicationSettings& settings = {});
  virtual ~Cluster() = default;
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // One replica with its disk and state machine.
  struct Node {
    NodeId id;
    // The state on disk, which survives a crash.
    HardState hard_state;
    Snapshot snapshot;
    std::vector<Entry> stored;
    // Null after a crash.
    std::unique_ptr<Replica> replica;
    // The applied commands, in order; a snapshot contains them.
    std::vector<std::string> applied;
    LogIndex applied_index;
    bool is_frozen = false;

    bool is_up() const { return this->replica != nullptr; }
  };

  // Advances the clock by `step` and ticks all replicas.
  virtual void Tick(Milliseconds step);
  // Carries out outputs and delivers all messages until nothing is left.
  virtual void Settle();
  // Ticks and settles until a leader is ready or `limit` has passed. Returns
  // the leader's position.
  std::optional<std::size_t> ElectLeader(
      Milliseconds limit = Milliseconds(20'000));
  // Advances the clock by `time` in small steps and settles after each.
  void PassTime(Milliseconds time);

  // Carries out a replica's outputs: writes entries, sends messages and applies
  // committed entries.
  virtual void Pump(std::size_t node);
  // Delivers the message at a position of the network's queue; returns false if
  // there is none.
  bool Deliver(std::size_t position);
  void Drop(std::size_t position);
  void Duplicate(std::size_t position);

  virtual void Crash(std::size_t node);
  void Restart(std::size_t node);
  // Cuts a node off in both directions, or reconnects it.
  void SetCut(std::size_t node, bool is_cut);
  // Cuts the nodes of `side` off from all others; an empty set reconnects them.
  void SplitGroup(std::set<std::size_t> side);
  // Returns true if messages between two nodes arrive.
  bool AreConnected(std::size_t one, std::size_t other) const;
  void Compact(std::size_t node);
  // Adds a node that is no member yet.
  std::size_t AddNode(const NodeId& id);

  absl::StatusOr<LogIndex> Propose(std::size_t node,
                                   const std::string& command);

  // Checks the invariants: at most one leader per term, committed entries are
  // never lost or changed, all nodes apply the same history, and at most one
  // replica holds a lease. Returns a description of the first violation, or an
  // empty string.
  std::string CheckInvariants();

  // Returns true if all that the node's replica has taken in is on its disk.
  virtual bool IsWritten(std::size_t /*node*/) const { return true; }

  // Returns the replicas that hold a lease now.
  std::vector<std::size_t> LeaseHolders() const;

  // Returns the last entry that any replica has applied, or an empty one.
  Entry LastCommitted() const;

  std::vector<Node> nodes;
  std::deque<Message> network;
  SteadyTime now{Milliseconds(1'000)};
  ReplicationSettings settings;

 protected:
  // Stores an output's snapshot, hard state and entries on the node's disk.
  static void Store(Node& node, const Output& output);
  // Installs an output's snapshot in the state machine, sends the messages and
  // applies the committed entries.
  void CarryOut(Node& node, const Output& output);

 private:
  std::size_t PositionOf(const NodeId& id) const;
  std::string CheckApplied(const Node& node);
  std::string CheckStored(const Node& node) const;

  std::uint64_t seed;
  std::set<std::size_t> cut;
  std::set<std::size_t> split_side;
  std::map<Term, NodeId> leader_of_term;
  // The committed entry at each position, as recorded by the first node that
  // applied it.
  std::map<LogIndex, Entry> committed;
};

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_CLUSTER_H_
