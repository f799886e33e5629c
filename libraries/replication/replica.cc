// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/replica.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "libraries/base/error.h"
#include "libraries/base/verify.h"
#include "libraries/replication/quorum.h"

namespace sumac::replication {
namespace {

// The number of voters in which two sets differ.
std::size_t CountChangedVoters(const std::set<NodeId>& before,
                               const std::set<NodeId>& after) {
  const auto count_missing = [](const std::set<NodeId>& from,
                                const std::set<NodeId>& other) {
    return std::count_if(from.begin(), from.end(), [&](const NodeId& node) {
      return !other.contains(node);
    });
  };
  return count_missing(before, after) + count_missing(after, before);
}

// Returns true if every quorum of `before` overlaps with every one of `after`.
bool IsSafeStep(const Membership& before, const Membership& after) {
  if (after.voters.empty()) {
    return false;
  }
  if (before.outgoing_voters == after.outgoing_voters) {
    return before.is_joint()
               ? before.voters == after.voters
               : CountChangedVoters(before.voters, after.voters) <= 1;
  }
  return before.is_joint()
             ? !after.is_joint() && (after.voters == before.voters ||
                                     after.voters == before.outgoing_voters)
             : after.outgoing_voters == before.voters;
}

}  // namespace

Replica::Replica(ReplicationSettings initial_settings,
                 StartState start,
                 SteadyTime now,
                 SnapshotCheck initial_check)
    : settings(initial_settings),
      own_id(std::move(start.self)),
      hard_state(std::move(start.hard_state)),
      log(start.snapshot.meta, std::move(start.entries)),
      snapshot_state(std::move(start.snapshot.state)),
      committed_index(start.snapshot.meta.index),
      delivered_index(start.snapshot.meta.index),
      written_index(this->log.last_index()),
      // NOTE: A restart loses the time of the last message from the leader.
      // The voter assumes that one has just arrived, since its vote could
      // otherwise break a lease that the leader still holds.
      last_leader_contact(now),
      silence_watch(this->settings.heartbeat_interval,
                    this->settings.election_timeout),
      latest_now(now),
      check_snapshot(std::move(initial_check)),
      random(start.seed) {
  this->ResetElectionTimer(now);
}

void Replica::Tick(SteadyTime now) {
  this->latest_now = now;
  if (this->current_role == Role::kLeader) {
    this->TickLeader(now);
    return;
  }
  if (now >= this->election_deadline && this->MayStandForElection()) {
    this->StartPreVote(now);
  }
}

void Replica::TickLeader(SteadyTime now) {
  this->silence_watch.Count(now);
  const SteadyTime acknowledged =
      this->leading->QuorumAcknowledgedAt(this->membership(), now);
  const SteadyTime alive_since =
      std::max(acknowledged, this->last_leader_contact);
  if (now - alive_since > 2 * this->settings.election_timeout) {
    this->BecomeFollower(this->hard_state.term, std::nullopt);
    this->ResetElectionTimer(now);
    return;
  }
  this->GiveUpLateHandOver(now);
  if (this->hand_over_to && now >= this->hand_over_deadline) {
    // NOTE: Once TimeoutNow is sent, its receiver may at any later moment of
    // this term start an election that ignores the lease, so leadership of this
    // term can't be resumed.
    this->BecomeFollower(this->hard_state.term, std::nullopt);
    this->ResetElectionTimer(now);
    return;
  }
  if (std::exchange(this->needs_commit_broadcast, false)) {
    this->SendCommitIndex(now);
  }
  if (now - this->last_heartbeat >= this->settings.heartbeat_interval) {
    this->last_heartbeat = now;
    for (auto& [node, progress] : this->leading->members()) {
      this->SendTo(node, progress, true, now);
    }
  }
}

void Replica::Receive(Message message, SteadyTime now) {
  this->latest_now = now;
  if (message.to != this->own_id) {
    return;
  }
  const auto* vote_request = std::get_if<VoteRequest>(&message.body);
  if (vote_request != nullptr) {
    this->HandleVoteRequest(message.from, message.term, *vote_request, now);
    return;
  }
  const auto* vote_answer = std::get_if<VoteAnswer>(&message.body);
  if (message.term > this->hard_state.term) {
    const bool is_granted_pre_vote = vote_answer != nullptr &&
                                     vote_answer->is_pre_vote &&
                                     vote_answer->is_granted;
    if (!is_granted_pre_vote) {
      this->BecomeFollower(message.term, std::nullopt);
    }
  }
  if (vote_answer != nullptr) {
    this->HandleVoteAnswer(message.from, message.term, *vote_answer, now);
    return;
  }
  if (message.term < this->hard_state.term) {
    // The refusal contains the newer term, which makes an old leader step down.
    if (std::holds_alternative<AppendRequest>(message.body) ||
        std::holds_alternative<SnapshotChunk>(message.body)) {
      this->Send(message.from, AppendAnswer{.is_accepted = false});
    }
    return;
  }
  if (auto* append = std::get_if<AppendRequest>(&message.body)) {
    this->HandleAppendRequest(message.from, std::move(*append), now);
  } else if (auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
    this->HandleSnapshotChunk(message.from, *chunk, now);
  } else if (std::holds_alternative<TimeoutNow>(message.body)) {
    this->HandleTimeoutNow(now);
  } else if (this->current_role == Role::kLeader) {
    if (const auto* answer = std::get_if<AppendAnswer>(&message.body)) {
      this->HandleAppendAnswer(message.from, *answer, now);
    } else if (const auto* installed =
                   std::get_if<SnapshotAnswer>(&message.body)) {
      this->HandleSnapshotAnswer(message.from, *installed, now);
    }
  }
}

absl::StatusOr<LogIndex> Replica::Propose(std::string payload, SteadyTime now) {
  if (this->current_role != Role::kLeader) {
    return MakeError(ResultCode::kNotLeader, "this controller does not lead");
  }
  this->GiveUpLateHandOver(now);
  if (this->hand_over_to) {
    return MakeError(ResultCode::kNoLeader, "leadership is being handed over");
  }
  if (payload.size() > kMaxCommandBytes) {
    return MakeError(ResultCode::kBodyTooLarge,
                     "the command is larger than an entry of the log");
  }
  this->AppendOwnEntry(
      Entry{.kind = EntryKind::kCommand, .payload = std::move(payload)}, now);
  return this->log.last_index();
}

absl::StatusOr<LogIndex> Replica::ProposeMembership(
    const Membership& membership,
    SteadyTime now) {
  this->GiveUpLateHandOver(now);
  if (this->current_role != Role::kLeader || this->hand_over_to) {
    return MakeError(ResultCode::kNotLeader, "this controller does not lead");
  }
  if (!this->is_membership_committed() || !this->is_ready_to_lead()) {
    return MakeError(ResultCode::kWrongState,
                     "the previous change of members is not committed");
  }
  if (!IsSafeStep(this->membership(), membership)) {
    return MakeError(ResultCode::kBadArgument,
                     "voters change one at a time or by an exchange, and not "
                     "while an exchange is under way");
  }
  this->AppendOwnEntry(
      Entry{.kind = EntryKind::kMembership, .membership = membership}, now);
  this->leading->UpdateMembers(membership, this->log.last_index(), now);
  this->silence_watch.UpdateMembers(membership, this->own_id);
  return this->log.last_index();
}

absl::Status Replica::HandOver(SteadyTime now) {
  if (this->current_role != Role::kLeader) {
    return MakeError(ResultCode::kNotLeader, "this controller does not lead");
  }
  this->GiveUpLateHandOver(now);
  if (this->hand_over_to) {
    // Its deadline and a TimeoutNow that is on its way still count.
    return absl::OkStatus();
  }
  std::optional<NodeId> best;
  LogIndex best_match;
  for (const auto& [node, progress] : this->leading->members()) {
    const bool is_alive =
        now - progress.last_answer_at < this->settings.election_timeout;
    if (this->membership().is_voter(node) && is_alive &&
        (!best || progress.match_index > best_match)) {
      best = node;
      best_match = progress.match_index;
    }
  }
  if (!best) {
    return MakeError(ResultCode::kNoLeader,
                     "no other voter is alive to hand over to");
  }
  this->hand_over_to = best;
  this->hand_over_deadline = now + this->settings.hand_over_timeout;
  this->has_sent_timeout_now = false;
  this->MaybeFinishHandOver(now);
  return absl::OkStatus();
}

SnapshotMeta Replica::SnapshotMetaAt(LogIndex index) const {
  VERIFY(index <= this->delivered_index);
  return {index, this->log.TermAt(index), this->log.MembershipAt(index)};
}

SnapshotMeta Replica::Compact(LogIndex index, std::string state) {
  if (index <= this->log.snapshot().index) {
    return this->log.snapshot();
  }
  SnapshotMeta meta = this->SnapshotMetaAt(index);
  this->log.CompactTo(meta);
  this->snapshot_state = std::move(state);
  return meta;
}

Output Replica::TakeOutput() {
  if (std::exchange(this->needs_broadcast, false)) {
    this->Broadcast(this->latest_now);
  }
  for (LogIndex index = this->delivered_index.Next();
       index <= this->committed_index; index = index.Next()) {
    this->output.committed.push_back(this->log.At(index));
  }
  this->delivered_index = this->committed_index;
  return std::exchange(this->output, Output{});
}

void Replica::HandleLogWritten(LogIndex index, SteadyTime now) {
  this->latest_now = now;
  this->written_index = std::min(index, this->log.last_index());
  if (this->current_role == Role::kLeader) {
    this->MaybeCommit(now);
  }
}

bool Replica::HoldsLease(SteadyTime now) const {
  return this->LeaseEnd(now).has_value();
}

std::optional<SteadyTime> Replica::LeaseEnd(SteadyTime now) const {
  if (this->current_role != Role::kLeader || this->has_sent_timeout_now) {
    return std::nullopt;
  }
  const SteadyTime end =
      this->leading->QuorumAcknowledgedAt(this->membership(), now) +
      this->settings.election_timeout - this->settings.clock_drift_margin;
  return now < end ? std::optional(end) : std::nullopt;
}

bool Replica::is_ready_to_lead() const {
  return this->current_role == Role::kLeader &&
         this->committed_index >= this->leader_start_index;
}

void Replica::BecomeFollower(Term term, std::optional<NodeId> leader) {
  if (term > this->hard_state.term) {
    this->hard_state = HardState{term, std::nullopt};
    this->SaveHardState();
  }
  this->current_role = Role::kFollower;
  this->known_leader = std::move(leader);
  this->leading.reset();
  this->hand_over_to.reset();
  this->has_sent_timeout_now = false;
  this->votes.clear();
}

// NOTE: A member without a vote by its own log, or one that the last entry
// about members removes, may have the longest log that is left. Candidates that
// count its vote can't win then, as it gives none to a shorter log. So it
// stands itself, and leads the voters until they hold what it holds (Ongaro
// 2014, section 4.2.2).
bool Replica::MayStandForElection() const {
  if (this->membership().is_member(this->own_id)) {
    return true;
  }
  const LogIndex latest = this->log.LatestMembershipIndex();
  return latest > this->committed_index &&
         this->log.MembershipAt(LogIndex(latest.value() - 1))
             .is_member(this->own_id);
}

void Replica::ResetElectionTimer(SteadyTime now) {
  std::uniform_int_distribution<std::int64_t> spread(
      0, this->settings.election_timeout.count());
  // A replica without a vote leaves the lead to a voter if there is one.
  const int timeouts = this->membership().is_voter(this->own_id) ? 1 : 3;
  this->election_deadline = now + timeouts * this->settings.election_timeout +
                            Milliseconds(spread(this->random));
}

void Replica::StartPreVote(SteadyTime now) {
  this->current_role = Role::kPreCandidate;
  this->known_leader.reset();
  this->votes = {this->own_id};
  this->ResetElectionTimer(now);
  if (this->HasVoteQuorum()) {
    this->StartElection(false, now);
    return;
  }
  this->RequestVotes(true, false, this->hard_state.term.Next());
}

void Replica::StartElection(bool is_hand_over, SteadyTime now) {
  this->current_role = Role::kCandidate;
  this->known_leader.reset();
  this->hard_state = HardState{this->hard_state.term.Next(), this->own_id};
  this->SaveHardState();
  this->votes = {this->own_id};
  this->ResetElectionTimer(now);
  if (this->HasVoteQuorum()) {
    this->BecomeLeader(now);
    return;
  }
  this->RequestVotes(false, is_hand_over, this->hard_state.term);
}

void Replica::RequestVotes(bool is_pre_vote, bool is_hand_over, Term term) {
  for (const NodeId& voter : this->membership().AllVoters()) {
    if (voter != this->own_id) {
      this->SendWithTerm(
          voter, term,
          VoteRequest{is_pre_vote, is_hand_over, this->log.last_index(),
                      this->log.last_term()});
    }
  }
}

bool Replica::HasVoteQuorum() const {
  return IsQuorum(this->membership(), [this](const NodeId& voter) {
    return this->votes.contains(voter);
  });
}

void Replica::BecomeLeader(SteadyTime now) {
  this->current_role = Role::kLeader;
  this->known_leader = this->own_id;
  this->last_leader_contact = now;
  this->last_heartbeat = now;
  this->leading.emplace(now, this->log.last_index(), this->membership(),
                        this->own_id);
  this->silence_watch.BeginLeading(this->membership(), this->own_id,
                                   this->votes, now);
  this->AppendOwnEntry(Entry{.kind = EntryKind::kLeaderStart}, now);
  this->leader_start_index = this->log.last_index();
}

bool Replica::HasRecentLeader(SteadyTime now) const {
  if (this->current_role == Role::kLeader) {
    return true;
  }
  return now - this->last_leader_contact < this->settings.election_timeout;
}

bool Replica::IsLogUpToDate(LogIndex last_index, Term last_term) const {
  if (last_term != this->log.last_term()) {
    return last_term > this->log.last_term();
  }
  return last_index >= this->log.last_index();
}

void Replica::HandleVoteRequest(const NodeId& from,
                                Term term,
                                const VoteRequest& request,
                                SteadyTime now) {
  // NOTE: Until the election timeout after the last message from a leader, no
  // vote is granted, not even in a newer term: the leader's lease depends on
  // this. The exception is a hand-over, for which the leader gave up its lease.
  //
  // Whether this replica is a voter is up to the candidate's log: the entry
  // that makes it one may be committed without having reached it.
  if (this->HasRecentLeader(now) && !request.is_hand_over) {
    this->Send(from, VoteAnswer{request.is_pre_vote, false});
    return;
  }
  const bool is_up_to_date =
      this->IsLogUpToDate(request.last_index, request.last_term);
  if (request.is_pre_vote) {
    const bool is_granted = term > this->hard_state.term && is_up_to_date;
    this->SendWithTerm(from, is_granted ? term : this->hard_state.term,
                       VoteAnswer{true, is_granted});
    return;
  }
  if (term > this->hard_state.term) {
    this->BecomeFollower(term, std::nullopt);
  }
  const bool can_vote =
      term == this->hard_state.term &&
      (!this->hard_state.voted_for || *this->hard_state.voted_for == from);
  const bool is_granted = can_vote && is_up_to_date;
  if (is_granted) {
    this->hard_state.voted_for = from;
    this->SaveHardState();
    this->ResetElectionTimer(now);
  }
  this->Send(from, VoteAnswer{false, is_granted});
}

void Replica::HandleVoteAnswer(const NodeId& from,
                               Term term,
                               const VoteAnswer& answer,
                               SteadyTime now) {
  if (!answer.is_granted) {
    return;
  }
  if (answer.is_pre_vote) {
    if (this->current_role != Role::kPreCandidate ||
        term != this->hard_state.term.Next()) {
      return;
    }
    this->votes.insert(from);
    if (this->HasVoteQuorum()) {
      this->StartElection(false, now);
    }
    return;
  }
  if (this->current_role != Role::kCandidate || term != this->hard_state.term) {
    return;
  }
  this->votes.insert(from);
  if (this->HasVoteQuorum()) {
    this->BecomeLeader(now);
  }
}

void Replica::HandleAppendRequest(const NodeId& from,
                                  AppendRequest request,
                                  SteadyTime now) {
  VERIFY(this->current_role != Role::kLeader);
  this->BecomeFollower(this->hard_state.term, from);
  this->last_leader_contact = now;
  this->silence_watch.RecordReport(from, request.silences, now);
  this->ResetElectionTimer(now);
  AppendAnswer answer{.sent_at = request.sent_at};
  if (request.previous_index < this->log.snapshot().index) {
    // All entries up to the snapshot are committed, so they match.
    answer.is_accepted = true;
    answer.match_index = this->log.snapshot().index;
    this->Send(from, answer);
    return;
  }
  const bool is_matching =
      this->log.has_term(request.previous_index) &&
      this->log.TermAt(request.previous_index) == request.previous_term;
  if (!is_matching) {
    answer.match_index = this->ConflictHint(request);
    this->Send(from, answer);
    return;
  }
  const LogIndex last_new(request.previous_index.value() +
                          request.entries.size());
  this->AppendFollowerEntries(std::move(request.entries));
  this->AdvanceCommit(std::min(request.commit_index, last_new));
  // A leader's commit index covers all earlier committed entries only once it
  // lies in the leader's own term.
  if (request.is_under_lease && this->committed_index >= request.commit_index &&
      this->log.TermAt(this->committed_index) == this->hard_state.term) {
    this->is_state_verified = true;
  }
  answer.is_accepted = true;
  answer.match_index = last_new;
  this->Send(from, answer);
}

LogIndex Replica::ConflictHint(const AppendRequest& request) const {
  if (!this->log.has_term(request.previous_index)) {
    return this->log.last_index().Next();
  }
  // Skips the whole conflicting term at once.
  const Term conflicting = this->log.TermAt(request.previous_index);
  LogIndex first = request.previous_index;
  while (first > this->log.snapshot().index.Next() &&
         this->log.TermAt(LogIndex(first.value() - 1)) == conflicting) {
    first = LogIndex(first.value() - 1);
  }
  return std::max(first, this->log.snapshot().index.Next());
}

void Replica::AppendFollowerEntries(std::vector<Entry> entries) {
  for (Entry& entry : entries) {
    if (entry.index <= this->log.last_index()) {
      if (this->log.TermAt(entry.index) == entry.term) {
        continue;
      }
      VERIFY(entry.index > this->committed_index);
      this->log.TruncateFrom(entry.index);
      this->written_index =
          std::min(this->written_index, this->log.last_index());
      std::erase_if(this->output.entries_to_write, [&](const Entry& waiting) {
        return waiting.index >= entry.index;
      });
    }
    this->output.entries_to_write.push_back(entry);
    this->log.Append(std::move(entry));
  }
}

void Replica::AppendOwnEntry(Entry entry, SteadyTime now) {
  entry.term = this->hard_state.term;
  entry.index = this->log.last_index().Next();
  this->output.entries_to_write.push_back(entry);
  this->log.Append(std::move(entry));
  this->MaybeCommit(now);
  // The entry is sent with the next output, so that all proposals of one
  // iteration of the loop share a message.
  this->latest_now = now;
  this->needs_broadcast = true;
}

void Replica::AdvanceCommit(LogIndex index) {
  this->committed_index = std::max(this->committed_index, index);
}

void Replica::MaybeCommit(SteadyTime now) {
  const LogIndex agreed =
      this->leading->QuorumIndex(this->membership(), this->written_index);
  // Counting copies commits only entries of the leader's own term (Raft,
  // section 5.4.2).
  if (agreed <= this->committed_index ||
      this->log.TermAt(agreed) != this->hard_state.term) {
    return;
  }
  this->AdvanceCommit(agreed);
  this->is_state_verified = true;
  this->needs_commit_broadcast = true;
  if (this->is_membership_committed() &&
      !this->membership().is_voter(this->own_id)) {
    this->BecomeFollower(this->hard_state.term, std::nullopt);
    this->ResetElectionTimer(now);
  }
}

void Replica::Broadcast(SteadyTime now) {
  if (this->current_role != Role::kLeader) {
    return;
  }
  for (auto& [node, progress] : this->leading->members()) {
    this->SendTo(node, progress, false, now);
  }
}

// Sends the commit index to members to which no other message is in flight, so
// that they apply the committed entries on this tick rather than at the next
// heartbeat. Under load, messages with entries contain the commit index.
void Replica::SendCommitIndex(SteadyTime now) {
  for (auto& [node, progress] : this->leading->members()) {
    const bool is_idle = progress.is_matched &&
                         progress.messages_in_flight == 0 &&
                         progress.next_index > this->log.last_index();
    if (is_idle) {
      this->SendEntries(node, progress, now);
    }
  }
}

void Replica::SendTo(const NodeId& node,
                     MemberProgress& progress,
                     bool is_heartbeat,
                     SteadyTime now) {
  const bool is_stalled =
      now - progress.last_answer_at > this->settings.election_timeout;
  if (is_stalled && !progress.snapshot_offset &&
      progress.next_index <= this->log.snapshot().index) {
    // No snapshot is sent to a member that does not answer.
    progress.is_matched = false;
    progress.messages_in_flight = 0;
    progress.next_index = this->log.snapshot().index.Next();
  }
  if (progress.next_index <= this->log.snapshot().index ||
      progress.snapshot_offset) {
    if (!progress.snapshot_offset) {
      this->SendSnapshot(node, progress, now);
    } else if (is_heartbeat) {
      this->SendSnapshotHeartbeat(node, progress, now);
    }
    return;
  }
  const std::size_t max_in_flight =
      progress.is_matched ? this->settings.max_messages_in_flight : 1;
  const bool has_entries = progress.next_index <= this->log.last_index();
  if (is_heartbeat ||
      (has_entries && progress.messages_in_flight < max_in_flight)) {
    this->SendEntries(node, progress, now);
  }
}

void Replica::SendEntries(const NodeId& node,
                          MemberProgress& progress,
                          SteadyTime now) {
  const LogIndex previous(progress.next_index.value() - 1);
  AppendRequest request{.previous_index = previous,
                        .previous_term = this->log.TermAt(previous),
                        .commit_index = this->committed_index,
                        .is_under_lease = this->HoldsLease(now),
                        .sent_at = now,
                        .silences = this->silence_watch.Report()};
  const std::size_t max_in_flight =
      progress.is_matched ? this->settings.max_messages_in_flight : 1;
  if (progress.messages_in_flight < max_in_flight) {
    request.entries = this->log.Read(progress.next_index,
                                     this->settings.max_entries_per_message,
                                     this->settings.max_bytes_per_message);
  }
  if (!request.entries.empty()) {
    ++progress.messages_in_flight;
    progress.entries_sent_at = now;
    if (progress.is_matched) {
      progress.next_index = request.entries.back().index.Next();
    }
  }
  this->Send(node, std::move(request));
}

bool Replica::is_sending_snapshot() const {
  if (!this->leading) {
    return false;
  }
  const auto& members = this->leading->members();
  return std::any_of(members.begin(), members.end(), [&](const auto& member) {
    const bool is_answering = this->latest_now - member.second.last_answer_at <=
                              2 * this->settings.election_timeout;
    return member.second.snapshot_offset.has_value() && is_answering;
  });
}

// Begins to send the newest snapshot, or continues at the first byte that the
// member does not have.
void Replica::SendSnapshot(const NodeId& node,
                           MemberProgress& progress,
                           SteadyTime now) {
  const SnapshotMeta& meta = this->log.snapshot();
  if (progress.snapshot_index != meta.index) {
    progress.snapshot_index = meta.index;
    progress.snapshot_offset = 0;
  }
  const std::uint64_t offset = progress.snapshot_offset.value_or(0);
  progress.snapshot_offset = offset;
  progress.snapshot_sent_until = offset;
  this->SendSnapshotChunk(node, progress, now);
  this->SendSnapshotChunks(node, progress, now);
}

void Replica::SendSnapshotChunk(const NodeId& node,
                                MemberProgress& progress,
                                SteadyTime now) {
  SnapshotChunk chunk{.meta = this->log.snapshot(),
                      .offset = progress.snapshot_sent_until,
                      .sent_at = now};
  if (chunk.offset < this->snapshot_state.size()) {
    chunk.data = this->snapshot_state.substr(
        chunk.offset, this->settings.snapshot_chunk_bytes);
  }
  progress.snapshot_sent_until += chunk.data.size();
  progress.chunk_sent_at = now;
  chunk.is_last = progress.snapshot_sent_until >= this->snapshot_state.size();
  this->Send(node, std::move(chunk));
}

// Sends as many further chunks as may be in flight.
void Replica::SendSnapshotChunks(const NodeId& node,
                                 MemberProgress& progress,
                                 SteadyTime now) {
  const std::uint64_t window = this->settings.max_messages_in_flight *
                               this->settings.snapshot_chunk_bytes;
  while (progress.snapshot_sent_until < this->snapshot_state.size() &&
         progress.snapshot_sent_until - *progress.snapshot_offset < window) {
    this->SendSnapshotChunk(node, progress, now);
  }
}

// Sends an empty chunk: it shows that the leader is alive, and the answer tells
// whether chunks were lost. None is sent again without such an answer, since
// copies would delay all that follows on a slow link.
void Replica::SendSnapshotHeartbeat(const NodeId& node,
                                    MemberProgress& progress,
                                    SteadyTime now) {
  if (progress.snapshot_index != this->log.snapshot().index) {
    this->SendSnapshot(node, progress, now);
    return;
  }
  this->Send(node, SnapshotChunk{.meta = this->log.snapshot(),
                                 .offset = *progress.snapshot_offset,
                                 .sent_at = now});
}

void Replica::HandleAppendAnswer(const NodeId& from,
                                 const AppendAnswer& answer,
                                 SteadyTime now) {
  MemberProgress* progress = this->leading->Find(from);
  if (progress == nullptr) {
    return;
  }
  this->silence_watch.RecordAnswer(from);
  progress->last_answer_at = now;
  progress->acknowledged_sent_at =
      std::max(progress->acknowledged_sent_at, answer.sent_at);
  progress->supports_joint_quorums = answer.supports_joint_quorums;
  const bool is_late_refusal =
      !answer.is_accepted && answer.sent_at < progress->search_began_at;
  if (is_late_refusal) {
    return;
  }
  if (answer.sent_at > progress->entries_sent_at) {
    // Messages arrive in order, so all earlier ones were answered or lost.
    progress->messages_in_flight = 0;
  } else if (progress->messages_in_flight > 0) {
    --progress->messages_in_flight;
  }
  if (answer.is_accepted) {
    progress->is_matched = true;
    progress->match_index = std::max(progress->match_index, answer.match_index);
    progress->next_index =
        std::max(progress->next_index, progress->match_index.Next());
    this->MaybeCommit(now);
    if (this->current_role != Role::kLeader) {
      return;
    }
    this->MaybeFinishHandOver(now);
  } else if (answer.match_index > LogIndex(0)) {
    progress->is_matched = false;
    progress->messages_in_flight = 0;
    progress->search_began_at = now;
    progress->next_index =
        std::max(std::min(answer.match_index, this->log.last_index().Next()),
                 progress->match_index.Next());
  }
  progress = this->leading->Find(from);
  if (progress != nullptr) {
    this->SendTo(from, *progress, false, now);
  }
}

void Replica::HandleSnapshotChunk(const NodeId& from,
                                  const SnapshotChunk& chunk,
                                  SteadyTime now) {
  VERIFY(this->current_role != Role::kLeader);
  this->BecomeFollower(this->hard_state.term, from);
  this->last_leader_contact = now;
  this->ResetElectionTimer(now);
  SnapshotAnswer answer{.index = chunk.meta.index, .sent_at = chunk.sent_at};
  if (chunk.meta.index <= this->committed_index) {
    answer.is_installed = true;
    this->Send(from, answer);
    return;
  }
  if (this->IsRefused(from, chunk.meta)) {
    // An answer would make the leader send it again at once.
    return;
  }
  if (!this->incoming_snapshot || this->incoming_snapshot->meta != chunk.meta) {
    this->incoming_snapshot = Snapshot{chunk.meta, ""};
  }
  if (chunk.offset == this->incoming_snapshot->state.size()) {
    this->incoming_snapshot->state += chunk.data;
    if (chunk.is_last) {
      answer.is_installed = this->InstallIncomingSnapshot(from);
      if (answer.is_installed) {
        this->Send(from, answer);
      }
      return;
    }
  }
  answer.next_offset = this->incoming_snapshot->state.size();
  this->Send(from, answer);
}

bool Replica::IsRefused(const NodeId& from, const SnapshotMeta& meta) const {
  return this->refused_snapshot && this->refused_snapshot->from == from &&
         this->refused_snapshot->term == this->hard_state.term &&
         this->refused_snapshot->meta == meta;
}

// Installs the snapshot that has arrived as a whole. Returns false for one that
// the host can't load: it replaces nothing.
bool Replica::InstallIncomingSnapshot(const NodeId& from) {
  const SnapshotMeta meta = this->incoming_snapshot->meta;
  if (this->check_snapshot &&
      !this->check_snapshot(*this->incoming_snapshot).ok()) {
    this->refused_snapshot = RefusedSnapshot{from, this->hard_state.term, meta};
    this->incoming_snapshot.reset();
    return false;
  }
  // NOTE: Entries after the snapshot are kept if they belong to the same
  // history: they may have been acknowledged, and an acknowledged entry must
  // not be lost (Raft, section 7).
  const bool is_same_history = this->log.has_term(meta.index) &&
                               this->log.TermAt(meta.index) == meta.term;
  this->log.CompactTo(meta);
  this->committed_index = meta.index;
  this->delivered_index = meta.index;
  this->written_index = this->log.last_index();
  this->snapshot_state = this->incoming_snapshot->state;
  std::erase_if(this->output.entries_to_write, [&](const Entry& entry) {
    return !is_same_history || entry.index <= meta.index;
  });
  this->output.committed.clear();
  this->output.does_snapshot_replace_log = !is_same_history;
  this->output.snapshot_to_install = std::move(this->incoming_snapshot);
  this->incoming_snapshot.reset();
  return true;
}

void Replica::HandleSnapshotAnswer(const NodeId& from,
                                   const SnapshotAnswer& answer,
                                   SteadyTime now) {
  MemberProgress* progress = this->leading->Find(from);
  if (progress == nullptr) {
    return;
  }
  this->silence_watch.RecordAnswer(from);
  progress->last_answer_at = now;
  progress->acknowledged_sent_at =
      std::max(progress->acknowledged_sent_at, answer.sent_at);
  progress->supports_joint_quorums = answer.supports_joint_quorums;
  if (!progress->snapshot_offset) {
    return;
  }
  if (answer.is_installed) {
    progress->snapshot_offset.reset();
    progress->match_index = std::max(progress->match_index, answer.index);
    progress->next_index = progress->match_index.Next();
    this->SendTo(from, *progress, false, now);
    return;
  }
  if (answer.index != progress->snapshot_index) {
    return;
  }
  const bool is_superseded = answer.index != this->log.snapshot().index;
  if (is_superseded || answer.sent_at > progress->chunk_sent_at) {
    // Messages arrive in order, so what the member does not have was lost.
    progress->snapshot_offset = answer.next_offset;
    this->SendSnapshot(from, *progress, now);
  } else if (answer.next_offset > *progress->snapshot_offset) {
    progress->snapshot_offset = answer.next_offset;
    progress->snapshot_sent_until =
        std::max(progress->snapshot_sent_until, answer.next_offset);
    this->SendSnapshotChunks(from, *progress, now);
  }
}

void Replica::HandleTimeoutNow(SteadyTime now) {
  if (this->current_role != Role::kLeader &&
      this->membership().is_voter(this->own_id)) {
    this->StartElection(true, now);
  }
}

// Gives up a hand-over whose time is over, unless TimeoutNow is sent. Ticks
// alone don't suffice: a host whose disk is full makes none.
void Replica::GiveUpLateHandOver(SteadyTime now) {
  if (!this->has_sent_timeout_now && now >= this->hand_over_deadline) {
    this->hand_over_to.reset();
  }
}

void Replica::MaybeFinishHandOver(SteadyTime now) {
  this->GiveUpLateHandOver(now);
  if (!this->hand_over_to || this->has_sent_timeout_now) {
    return;
  }
  const MemberProgress* progress = this->leading->Find(*this->hand_over_to);
  if (progress != nullptr && progress->match_index == this->log.last_index()) {
    this->has_sent_timeout_now = true;
    this->Send(*this->hand_over_to, TimeoutNow{});
  }
}

void Replica::Send(const NodeId& to, decltype(Message::body) body) {
  this->SendWithTerm(to, this->hard_state.term, std::move(body));
}

void Replica::SendWithTerm(const NodeId& to,
                           Term term,
                           decltype(Message::body) body) {
  this->output.messages.push_back(
      Message{this->own_id, to, term, std::move(body)});
}

void Replica::SaveHardState() {
  this->output.hard_state = this->hard_state;
}

}  // namespace sumac::replication
