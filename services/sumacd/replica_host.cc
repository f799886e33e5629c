// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/replica_host.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/base/verify.h"
#include "libraries/codec/json_writer.h"
#include "libraries/log/json_log.h"
#include "libraries/replication/election_seed.h"
#include "libraries/replication/membership_plan.h"
#include "libraries/replication/send_order.h"
#include "libraries/storage/posix_disk.h"
#include "libraries/storage/snapshot_file.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {
namespace {

using replication::ProcessOf;

constexpr Milliseconds kMessageTimeout{1'000};
// The maximum number of messages in flight to one process; further ones are
// dropped, as on a slow network.
constexpr std::size_t kMaxMessagesInFlight = 64;
// A leader hands over when a single disk write takes longer than this.
constexpr Milliseconds kStalledDiskTime{1'000};

// While a snapshot is being sent to a member, the next one is taken only after
// this many times the usual number of entries. That is some seconds at peak
// load, in which the member can receive the whole snapshot, while the log stays
// bounded.
constexpr std::uint64_t kSnapshotIntervalFactorWhileSending = 4;
// The maximum number of committed entries applied before other events are
// processed: about ten milliseconds on a third of a core.
constexpr std::size_t kMaxAppliedPerBatch = 64;
constexpr kj::Duration kApplyPause = 100 * kj::MICROSECONDS;

replication::ReplicationSettings ToReplicationSettings(
    const GroupSettings& group) {
  replication::ReplicationSettings settings;
  settings.heartbeat_interval = group.heartbeat;
  settings.election_timeout = group.election_timeout;
  // The clocks of one data centre drift by far less than a tenth of an election
  // timeout during that time.
  settings.clock_drift_margin = group.election_timeout / 10;
  settings.hand_over_timeout = group.election_timeout;
  return settings;
}

// Returns true if the disk refused the write for a temporary reason and still
// holds all earlier data.
bool IsTemporaryShortage(const absl::Status& status) {
  return CodeOf(status) == ResultCode::kDiskFull ||
         CodeOf(status) == ResultCode::kStorageShort;
}

// Appends the entries of a later output to an output that waits to be written.
void MergeEntries(replication::Output& waiting, replication::Output& later) {
  waiting.entries_to_write.insert(
      waiting.entries_to_write.end(),
      std::make_move_iterator(later.entries_to_write.begin()),
      std::make_move_iterator(later.entries_to_write.end()));
}

}  // namespace

absl::StatusOr<std::unique_ptr<ReplicaHost>> ReplicaHost::Create(
    const ReplicaHostSettings& settings,
    Peers& peers,
    kj::Timer& timer,
    ReplicaCallbacks callbacks) {
  ReplicaStore store = TRY(OpenReplicaStore(
      std::make_shared<storage::PosixDisk>(), settings.data_folder));
  return CreateWithStore(std::move(store), settings, peers, timer,
                         std::move(callbacks));
}

absl::StatusOr<std::unique_ptr<ReplicaHost>> ReplicaHost::CreateWithStore(
    ReplicaStore store,
    const ReplicaHostSettings& settings,
    Peers& peers,
    kj::Timer& timer,
    ReplicaCallbacks callbacks) {
  replication::StartState start = std::move(store.start);
  std::unique_ptr<ReplicaHost> host(new ReplicaHost(
      settings, peers, timer, std::move(callbacks), std::move(store)));
  if (ProcessOf(start.self) != settings.process) {
    return MakeError(
        ResultCode::kSettingsInvalid,
        StrCat(settings.data_folder, ": belongs to ", start.self.value(),
               ", not to ", settings.process.value()));
  }
  if (start.snapshot.meta.index > LogIndex(0)) {
    const absl::Status loaded =
        host->callbacks.load_snapshot(start.snapshot.state);
    if (!loaded.ok()) {
      return MakeError(ResultCode::kStorageUnreadable,
                       StrCat(settings.data_folder, ": snapshot ",
                              start.snapshot.meta.index.value(), ": ",
                              FromAbsl(loaded.message())));
    }
    host->last_applied = start.snapshot.meta.index;
  }
  start.seed = replication::DrawElectionSeed(start.self);
  host->replica_core = std::make_unique<replication::Replica>(
      ToReplicationSettings(settings.group), std::move(start),
      host->clock.SteadyNow(),
      [self = host.get()](const replication::Snapshot& snapshot) {
        return self->CheckLeaderSnapshot(snapshot);
      });
  return host;
}

ReplicaHost::ReplicaHost(const ReplicaHostSettings& settings,
                         Peers& peers,
                         kj::Timer& timer,
                         ReplicaCallbacks callbacks,
                         ReplicaStore store)
    : settings(settings),
      peers(peers),
      timer(timer),
      callbacks(std::move(callbacks)),
      store(std::move(store)),
      group_maintenance(settings.maintenance, settings.process, peers),
      tasks(*this) {}

void ReplicaHost::Tick(SteadyTime now) {
  if (this->has_full_disk) {
    this->StartWrite();
  }
  if (this->IsSendingBlocked(now)) {
    return;
  }
  this->replica_core->Tick(now);
  this->group_maintenance.Tick(*this->replica_core, now, this->tasks);
  const bool is_leader =
      this->replica_core->role() == replication::Role::kLeader;
  if (is_leader && this->WriteAge(now) > kStalledDiskTime &&
      this->replica_core->HandOver(now).ok()) {
    LogEvent(LogLevel::kWarning, "hands-over-with-stalled-disk",
             {{"write_ms", this->WriteAge(now).count()}});
  }
  this->Pump();
}

bool ReplicaHost::MayAct() const {
  return this->MayActUntil().has_value();
}

std::optional<SteadyTime> ReplicaHost::MayActUntil() const {
  const bool is_ready =
      !this->has_full_disk && this->replica_core->is_ready_to_lead() &&
      this->last_applied >= this->replica_core->leader_start();
  return is_ready ? this->replica_core->LeaseEnd(this->clock.SteadyNow())
                  : std::nullopt;
}

Milliseconds ReplicaHost::WriteAge(SteadyTime now) const {
  return this->is_writing ? now - this->write_began : Milliseconds(0);
}

kj::Promise<fleet::Answer> ReplicaHost::Propose(std::string payload) {
  if (!this->MayAct()) {
    return this->NotLeaderAnswer();
  }
  const absl::StatusOr<LogIndex> index =
      this->replica_core->Propose(std::move(payload), this->clock.SteadyNow());
  if (!index.ok()) {
    return fleet::Answer::FromStatus(index.status());
  }
  auto paf = kj::newPromiseAndFulfiller<fleet::Answer>();
  this->proposals[*index] =
      PendingProposal{this->replica_core->term(), kj::mv(paf.fulfiller)};
  this->SchedulePump();
  return kj::mv(paf.promise);
}

absl::Status ReplicaHost::Join(const replication::NodeId& node) {
  if (!this->MayAct()) {
    return MakeError(ResultCode::kNotLeader, this->KnownLeader().value());
  }
  absl::Status not_committed =
      MakeError(ResultCode::kWrongState, "the members are not committed yet");
  if (this->replica_core->membership().is_member(node)) {
    return this->replica_core->is_membership_committed() ? absl::OkStatus()
                                                         : not_committed;
  }
  LogEvent(LogLevel::kWarning, "controller-joins", {{"node", node.value()}});
  TRY(this->ProposeMembers(
      replication::WithLearner(this->replica_core->membership(), node)));
  return not_committed;
}

absl::Status ReplicaHost::ChangeMember(const std::string& action,
                                       const replication::NodeId& node) {
  if (!this->MayAct()) {
    return MakeError(ResultCode::kNotLeader, this->KnownLeader().value());
  }
  replication::Membership membership = this->replica_core->membership();
  if (!membership.is_member(node)) {
    return MakeError(ResultCode::kUnknownName,
                     StrCat("no controller ", node.value()));
  }
  if (action == "add") {
    if (!this->group_maintenance.HasCaughtUp(*this->replica_core, node)) {
      return MakeError(ResultCode::kWrongState,
                       StrCat(node.value(), " has not caught up yet"));
    }
    membership.learners.erase(node);
    membership.voters.insert(node);
  } else if (action == "remove" || action == "replace") {
    const bool has_successor =
        std::any_of(membership.learners.begin(), membership.learners.end(),
                    [&](const auto& learner) {
                      return ProcessOf(learner) == ProcessOf(node);
                    });
    if (action == "replace" && !has_successor) {
      return MakeError(ResultCode::kWrongState,
                       StrCat(ProcessOf(node).value(),
                              " has not come back with another disk"));
    }
    membership.voters.erase(node);
    membership.learners.erase(node);
  } else {
    return MakeError(ResultCode::kBadArgument,
                     "the action must be add, remove or replace");
  }
  return this->ProposeMembers(membership);
}

absl::Status ReplicaHost::ProposeMembers(
    const replication::Membership& membership) {
  const absl::StatusOr<LogIndex> index = this->replica_core->ProposeMembership(
      membership, this->clock.SteadyNow());
  this->SchedulePump();
  return index.status();
}

void ReplicaHost::MaintainMembership() {
  const auto next = this->group_maintenance.Check(*this->replica_core);
  if (!next) {
    return;
  }
  nlohmann::json silent = nlohmann::json::object();
  for (const auto& [node, silence] : this->replica_core->silence().Report()) {
    silent[node.value()] = silence.count();
  }
  const absl::Status status = this->ProposeMembers(*next);
  LogEvent(LogLevel::kWarning, "controllers-change",
           {{"voters", ToJson(next->voters)},
            {"outgoing_voters", ToJson(next->outgoing_voters)},
            {"learners", ToJson(next->learners)},
            {"silent_ms", std::move(silent)},
            {"status", status.ToString()}});
}

absl::Status ReplicaHost::HandOver() {
  absl::Status status = this->replica_core->HandOver(this->clock.SteadyNow());
  this->SchedulePump();
  return status;
}

ProcessName ReplicaHost::KnownLeader() const {
  const auto& leader = this->replica_core->leader();
  return leader ? ProcessOf(*leader) : ProcessName();
}

fleet::Answer ReplicaHost::NotLeaderAnswer() const {
  return fleet::Answer{.code = ResultCode::kNotLeader,
                       .message = this->KnownLeader().value()};
}

kj::Promise<std::vector<replication::Message>> ReplicaHost::Receive(
    replication::Message message) {
  if (this->IsSendingBlocked(this->clock.SteadyNow())) {
    return std::vector<replication::Message>();
  }
  const ProcessName sender = ProcessOf(message.from);
  this->HandleMessage(std::move(message));
  auto paf = kj::newPromiseAndFulfiller<std::vector<replication::Message>>();
  this->waiting_senders.push_back(
      WaitingSender{sender, {}, kj::mv(paf.fulfiller)});
  return kj::mv(paf.promise);
}

void ReplicaHost::HandleMessage(replication::Message message) {
  const SteadyTime now = this->clock.SteadyNow();
  if (this->IsSendingBlocked(now)) {
    return;
  }
  this->vote_log.Record(message, *this->replica_core);
  this->replica_core->Receive(std::move(message), now);
  this->SchedulePump();
}

// Responds to the calls whose messages were received since the last pump, with
// the replies to their senders.
void ReplicaHost::AnswerSenders() {
  for (WaitingSender& waiting : std::exchange(this->waiting_senders, {})) {
    waiting.fulfiller->fulfill(std::move(waiting.replies));
  }
}

// Runs the pump after all events that are queued in the event loop now, so that
// their proposals share one disk write and one message to each replica. It must
// not wait until the queue is empty: on a busy leader that happens too rarely.
void ReplicaHost::SchedulePump() {
  if (this->is_pump_scheduled) {
    return;
  }
  this->is_pump_scheduled = true;
  this->tasks.add(kj::evalLater([this] {
    this->is_pump_scheduled = false;
    this->Pump();
  }));
}

// Logs the replica's role and leader whenever they change.
void ReplicaHost::LogRole() {
  const replication::Replica& replica = *this->replica_core;
  const std::pair current(replica.role(), this->KnownLeader());
  if (current == this->logged_role) {
    return;
  }
  this->logged_role = current;
  LogEvent(LogLevel::kInfo, "role",
           {{"role", NameOf(current.first)},
            {"leader", current.second.value()},
            {"term", replica.term().value()},
            {"last_index", replica.last_index().value()},
            {"voters", replica.membership().voters.size()},
            {"is_voter", replica.membership().is_voter(replica.self())},
            {"are_members_committed", replica.is_membership_committed()}});
}

void ReplicaHost::Pump() {
  this->LogRole();
  while (this->PumpOnce()) {
  }
  // A follower's replies wait until the data that they acknowledge is on disk.
  const bool is_leader =
      this->replica_core->role() == replication::Role::kLeader;
  // A replica that must not send answers its open calls without replies.
  if (this->unwritten.empty() || is_leader ||
      this->IsSendingBlocked(this->clock.SteadyNow())) {
    this->AnswerSenders();
  }
  this->FailLostProposals();
  this->callbacks.after_pump();
  this->BeginSnapshotIfDue();
}

// Processes one output of the replica. Returns false if there is none that may
// be processed now.
bool ReplicaHost::PumpOnce() {
  const bool is_leader =
      this->replica_core->role() == replication::Role::kLeader;
  const bool may_take = this->unwritten.empty() || is_leader;
  if (!may_take || this->IsSendingBlocked(this->clock.SteadyNow()) ||
      !this->replica_core->has_output()) {
    return false;
  }
  replication::Output output = this->replica_core->TakeOutput();
  const bool can_send_early = replication::CanSendBeforeWrite(
      this->replica_core->role(), this->unwritten, output);
  if (can_send_early || (this->unwritten.empty() && !output.has_writes())) {
    this->Deliver(output);
  }
  if (!output.has_writes() && (can_send_early || this->unwritten.empty())) {
    return true;
  }
  // The first output is being written; the second collects the entries that
  // arrive meanwhile.
  const bool can_merge = can_send_early && this->unwritten.size() > 1 &&
                         !this->unwritten.back().hard_state;
  if (can_merge) {
    MergeEntries(this->unwritten.back(), output);
  } else {
    this->unwritten.push_back(std::move(output));
  }
  this->StartWrite();
  return can_send_early;
}

void ReplicaHost::StartWrite() {
  if (this->is_writing || this->unwritten.empty()) {
    return;
  }
  this->is_writing = true;
  this->write_began = this->clock.SteadyNow();
  const replication::Output* output = &this->unwritten.front();
  // NOTE: The front element is neither moved nor changed until the write is
  // done; a deque keeps its elements in place when others are appended.
  this->tasks.add(
      this->disk_thread
          .Run([this, output] { return this->store.write(*output); })
          .then([this](const absl::Status& status) {
            this->FinishWrite(status);
          }));
}

void ReplicaHost::FinishWrite(const absl::Status& status) {
  this->is_writing = false;
  if (IsTemporaryShortage(status)) {
    // Nothing was acknowledged and nothing is lost: the same output is written
    // again once there is space.
    if (!std::exchange(this->has_full_disk, true)) {
      LogEvent(LogLevel::kError, std::string(InfoFor(CodeOf(status)).name),
               {{"error", std::string(status.message())}});
      this->AnswerSenders();
      this->HandOverWithFullDisk();
    }
    return;
  }
  if (!status.ok()) {
    // NOTE: After a failed write or sync the contents of the disk are unknown.
    // Anything that this process acknowledged from now on might be lost, so it
    // exits.
    EndProcess("storage-failed", {{"error", std::string(status.message())}});
  }
  if (std::exchange(this->has_full_disk, false)) {
    LogEvent(LogLevel::kInfo, "disk-has-room-again", nlohmann::json::object());
  }
  replication::Output output = std::move(this->unwritten.front());
  this->unwritten.pop_front();
  if (!output.entries_to_write.empty()) {
    this->replica_core->HandleLogWritten(output.entries_to_write.back().index,
                                         this->clock.SteadyNow());
  }
  // An output that was delivered before the write has nothing left to deliver.
  this->Deliver(output);
  this->StartWrite();
  this->Pump();
}

// Returns true while the replica must not send messages. A replica whose disk
// is full sends nothing, since it could not store what it promises. A leader
// that hands over keeps sending until the hand-over is done or has failed: its
// heartbeats and entries need no write of its own, and the hand-over lets
// pending proposals be decided.
bool ReplicaHost::IsSendingBlocked(SteadyTime now) const {
  const bool hands_over =
      this->replica_core->role() == replication::Role::kLeader &&
      now < this->hand_over_deadline;
  return this->has_full_disk && !hands_over;
}

void ReplicaHost::HandOverWithFullDisk() {
  const SteadyTime now = this->clock.SteadyNow();
  if (this->replica_core->role() != replication::Role::kLeader) {
    return;
  }
  const absl::Status status = this->replica_core->HandOver(now);
  LogEvent(LogLevel::kWarning, "hands-over-with-full-disk",
           {{"status", status.ToString()}});
  if (status.ok()) {
    this->hand_over_deadline = now + this->settings.group.election_timeout;
    this->SchedulePump();
  }
}

// Carries out the parts of an output other than its disk writes: installs the
// snapshot, sends the messages and queues the committed entries. Clears what is
// done, so that a second call does nothing.
void ReplicaHost::Deliver(replication::Output& output) {
  if (output.snapshot_to_install) {
    VERIFY(
        this->callbacks.load_snapshot(output.snapshot_to_install->state).ok());
    this->last_applied = output.snapshot_to_install->meta.index;
    this->committed.clear();
  }
  this->SendMessages(std::exchange(output.messages, {}));
  std::move(output.committed.begin(), output.committed.end(),
            std::back_inserter(this->committed));
  output.committed.clear();
  this->ApplyCommitted();
}

void ReplicaHost::SendMessages(std::vector<replication::Message> messages) {
  for (replication::Message& message : messages) {
    const ProcessName process = ProcessOf(message.to);
    const auto waiting = std::find_if(
        this->waiting_senders.begin(), this->waiting_senders.end(),
        [&](const WaitingSender& sender) { return sender.process == process; });
    if (waiting != this->waiting_senders.end()) {
      waiting->replies.push_back(std::move(message));
    } else {
      this->CallReplicate(process, message);
    }
  }
}

void ReplicaHost::CallReplicate(const ProcessName& process,
                                const replication::Message& message) {
  rpc::Channel* channel = this->peers.Find(process);
  std::size_t& in_flight = this->messages_in_flight[process];
  if (channel == nullptr || in_flight >= kMaxMessagesInFlight) {
    return;
  }
  ++in_flight;
  auto request = channel->Get<wire::Peer>().replicateRequest();
  request.setMessage(wire::ToData(wire::PackMessage(message)));
  auto answered = request.send().then([](auto&& response) {
    std::vector<replication::Message> replies;
    for (const auto reply : response.getReplies()) {
      replies.push_back(wire::UnpackMessage(reply));
    }
    return replies;
  });
  this->tasks.add(
      channel->Guard(kMessageTimeout, kj::mv(answered))
          .then(
              [this, &in_flight](std::vector<replication::Message>&& replies) {
                --in_flight;
                for (replication::Message& reply : replies) {
                  this->HandleMessage(std::move(reply));
                }
              },
              [&in_flight](kj::Exception&& /*exception*/) { --in_flight; }));
}

// Applies committed entries in batches: after a restart these are the whole log
// since the last snapshot, and heartbeats must continue meanwhile.
void ReplicaHost::ApplyCommitted() {
  for (std::size_t count = 0;
       count < kMaxAppliedPerBatch && !this->committed.empty(); ++count) {
    const replication::Entry entry = std::move(this->committed.front());
    this->committed.pop_front();
    VERIFY(entry.index == this->last_applied.Next());
    this->last_applied = entry.index;
    ++this->entries_since_snapshot;
    if (entry.kind == replication::EntryKind::kCommand) {
      this->ResolveProposal(entry, this->callbacks.apply(entry.payload));
    }
  }
  if (!this->committed.empty() && !this->is_apply_scheduled) {
    this->is_apply_scheduled = true;
    this->tasks.add(this->timer.afterDelay(kApplyPause).then([this] {
      this->is_apply_scheduled = false;
      this->ApplyCommitted();
      this->SchedulePump();
    }));
  }
}

void ReplicaHost::ResolveProposal(const replication::Entry& entry,
                                  fleet::Answer answer) {
  const auto found = this->proposals.find(entry.index);
  if (found == this->proposals.end()) {
    return;
  }
  if (found->second.term == entry.term) {
    found->second.fulfiller->fulfill(std::move(answer));
  } else {
    // Another leader's entry has this index: the command was certainly not
    // committed.
    found->second.fulfiller->fulfill(this->NotLeaderAnswer());
  }
  this->proposals.erase(found);
}

// Fails the proposals of terms that this controller no longer leads, since it
// cannot learn their outcome.
void ReplicaHost::FailLostProposals() {
  for (auto item = this->proposals.begin(); item != this->proposals.end();) {
    PendingProposal& proposal = item->second;
    const bool is_ours =
        this->replica_core->role() == replication::Role::kLeader &&
        this->replica_core->term() == proposal.term;
    if (is_ours) {
      ++item;
      continue;
    }
    proposal.fulfiller->fulfill(fleet::Answer{
        .code = ResultCode::kTimeout,
        .message = "leadership was lost before the outcome was known"});
    item = this->proposals.erase(item);
  }
}

void ReplicaHost::BeginSnapshotIfDue() {
  // A newer snapshot would make a member that is receiving one start over.
  const std::uint64_t due_after = this->settings.group.snapshot_every *
                                  (this->replica_core->is_sending_snapshot()
                                       ? kSnapshotIntervalFactorWhileSending
                                       : 1);
  if (this->entries_since_snapshot < due_after || this->is_snapshot_under_way ||
      !this->unwritten.empty()) {
    // NOTE: When nothing is left to write, all applied entries are on disk, so
    // the snapshot is never ahead of the log on disk.
    return;
  }
  this->entries_since_snapshot = 0;
  this->is_snapshot_under_way = true;
  this->callbacks.begin_snapshot(this->last_applied);
}

void ReplicaHost::FinishSnapshot(LogIndex index,
                                 absl::StatusOr<std::string> bytes) {
  if (!bytes.ok()) {
    this->is_snapshot_under_way = false;
    this->RecordUnreadableSnapshot(index, bytes.status());
    return;
  }
  if (index <= this->replica_core->snapshot_index()) {
    // A later snapshot from the leader was installed meanwhile.
    this->is_snapshot_under_way = false;
    return;
  }
  const auto snapshot =
      std::make_shared<replication::Snapshot>(replication::Snapshot{
          this->replica_core->SnapshotMetaAt(index), *std::move(bytes)});
  this->tasks.add(this->disk_thread
                      .Run([this, snapshot] {
                        return this->store.save_snapshot(*snapshot);
                      })
                      .then([this, snapshot](const absl::Status& status) {
                        this->HandleSnapshotStored(std::move(*snapshot),
                                                   status);
                      }));
}

void ReplicaHost::HandleSnapshotStored(replication::Snapshot snapshot,
                                       const absl::Status& status) {
  this->is_snapshot_under_way = false;
  const LogIndex index = snapshot.meta.index;
  LogEvent(status.ok() ? LogLevel::kInfo : LogLevel::kError, "snapshot",
           {{"index", index.value()}, {"status", status.ToString()}});
  if (status.ok()) {
    this->replica_core->Compact(index, std::move(snapshot.state));
  } else if (CodeOf(status) == ResultCode::kStorageUnreadable) {
    this->RecordUnreadableSnapshot(index, status);
  } else if (!IsTemporaryShortage(status)) {
    EndProcess("storage-failed", {{"error", std::string(status.message())}});
  }
  // Without this snapshot the log goes on, and the next one is tried later.
}

void ReplicaHost::RecordUnreadableSnapshot(LogIndex index,
                                           const absl::Status& error) {
  ++this->unreadable_snapshot_count;
  LogEvent(LogLevel::kError, "snapshot-unreadable",
           {{"index", index.value()}, {"error", error.ToString()}});
}

// Returns an error for a leader's snapshot that this process could not load
// again after a restart.
absl::Status ReplicaHost::CheckLeaderSnapshot(
    const replication::Snapshot& snapshot) {
  absl::Status status = storage::CheckSameSnapshot(
      storage::EncodeSnapshot(snapshot), "snapshot of the leader", snapshot);
  if (status.ok()) {
    status = this->callbacks.check_snapshot(snapshot.state);
  }
  if (!status.ok()) {
    this->RecordUnreadableSnapshot(snapshot.meta.index, status);
  }
  return status;
}

void ReplicaHost::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
