// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/growth_watch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/replication/membership_keeper.h"
#include "libraries/replication/membership_plan.h"
#include "tests/libraries/replication/cluster.h"
#include "tests/libraries/replication/durable_votes.h"

namespace sumac::replication {
namespace {

constexpr std::size_t kTolerated = 2;
constexpr std::size_t kSeeds = 3;
constexpr Milliseconds kStep{20};
constexpr SteadyTime kStart{Milliseconds(1'000)};

Membership MakeVoters(std::size_t count) {
  Membership members;
  for (std::size_t number = 0; number < count; ++number) {
    members.voters.insert(NodeId(StrCat("n", number, ".1")));
  }
  return members;
}

// Records the members for `time` and returns the end.
SteadyTime RecordFor(GrowthWatch& watch,
                     const Membership& members,
                     Milliseconds time,
                     SteadyTime from,
                     Term term = Term(1)) {
  const SteadyTime end = from + time;
  for (SteadyTime now = from; now <= end; now += kStep) {
    watch.Record(term, members, now);
  }
  return end;
}

TEST(GrowthWatchTest, AWholeGroupHasGrownAtOnce) {
  GrowthWatch watch(kTolerated);
  EXPECT_FALSE(watch.IsGrown());
  watch.Record(Term(1), MakeVoters(5), kStart);
  EXPECT_TRUE(watch.IsGrown());
}

TEST(GrowthWatchTest, AMachineThatNeverComesCountsAsLost) {
  GrowthWatch watch(kTolerated);
  SteadyTime now =
      RecordFor(watch, MakeVoters(4), GrowthWatch::kGrowthTime - kStep, kStart);
  EXPECT_FALSE(watch.IsGrown());
  RecordFor(watch, MakeVoters(4), kStep, now);
  EXPECT_TRUE(watch.IsGrown());
  EXPECT_EQ(watch.CountMissing(), 1U);
}

TEST(GrowthWatchTest, MoreMachinesThanMayBeLostAreAwaited) {
  GrowthWatch watch(3);
  RecordFor(watch, MakeVoters(3), 10 * GrowthWatch::kGrowthTime, kStart);
  EXPECT_FALSE(watch.IsGrown());
  RecordFor(watch, MakeVoters(4), GrowthWatch::kGrowthTime,
            kStart + 11 * GrowthWatch::kGrowthTime);
  EXPECT_TRUE(watch.IsGrown());
}

TEST(GrowthWatchTest, ALearnerThatHasJustJoinedIsAwaited) {
  GrowthWatch watch(kTolerated);
  const Membership four = MakeVoters(4);
  const SteadyTime now =
      RecordFor(watch, four, GrowthWatch::kGrowthTime - kStep, kStart);
  const Membership with_learner = WithLearner(four, NodeId("n9.1"));
  RecordFor(watch, with_learner, GrowthWatch::kGrowthTime - kStep, now);
  EXPECT_FALSE(watch.IsGrown());
}

TEST(GrowthWatchTest, ANewTermBeginsAnew) {
  GrowthWatch watch(kTolerated);
  const Membership four = MakeVoters(4);
  const SteadyTime now =
      RecordFor(watch, four, GrowthWatch::kGrowthTime, kStart);
  watch.Record(Term(2), four, now + kStep);
  EXPECT_FALSE(watch.IsGrown());
}

TEST(GrowthWatchTest, AnOwnPauseIsNoTimeToJoin) {
  GrowthWatch watch(kTolerated);
  const Membership four = MakeVoters(4);
  watch.Record(Term(1), four, kStart);
  watch.Record(Term(1), four, kStart + 2 * GrowthWatch::kGrowthTime);
  EXPECT_FALSE(watch.IsGrown());
}

// A group that starts from its seeds, of which some machines never come up.
class StartingGroup {
 public:
  // The machines `down` never start. The one at `late` starts after
  // `late_time`.
  StartingGroup(std::uint64_t seed,
                std::set<std::size_t> down,
                std::size_t late,
                Milliseconds late_time)
      : cluster(static_cast<int>(kSeeds),
                seed,
                {.heartbeat_interval = Milliseconds(100),
                 .election_timeout = Milliseconds(450),
                 .clock_drift_margin = Milliseconds(45),
                 .hand_over_timeout = Milliseconds(450)}),
        down(std::move(down)),
        late(late),
        late_until(this->cluster.now + late_time) {
    for (std::size_t node = kSeeds; node < 2 * kTolerated + 1; ++node) {
      this->cluster.AddNode(NodeId(StrCat("n", node, ".1")));
    }
    for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
      if (this->down.contains(node) || node == this->late) {
        this->cluster.Crash(node);
      }
    }
  }

  // Passes time until the leader accepts and commits the first command. Returns
  // how long that took, or nothing if it took longer than `limit`.
  std::optional<Milliseconds> AwaitFirstCommit(Milliseconds limit) {
    const SteadyTime began_at = this->cluster.now;
    std::optional<LogIndex> index;
    while (this->cluster.now - began_at < limit) {
      this->Pass();
      const auto leader = this->FindLeader();
      if (!leader) {
        continue;
      }
      const Replica& replica = *this->cluster.nodes[*leader].replica;
      GrowthWatch& watch =
          this->watches.try_emplace(*leader, kTolerated).first->second;
      watch.Record(replica.term(), replica.membership(), this->cluster.now);
      if (!index && watch.IsGrown()) {
        index = this->cluster.Propose(*leader, "first").value();
        this->cluster.Settle();
      }
      if (index && replica.commit_index() >= *index) {
        this->voters = replica.membership().voters.size();
        return this->cluster.now - began_at;
      }
    }
    return std::nullopt;
  }

  // Returns the problem, if any, that arises if `losses` disks are lost now.
  std::string CheckDisks(std::size_t losses) const {
    std::vector<DurableReplica> replicas;
    for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
      // The disk of a machine that never started is one of the losses before.
      if (!this->down.contains(node)) {
        const Cluster::Node& found = this->cluster.nodes[node];
        replicas.push_back({.id = found.id,
                            .snapshot = found.snapshot.meta,
                            .entries = found.stored});
      }
    }
    return CheckDurableVotes(replicas, this->cluster.LastCommitted(), losses,
                             VoteRule::kAnyReplica);
  }

  std::size_t voter_count() const { return this->voters; }

 private:
  void Pass() {
    if (this->cluster.now >= this->late_until &&
        this->late < this->cluster.nodes.size() &&
        !this->down.contains(this->late) &&
        !this->cluster.nodes[this->late].is_up()) {
      this->cluster.Restart(this->late);
    }
    this->cluster.PassTime(kStep);
    const auto leader = this->FindLeader();
    if (!leader) {
      return;
    }
    Replica& replica = *this->cluster.nodes[*leader].replica;
    if (this->cluster.now - this->maintained_at >= Milliseconds(100)) {
      this->maintained_at = this->cluster.now;
      MembershipKeeper& keeper =
          this->keepers
              .try_emplace(*leader, 2 * kTolerated + 1, 0,
                           [](const NodeId&) { return DataCentre(); })
              .first->second;
      if (const auto next =
              keeper.Check(replica, keeper.HealthOfAll(replica))) {
        this->Propose(*leader, *next);
      }
    }
    for (std::size_t node = kSeeds; node < this->cluster.nodes.size(); ++node) {
      const Cluster::Node& joiner = this->cluster.nodes[node];
      SteadyTime& asked_at = this->asked_at[node];
      if (joiner.is_up() && !replica.membership().is_member(joiner.id) &&
          this->cluster.now - asked_at >= Milliseconds(500)) {
        asked_at = this->cluster.now;
        this->Propose(*leader, WithLearner(replica.membership(), joiner.id));
      }
    }
  }

  void Propose(std::size_t leader, const Membership& members) {
    // A change is refused while another one is in progress, and comes again.
    static_cast<void>(this->cluster.nodes[leader].replica->ProposeMembership(
        members, this->cluster.now));
    this->cluster.Pump(leader);
    this->cluster.Settle();
  }

  std::optional<std::size_t> FindLeader() const {
    for (const std::size_t node : this->cluster.LeaseHolders()) {
      if (this->cluster.nodes[node].replica->is_ready_to_lead()) {
        return node;
      }
    }
    return std::nullopt;
  }

  Cluster cluster;
  std::set<std::size_t> down;
  std::size_t late;
  SteadyTime late_until;
  std::map<std::size_t, GrowthWatch> watches;
  std::map<std::size_t, MembershipKeeper> keepers;
  std::map<std::size_t, SteadyTime> asked_at;
  SteadyTime maintained_at{};
  std::size_t voters = 0;
};

// Whichever machines are down from the start, of the seeds at most one, the
// first command is committed in time, and outlives the losses that may still
// come. If all machines run, it has the whole group.
RC_GTEST_PROP(GrowthWatchProperty,
              AFirstCommandIsTakenInTimeAndOutlivesTheLossesStillAllowed,
              ()) {
  constexpr Milliseconds kMaxWait{6'000};
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  std::set<std::size_t> down;
  const auto losses = *rc::gen::inRange<std::size_t>(0, kTolerated + 1);
  while (down.size() < losses) {
    const auto node = *rc::gen::inRange<std::size_t>(0, 2 * kTolerated + 1);
    const bool is_seed_down = !down.empty() && *down.begin() < kSeeds;
    if (node >= kSeeds || !is_seed_down) {
      down.insert(node);
    }
  }
  const auto late = *rc::gen::inRange<std::size_t>(kSeeds, 2 * kTolerated + 1);
  const Milliseconds late_time{*rc::gen::inRange(0, 1'500)};
  StartingGroup group(seed, down, late, late_time);
  RC_ASSERT(group.AwaitFirstCommit(kMaxWait).has_value());
  RC_ASSERT(group.CheckDisks(kTolerated - losses) == std::string());
  if (losses == 0) {
    RC_ASSERT(group.voter_count() == 2 * kTolerated + 1);
  }
}

}  // namespace
}  // namespace sumac::replication
