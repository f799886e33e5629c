// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/silence_watch.h"

#include <gtest/gtest.h>

#include <vector>

namespace sumac::replication {
namespace {

constexpr Milliseconds kHeartbeat{100};
constexpr Milliseconds kElection{450};
constexpr Milliseconds kTick{20};

const NodeId kSelf("c1.1");
const NodeId kOther("c2.1");
const NodeId kGone("c3.1");
const Membership kMembers{{kSelf, kOther, kGone}, {}};

class SilenceWatchTest : public testing::Test {
 protected:
  // Counts for `time`, in which only `answering` members answer.
  void Lead(Milliseconds time, const std::vector<NodeId>& answering) {
    for (Milliseconds passed{0}; passed < time; passed += kTick) {
      this->now += kTick;
      this->watch.Count(this->now);
      for (const NodeId& member : answering) {
        this->watch.RecordAnswer(member);
      }
    }
  }

  SteadyTime now{Milliseconds(1'000)};
  SilenceWatch watch{kHeartbeat, kElection};
};

TEST_F(SilenceWatchTest, CountsFromTheLastAnswer) {
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(Milliseconds(600), {kOther, kGone});
  this->Lead(Milliseconds(600), {kOther});
  EXPECT_EQ(this->watch.SilenceOf(kGone), Milliseconds(600));
  EXPECT_EQ(this->watch.SilenceOf(kOther), Milliseconds(0));
  this->watch.RecordAnswer(kGone);
  EXPECT_EQ(this->watch.SilenceOf(kGone), Milliseconds(0));
}

// Guards against the loss of a group whose leaders are replaced one after the
// other: each new leader counted the silence of the dead voters from zero.
TEST_F(SilenceWatchTest, ANewLeaderContinuesTheCountOfTheOneBefore) {
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(Milliseconds(1'200), {kOther});
  SilenceWatch next(kHeartbeat, kElection);
  next.RecordReport(kSelf, this->watch.Report(), this->now);
  this->watch = next;
  this->now += Milliseconds(700);
  this->watch.BeginLeading(kMembers, kOther, {}, this->now);
  this->Lead(kElection + kTick, {});
  EXPECT_GE(this->watch.SilenceOf(kGone),
            Milliseconds(1'200 + 700) + kElection);
  // The former leader has been silent since its last heartbeat.
  EXPECT_GE(this->watch.SilenceOf(kSelf), Milliseconds(700) + kElection);
  EXPECT_LT(this->watch.SilenceOf(kSelf), Milliseconds(1'200));
}

TEST_F(SilenceWatchTest, InheritedSilenceNeedsEvidenceOfTheNewLeader) {
  this->watch.RecordReport(kOther, {{kGone, Milliseconds(30'000)}}, this->now);
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  EXPECT_EQ(this->watch.SilenceOf(kGone), Milliseconds(0));
  this->Lead(kElection - kTick, {});
  EXPECT_LT(this->watch.SilenceOf(kGone), kElection);
  this->Lead(2 * kTick, {});
  EXPECT_GT(this->watch.SilenceOf(kGone), Milliseconds(30'000));
}

TEST_F(SilenceWatchTest, AVoteIsASignOfLife) {
  this->watch.RecordReport(kOther, {{kGone, Milliseconds(5'000)}}, this->now);
  this->watch.BeginLeading(kMembers, kSelf, {kSelf, kGone}, this->now);
  this->Lead(kElection + kTick, {});
  EXPECT_LT(this->watch.SilenceOf(kGone), Milliseconds(500));
}

// A leader that was frozen has not read the answers that wait for it.
TEST_F(SilenceWatchTest, APauseOfTheLeaderIsNobodysSilence) {
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(Milliseconds(1'000), {kOther, kGone});
  this->now += Milliseconds(8'000);
  this->watch.Count(this->now);
  EXPECT_LE(this->watch.SilenceOf(kOther), 2 * kHeartbeat);
  EXPECT_LE(this->watch.SilenceOf(kGone), 2 * kHeartbeat);
}

// The whole group was out of touch, for example cut in two.
TEST_F(SilenceWatchTest, ALongTimeWithoutALeaderIsNobodysSilence) {
  this->watch.RecordReport(kGone, {}, this->now);
  this->now += Milliseconds(30'000);
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(kElection, {});
  EXPECT_LE(this->watch.SilenceOf(kGone), 3 * kElection + kTick);
}

// Connections of one member may fall silent in the moment in which the leader
// is lost; it must not be taken for lost too.
TEST_F(SilenceWatchTest, TheTimeWithoutALeaderCountsOnlyForThoseMissedBefore) {
  this->watch.RecordReport(kOther, {}, this->now);
  this->now += Milliseconds(800);
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(Milliseconds(600), {});
  EXPECT_EQ(this->watch.SilenceOf(kGone), Milliseconds(600));
  EXPECT_EQ(this->watch.SilenceOf(kOther), Milliseconds(1'400));
}

TEST_F(SilenceWatchTest, AMemberThatWasAddedStartsWithoutSilence) {
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(Milliseconds(2'000), {kOther});
  const NodeId added("c4.1");
  this->watch.UpdateMembers({{kSelf, kOther}, {added}}, kSelf);
  EXPECT_EQ(this->watch.SilenceOf(added), Milliseconds(0));
  EXPECT_EQ(this->watch.SilenceOf(kGone), Milliseconds(0));
}

TEST_F(SilenceWatchTest, OnlyMissedHeartbeatsAreReported) {
  this->watch.BeginLeading(kMembers, kSelf, {}, this->now);
  this->Lead(Milliseconds(1'000), {kOther});
  EXPECT_EQ(this->watch.Report(),
            (std::vector<MemberSilence>{{kGone, Milliseconds(1'000)}}));
}

}  // namespace
}  // namespace sumac::replication
