// SPDX-License-Identifier: Apache-2.0
// Guards against a follower that ends, again after each restart, since a leader
// sends it a snapshot that it can't load.
#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "libraries/base/error.h"
#include "libraries/replication/replica.h"

namespace sumac::replication {
namespace {

constexpr SteadyTime kStart{Milliseconds(1'000)};
const NodeId kSelf("c1.1");
const NodeId kLeader("c2.1");
const NodeId kNextLeader("c3.1");

// A follower that can't load the state "bad".
class RefusedSnapshotTest : public testing::Test {
 protected:
  // Returns the output that follows a snapshot sent in one chunk.
  Output Send(const NodeId& leader,
              Term term,
              std::uint64_t index,
              const std::string& state) {
    const SnapshotMeta meta{LogIndex(index), Term(1), this->members};
    this->follower.Receive(
        {leader, kSelf, term,
         SnapshotChunk{.meta = meta, .data = state, .is_last = true}},
        kStart);
    return this->follower.TakeOutput();
  }

  static SnapshotAnswer AnswerOf(const Output& output) {
    return std::get<SnapshotAnswer>(output.messages.back().body);
  }

  Membership members{.voters = {kSelf, kLeader, kNextLeader}};
  int checks = 0;
  Replica follower{{},
                   {.self = kSelf, .snapshot = {{.membership = this->members}}},
                   kStart,
                   [this](const Snapshot& snapshot) {
                     ++this->checks;
                     return snapshot.state == "bad"
                                ? MakeError(ResultCode::kStorageUnreadable,
                                            "bad")
                                : absl::OkStatus();
                   }};
};

TEST_F(RefusedSnapshotTest, ItReplacesNothing) {
  const Output output = this->Send(kLeader, Term(1), 10, "bad");
  EXPECT_FALSE(output.snapshot_to_install);
  EXPECT_TRUE(output.messages.empty());
  EXPECT_EQ(this->follower.commit_index(), LogIndex(0));
}

// The same leader would send the same bytes again and again.
TEST_F(RefusedSnapshotTest, ItIsTriedOnce) {
  for (int times = 0; times < 3; ++times) {
    EXPECT_TRUE(this->Send(kLeader, Term(1), 10, "bad").messages.empty());
  }
  EXPECT_EQ(this->checks, 1);
}

TEST_F(RefusedSnapshotTest, ALaterOneIsInstalled) {
  this->Send(kLeader, Term(1), 10, "bad");
  const Output output = this->Send(kLeader, Term(1), 20, "good");
  ASSERT_TRUE(output.snapshot_to_install);
  EXPECT_EQ(output.snapshot_to_install->state, "good");
  EXPECT_TRUE(AnswerOf(output).is_installed);
}

// Another program may write the same state in another way.
TEST_F(RefusedSnapshotTest, OneOfTheSameIndexByAnotherLeaderIsInstalled) {
  this->Send(kLeader, Term(1), 10, "bad");
  const Output output = this->Send(kNextLeader, Term(2), 10, "good");
  ASSERT_TRUE(output.snapshot_to_install);
  EXPECT_TRUE(AnswerOf(output).is_installed);
}

}  // namespace
}  // namespace sumac::replication
