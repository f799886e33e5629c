// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

#include "tests/libraries/replication/cluster.h"

namespace sumac::replication {
namespace {

// What a random history is made of; each step does one of these to one node or
// message.
enum class Step {
  kTick,
  kDeliver,
  kDeliverAll,
  kDrop,
  kDuplicate,
  kReorder,
  kPropose,
  kCrash,
  kRestart,
  kCut,
  kHeal,
  kCompact,
  kHandOver,
  kFreeze,
  kThaw,
};

constexpr std::array kStepNames = {
    "tick",    "deliver", "deliver all", "drop",    "duplicate",
    "reorder", "propose", "crash",       "restart", "cut",
    "heal",    "compact", "hand over",   "freeze",  "thaw"};

constexpr int kNodes = 3;

Step PickStep() {
  return *rc::gen::weightedElement<Step>({{20, Step::kTick},
                                          {30, Step::kDeliver},
                                          {15, Step::kDeliverAll},
                                          {5, Step::kDrop},
                                          {4, Step::kDuplicate},
                                          {6, Step::kReorder},
                                          {12, Step::kPropose},
                                          {3, Step::kCrash},
                                          {6, Step::kRestart},
                                          {3, Step::kCut},
                                          {6, Step::kHeal},
                                          {3, Step::kCompact},
                                          {2, Step::kHandOver},
                                          {2, Step::kFreeze},
                                          {4, Step::kThaw}});
}

void Carry(Cluster& cluster,
           Step step,
           int& next_command,
           std::string& history) {
  const auto node = *rc::gen::inRange<std::size_t>(0, kNodes);
  const auto place = *rc::gen::inRange<std::size_t>(0, 8);
  history += kStepNames[static_cast<std::size_t>(step)];
  history += " " + std::to_string(node);
  history += "/" + std::to_string(place);
  history += "; ";
  Cluster::Node& chosen = cluster.nodes[node];
  switch (step) {
    case Step::kTick:
      cluster.Tick(Milliseconds(*rc::gen::element(10, 50, 200, 900)));
      break;
    case Step::kDeliver:
      cluster.Deliver(place);
      break;
    case Step::kDeliverAll:
      cluster.Settle();
      break;
    case Step::kDrop:
      cluster.Drop(place);
      break;
    case Step::kDuplicate:
      cluster.Duplicate(place);
      break;
    case Step::kReorder:
      if (place < cluster.network.size()) {
        std::swap(cluster.network[place], cluster.network.front());
      }
      break;
    case Step::kPropose:
      for (std::size_t each = 0; each < kNodes; ++each) {
        if (cluster.nodes[each].is_up() && !cluster.nodes[each].is_frozen) {
          static_cast<void>(
              cluster.Propose(each, "c" + std::to_string(next_command++)));
        }
      }
      break;
    case Step::kCrash:
      cluster.Crash(node);
      break;
    case Step::kRestart:
      if (!chosen.is_up()) {
        cluster.Restart(node);
      }
      break;
    case Step::kCut:
      cluster.SetCut(node, true);
      break;
    case Step::kHeal:
      cluster.SetCut(node, false);
      break;
    case Step::kCompact:
      if (chosen.is_up()) {
        cluster.Compact(node);
      }
      break;
    case Step::kHandOver:
      if (chosen.is_up() && !chosen.is_frozen) {
        static_cast<void>(chosen.replica->HandOver(cluster.now));
        cluster.Pump(node);
      }
      break;
    case Step::kFreeze:
      chosen.is_frozen = chosen.is_up();
      break;
    case Step::kThaw:
      chosen.is_frozen = false;
      break;
  }
}

RC_GTEST_PROP(ReplicaPropertyTest, KeepsItsInvariantsInAnyHistory, ()) {
  Cluster cluster(kNodes, *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  int next_command = 0;
  std::string history;
  constexpr int kSteps = 300;
  for (int step = 0; step < kSteps; ++step) {
    Carry(cluster, PickStep(), next_command, history);
    const std::string problem = cluster.CheckInvariants();
    if (!problem.empty()) {
      RC_FAIL(history + problem);
    }
  }
  // Once the faults end, the work goes on.
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.SetCut(node, false);
    cluster.nodes[node].is_frozen = false;
    if (!cluster.nodes[node].is_up()) {
      cluster.Restart(node);
    }
  }
  // A leader in the middle of a hand-over takes no proposal, but not for long.
  bool is_proposed = false;
  // NOTE: Each round lets 20 ms pass, and a hand-over may take 300 ms.
  constexpr int kRounds = 25;
  for (int round = 0; round < kRounds && !is_proposed; ++round) {
    const auto leader = cluster.ElectLeader();
    RC_ASSERT(leader.has_value());
    is_proposed = cluster.Propose(*leader, "last").ok();
  }
  RC_ASSERT(is_proposed);
  cluster.PassTime(Milliseconds(20'000));
  for (const Cluster::Node& node : cluster.nodes) {
    RC_ASSERT(!node.applied.empty());
    RC_ASSERT(node.applied.back() == "last");
  }
  RC_ASSERT(cluster.CheckInvariants().empty());
}

}  // namespace
}  // namespace sumac::replication
