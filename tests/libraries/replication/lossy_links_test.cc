// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/libraries/replication/lossy_cluster.h"
#include "tests/libraries/replication/machine_history.h"

namespace sumac::replication {
namespace {

// A packet crosses the links of two zones, which lose 4 of 100 each.
constexpr double kLoss = 0.078;
constexpr std::size_t kCommandBytes = 1'000;
constexpr std::size_t kStateBytes = 80'000;
constexpr std::uint64_t kSeeds = 16;

// A group of five whose connections lose packets, with a snapshot that a new
// member has to receive.
class LossyHistory : public MachineHistory {
 public:
  explicit LossyHistory(std::uint64_t seed)
      : MachineHistory(seed,
                       0,
                       std::make_unique<LossyCluster>(kVoters, seed, Times()),
                       Milliseconds(10)),
        lossy(static_cast<LossyCluster&>(this->cluster)) {
    EXPECT_EQ(this->Pass(Milliseconds(2'000)), "");
    this->Fill();
    this->lossy.SetLoss(kLoss);
  }

  // Returns the slots that don't lead.
  std::vector<std::size_t> Followers() const {
    std::vector<std::size_t> followers;
    for (std::size_t slot = 0; slot < this->slot_count(); ++slot) {
      const Cluster::Node& node = this->cluster.nodes[this->slots[slot].node];
      if (node.is_up() && node.replica->role() != Role::kLeader) {
        followers.push_back(slot);
      }
    }
    return followers;
  }

  void HealLinks() { this->lossy.SetLoss(0); }

 private:
  // Commits that much, and takes a snapshot of it everywhere.
  void Fill() {
    const std::size_t leader = this->FindActing().value();
    for (std::size_t bytes = 0; bytes < kStateBytes; bytes += kCommandBytes) {
      EXPECT_TRUE(
          this->cluster.Propose(leader, std::string(kCommandBytes, 'x')).ok());
    }
    EXPECT_EQ(this->Pass(Milliseconds(1'000)), "");
    for (const Slot& slot : this->slots) {
      this->cluster.Compact(slot.node);
    }
  }

  LossyCluster& lossy;
};

// Plays two lost disks, and a third one as soon as the first machine doesn't
// count as lost any more. Returns the first problem.
std::string PlayThreeDisks(LossyHistory& history) {
  const std::vector<std::size_t> followers = history.Followers();
  history.Wipe(followers[0], Milliseconds(3'000));
  if (std::string problem = history.Pass(Milliseconds(400)); !problem.empty()) {
    return problem;
  }
  history.Wipe(followers[1], Milliseconds(3'000));
  constexpr Milliseconds kStep{10};
  while (!history.MayLose(followers[2])) {
    if (std::string problem = history.Pass(kStep); !problem.empty()) {
      return problem;
    }
  }
  history.Wipe(followers[2], Milliseconds(3'000));
  if (std::string problem = history.Pass(Milliseconds(9'000));
      !problem.empty()) {
    return problem;
  }
  history.HealLinks();
  if (std::string problem = history.Pass(Milliseconds(2'000));
      !problem.empty()) {
    return problem;
  }
  return history.CheckWhole();
}

// Guards against votes that lost disks keep for longer than their machines
// count as lost: with the next disk no majority would be left.
TEST(LossyLinksTest, VotesOfLostDisksAreSoonPassedOn) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LossyHistory history(seed);
    EXPECT_EQ(PlayThreeDisks(history), "") << "seed " << seed << "\n"
                                           << history.text();
  }
}

}  // namespace
}  // namespace sumac::replication
