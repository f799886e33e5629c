// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/durable_votes.h"

#include <algorithm>
#include <bitset>
#include <cstdint>
#include <iterator>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"

namespace sumac::replication {
namespace {

constexpr std::size_t kMaxReplicas = 20;
// The replicas at positions of the list that is checked.
using ReplicaSet = std::bitset<kMaxReplicas>;

// The elections that one replica can win.
struct Candidate {
  bool may_stand = false;
  // The replicas that vote for it among each set of voters of which it needs a
  // majority, and how many of each.
  struct Majority {
    ReplicaSet supporters;
    std::size_t needed = 0;
  };
  std::vector<Majority> majorities;
  bool holds_committed = false;

  bool CanWinWith(const ReplicaSet& left) const {
    return std::all_of(this->majorities.begin(), this->majorities.end(),
                       [&](const Majority& majority) {
                         return (majority.supporters & left).count() >=
                                majority.needed;
                       });
  }
};

const Membership& MembershipOf(const DurableReplica& replica) {
  const auto latest = std::find_if(
      replica.entries.rbegin(), replica.entries.rend(),
      [](const Entry& entry) { return entry.kind == EntryKind::kMembership; });
  return latest == replica.entries.rend() ? replica.snapshot.membership
                                          : latest->membership;
}

// Returns true if the replica stands for election: it is a member by its own
// log, or it was one before the last entry about members, which it does not
// know to be committed. After a loss of power only a snapshot is known to be.
bool MayStand(const DurableReplica& replica) {
  const auto is_membership = [](const Entry& entry) {
    return entry.kind == EntryKind::kMembership;
  };
  const auto latest = std::find_if(replica.entries.rbegin(),
                                   replica.entries.rend(), is_membership);
  if (latest == replica.entries.rend()) {
    return replica.snapshot.membership.is_member(replica.id);
  }
  const auto before =
      std::find_if(std::next(latest), replica.entries.rend(), is_membership);
  const Membership& earlier = before == replica.entries.rend()
                                  ? replica.snapshot.membership
                                  : before->membership;
  return latest->membership.is_member(replica.id) ||
         earlier.is_member(replica.id);
}

// The position up to which votes compare two logs.
std::pair<Term, LogIndex> EndOf(const DurableReplica& replica) {
  return replica.entries.empty()
             ? std::pair(replica.snapshot.term, replica.snapshot.index)
             : std::pair(replica.entries.back().term,
                         replica.entries.back().index);
}

bool HoldsEntry(const DurableReplica& replica, const Entry& entry) {
  if (entry.index <= replica.snapshot.index) {
    return true;
  }
  const std::size_t position =
      entry.index.value() - replica.snapshot.index.value() - 1;
  return position < replica.entries.size() &&
         replica.entries[position].index == entry.index &&
         replica.entries[position].term == entry.term;
}

Candidate CandidateAt(std::size_t position,
                      const std::vector<DurableReplica>& replicas,
                      const Entry& last_committed,
                      VoteRule rule) {
  const DurableReplica& self = replicas[position];
  const Membership& members = MembershipOf(self);
  Candidate candidate{
      .may_stand = MayStand(self),
      .holds_committed = HoldsEntry(self, last_committed),
  };
  for (const auto* voters : {&members.voters, &members.outgoing_voters}) {
    if (voters == &members.outgoing_voters && voters->empty()) {
      continue;
    }
    Candidate::Majority majority{.needed = voters->size() / 2 + 1};
    for (std::size_t other = 0; other < replicas.size(); ++other) {
      const DurableReplica& voter = replicas[other];
      const bool may_vote = rule == VoteRule::kAnyReplica ||
                            MembershipOf(voter).is_voter(voter.id);
      majority.supporters[other] =
          voters->contains(voter.id) && may_vote && EndOf(self) >= EndOf(voter);
    }
    candidate.majorities.push_back(majority);
  }
  return candidate;
}

// Checks the elections among the replicas of `left`.
std::string CheckElections(const std::vector<DurableReplica>& replicas,
                           const std::vector<Candidate>& candidates,
                           const ReplicaSet& left) {
  bool can_anybody_win = false;
  for (std::size_t position = 0; position < replicas.size(); ++position) {
    const Candidate& candidate = candidates[position];
    if (!left[position] || !candidate.may_stand ||
        !candidate.CanWinWith(left)) {
      continue;
    }
    if (!candidate.holds_committed) {
      return StrCat(replicas[position].id.value(),
                    " can win without all that is committed");
    }
    can_anybody_win = true;
  }
  return can_anybody_win ? "" : "nobody can win an election";
}

std::string Describe(const std::vector<DurableReplica>& replicas,
                     const ReplicaSet& lost) {
  std::string text;
  for (std::size_t position = 0; position < replicas.size(); ++position) {
    const DurableReplica& replica = replicas[position];
    text += StrCat("\n  ", replica.id.value(), lost[position] ? " (lost)" : "",
                   ": ends at ", EndOf(replica).second.value(), " of term ",
                   EndOf(replica).first.value(), ", snapshot at ",
                   replica.snapshot.index.value(), ", voters");
    for (const NodeId& voter : MembershipOf(replica).voters) {
      text += " " + voter.value();
    }
    for (const NodeId& voter : MembershipOf(replica).outgoing_voters) {
      text += " -" + voter.value();
    }
  }
  return text;
}

}  // namespace

std::string CheckDurableVotes(const std::vector<DurableReplica>& replicas,
                              const Entry& last_committed,
                              std::size_t max_lost,
                              VoteRule rule) {
  VERIFY(replicas.size() <= kMaxReplicas);
  std::vector<Candidate> candidates;
  for (std::size_t position = 0; position < replicas.size(); ++position) {
    candidates.push_back(CandidateAt(position, replicas, last_committed, rule));
  }
  ReplicaSet all;
  ReplicaSet free;
  for (std::size_t position = 0; position < replicas.size(); ++position) {
    all.set(position);
    free[position] = replicas[position].is_loss_free;
  }
  const std::uint64_t end = std::uint64_t{1} << replicas.size();
  for (std::uint64_t bits = 0; bits < end; ++bits) {
    const ReplicaSet lost(bits);
    if ((lost & ~free).count() > max_lost) {
      continue;
    }
    const std::string problem =
        CheckElections(replicas, candidates, all & ~lost);
    if (!problem.empty()) {
      return StrCat(problem, "; committed up to ", last_committed.index.value(),
                    " of term ", last_committed.term.value(),
                    Describe(replicas, lost));
    }
  }
  return "";
}

}  // namespace sumac::replication
