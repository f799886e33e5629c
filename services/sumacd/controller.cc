// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/controller.h"

#include <Poco/Random.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/base/verify.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/log/json_log.h"
#include "libraries/replication/membership_plan.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {
namespace {

using replication::ProcessOf;

constexpr Milliseconds kTickInterval{20};
// The planner looks at the fleet this often.
constexpr Milliseconds kPlanInterval{100};
constexpr Milliseconds kMessageTimeout{1'000};
constexpr Milliseconds kPlatformTimeout{2'000};
// Messages to one process that may be under way; further ones are dropped, as
// by a slow network.
constexpr std::size_t kMostMessagesInFlight = 64;
constexpr Milliseconds kFirstRenewal{200};
// A replica that has not answered for this long may be replaced by its
// process's new one.
constexpr Milliseconds kSilentControllerTime{3'000};
constexpr Milliseconds kJoinInterval{500};
// Followers of the view that wait here at once; further ones go to another
// controller.
constexpr std::size_t kMostFollowers = 256;

replication::ReplicationSettings ToReplicationSettings(
    const GroupSettings& group) {
  replication::ReplicationSettings settings;
  settings.heartbeat_interval = group.heartbeat;
  settings.election_timeout = group.election_timeout;
  // Clocks of one data centre drift by far less than a tenth over one election
  // timeout.
  settings.clock_drift_margin = group.election_timeout / 10;
  settings.hand_over_timeout = group.election_timeout;
  return settings;
}

}  // namespace

absl::StatusOr<std::unique_ptr<Controller>> Controller::Create(
    const Settings& settings,
    const fleet::Charts& charts,
    Peers& peers,
    kj::Timer& timer) {
  auto disk = std::make_unique<storage::PosixDisk>();
  Folder folder = TRY(
      Folder::Open(*disk, settings.data_folder, storage::StorageSettings()));
  std::unique_ptr<Controller> controller(new Controller(
      settings, charts, peers, timer, std::move(disk), std::move(folder)));
  replication::StartState start = controller->folder.TakeStartState();
  if (ProcessOf(start.self) != settings.process) {
    return MakeError(
        ResultCode::kSettingsInvalid,
        StrCat(settings.data_folder, ": belongs to ", start.self.value(),
               ", not to ", settings.process.value()));
  }
  if (start.snapshot.meta.index > LogIndex(0)) {
    TRY(controller->machine.LoadSnapshot(start.snapshot.state));
    controller->applied_index = start.snapshot.meta.index;
  }
  start.seed = Poco::Random().next();
  controller->replica_core = std::make_unique<replication::Replica>(
      ToReplicationSettings(settings.group), std::move(start),
      controller->clock.SteadyNow());
  return controller;
}

Controller::Controller(const Settings& settings,
                       const fleet::Charts& charts,
                       Peers& peers,
                       kj::Timer& timer,
                       std::unique_ptr<storage::PosixDisk> disk,
                       Folder folder)
    : settings(settings),
      peers(peers),
      timer(timer),
      disk(std::move(disk)),
      folder(std::move(folder)),
      machine(charts),
      tasks(*this) {
  const kj::Executor& executor = kj::getCurrentThreadExecutor();
  this->snapshot_writer = std::make_unique<SnapshotWriter>(
      [this, &executor](LogIndex index, std::string bytes) {
        executor.executeSync([this, index, &bytes] {
          this->FinishSnapshot(index, std::move(bytes));
        });
      });
  if (!settings.platform_address.empty()) {
    this->teller = std::make_unique<PlatformTeller>(
        http::PlatformClient(settings.platform_address, kPlatformTimeout),
        [this, &executor](const fleet::RecordPlatformReport& report) {
          executor.executeSync(
              [this, &report] { this->ProposeInBackground(report); });
        });
  }
}

kj::Promise<void> Controller::Run() {
  this->SchedulePump();
  return this->TickLoop();
}

kj::Promise<void> Controller::TickLoop() {
  return this->timer.afterDelay(rpc::ToKj(kTickInterval)).then([this]() {
    this->Tick();
    return this->TickLoop();
  });
}

void Controller::Tick() {
  const SteadyTime now = this->clock.SteadyNow();
  if (this->is_disk_full) {
    this->Pump();
    return;
  }
  this->replica_core->Tick(now);
  this->AskToJoin(now);
  this->Lead(now);
  this->Pump();
}

bool Controller::MayAct() const {
  return !this->is_disk_full && this->replica_core->is_ready_to_lead() &&
         this->replica_core->HoldsLease(this->clock.SteadyNow());
}

// What only the leader does: notices, plans, tells the platform.
void Controller::Lead(SteadyTime now) {
  if (!this->MayAct()) {
    return;
  }
  if (this->leading_term != this->replica_core->term()) {
    this->leading_term = this->replica_core->term();
    this->soft.Reset(now);
    this->planned_open = 0;
    LogEvent(LogLevel::kInfo, "leads", {{"term", this->leading_term.value()}});
  }
  if (this->planned_open > 0 || now - this->last_plan < kPlanInterval) {
    return;
  }
  this->last_plan = now;
  this->MaintainMembership(now);
  const fleet::PlannerSettings planner{.drain_grace =
                                           this->settings.drain_grace};
  for (fleet::Command& command : fleet::Plan(this->state(), this->soft, planner,
                                             this->clock.Now(), now)) {
    this->ProposeInBackground(std::move(command));
  }
  if (this->teller) {
    this->teller->Tell(fleet::PlatformSteps(this->state()), now);
  }
}

void Controller::ProposeInBackground(fleet::Command command) {
  ++this->planned_open;
  const Term term = this->leading_term;
  const auto finish = [this, term] {
    if (term == this->leading_term && this->planned_open > 0) {
      --this->planned_open;
    }
  };
  this->tasks.add(
      this->Propose(std::move(command))
          .then([finish](const fleet::Answer& /*answer*/) { finish(); },
                [finish](kj::Exception&& /*exception*/) { finish(); }));
}

kj::Promise<fleet::Answer> Controller::Propose(fleet::Command command) {
  if (!this->MayAct()) {
    return this->NotLeaderAnswer();
  }
  const SteadyTime now = this->clock.SteadyNow();
  const absl::StatusOr<LogIndex> index = this->replica_core->Propose(
      ToCbor(fleet::StampedCommand{this->clock.Now(), std::move(command)}),
      now);
  if (!index.ok()) {
    return fleet::Answer::FromStatus(index.status());
  }
  auto paf = kj::newPromiseAndFulfiller<fleet::Answer>();
  this->proposals[*index] =
      PendingProposal{this->replica_core->term(), kj::mv(paf.fulfiller)};
  this->SchedulePump();
  return kj::mv(paf.promise);
}

kj::Promise<std::vector<fleet::TargetOrders>> Controller::Announce(
    const std::vector<fleet::Announcement>& announcements) {
  std::vector<fleet::TargetOrders> all_orders;
  const bool may_act = this->MayAct();
  const SteadyTime now = this->clock.SteadyNow();
  for (const fleet::Announcement& announcement : announcements) {
    const InstanceName name = announcement.target.name;
    if (!may_act) {
      all_orders.emplace_back();
      continue;
    }
    const fleet::Instance* known = this->state().FindInstance(name);
    if (known != nullptr &&
        announcement.target.incarnation < known->target.incarnation) {
      all_orders.emplace_back();
      continue;
    }
    this->soft.Hear(announcement, now);
    for (fleet::RecordTargets& command :
         CommandsForTarget(this->state(), announcement)) {
      this->ProposeInBackground(std::move(command));
    }
    std::vector<fleet::TaskReport> reports =
        NewTaskReports(this->state(), announcement);
    if (!reports.empty()) {
      this->ProposeInBackground(fleet::RecordTasks{name, std::move(reports)});
    }
    fleet::TargetOrders orders = OrdersFor(this->state(), name);
    if (orders.is_confirmed) {
      this->soft.NoteRenewed(name, now);
    } else {
      orders.renew_after = kFirstRenewal;
    }
    all_orders.push_back(std::move(orders));
  }
  return all_orders;
}

kj::Promise<ServedView> Controller::Follow(std::uint64_t have,
                                           Milliseconds wait) {
  if (this->history.latest().version > have) {
    return this->ServeView(have);
  }
  // Those that gave up waiting no longer count.
  std::erase_if(this->view_waiters, [](ViewWaiter& waiter) {
    return !waiter.fulfiller->isWaiting();
  });
  if (this->view_waiters.size() >= kMostFollowers) {
    return KJ_EXCEPTION(OVERLOADED,
                        "this controller has as many followers as it may have");
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  this->view_waiters.push_back(ViewWaiter{have, kj::mv(paf.fulfiller)});
  return paf.promise.exclusiveJoin(this->timer.afterDelay(rpc::ToKj(wait)))
      .then([this, have] { return this->ServeView(have); });
}

ServedView Controller::ServeView(std::uint64_t have) const {
  ServedView served;
  served.is_verified =
      this->MayAct() || this->replica_core->has_verified_state();
  std::optional<fleet::View> delta = this->history.DeltaSince(have);
  served.is_delta = delta.has_value();
  served.view = delta ? *std::move(delta) : this->history.latest();
  return served;
}

absl::Status Controller::Join(const replication::NodeId& node) {
  if (!this->MayAct()) {
    return MakeError(ResultCode::kNotLeader, this->KnownLeader().value());
  }
  const auto& controllers = this->peers.controllers();
  if (std::find(controllers.begin(), controllers.end(), ProcessOf(node)) ==
      controllers.end()) {
    return MakeError(
        ResultCode::kUnknownName,
        StrCat(node.value(), " is not listed as a controller in the settings"));
  }
  if (this->replica_core->membership().is_member(node)) {
    return absl::OkStatus();
  }
  LogEvent(LogLevel::kWarning, "controller-joins", {{"node", node.value()}});
  return this->ProposeMembers(
      replication::WithLearner(this->replica_core->membership(), node));
}

absl::Status Controller::ChangeMember(const std::string& action,
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
    if (!this->IsCaughtUp(node, this->clock.SteadyNow())) {
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

absl::Status Controller::ProposeMembers(
    const replication::Membership& membership) {
  const absl::StatusOr<LogIndex> index = this->replica_core->ProposeMembership(
      membership, this->clock.SteadyNow());
  this->SchedulePump();
  return index.status();
}

bool Controller::IsSilent(const replication::NodeId& node,
                          SteadyTime now) const {
  const auto& members = this->replica_core->leadership()->members();
  const auto found = members.find(node);
  return found != members.end() &&
         now - found->second.last_answer_at > kSilentControllerTime;
}

bool Controller::IsCaughtUp(const replication::NodeId& node,
                            SteadyTime now) const {
  const auto& members = this->replica_core->leadership()->members();
  const auto found = members.find(node);
  return found != members.end() && !this->IsSilent(node, now) &&
         found->second.match_index >= this->replica_core->commit_index();
}

void Controller::MaintainMembership(SteadyTime now) {
  if (!this->replica_core->is_membership_committed()) {
    return;
  }
  std::map<replication::NodeId, replication::MemberHealth> health;
  for (const auto& [node, progress] :
       this->replica_core->leadership()->members()) {
    health[node] = replication::MemberHealth{this->IsCaughtUp(node, now),
                                             this->IsSilent(node, now)};
  }
  const auto next =
      replication::PlanNextMembers(this->replica_core->membership(), health);
  if (next) {
    const absl::Status status = this->ProposeMembers(*next);
    LogEvent(LogLevel::kWarning, "controllers-change",
             {{"voters", ToJson(next->voters)},
              {"learners", ToJson(next->learners)},
              {"status", status.ToString()}});
  }
}

// A replica that belongs to no group asks one controller after the other to be
// taken in.
void Controller::AskToJoin(SteadyTime now) {
  const bool is_blank = this->replica_core->membership().voters.empty();
  if (!is_blank || now - this->last_join < kJoinInterval) {
    return;
  }
  this->last_join = now;
  const auto& controllers = this->peers.controllers();
  const ProcessName& process =
      controllers[this->next_to_ask++ % controllers.size()];
  if (process == this->settings.process) {
    return;
  }
  rpc::Channel* channel = this->peers.Find(process);
  auto request = channel->Get<wire::Peer>().joinRequest();
  request.setNode(this->replica_core->self().value());
  this->tasks.add(channel->Guard(kMessageTimeout, request.send().ignoreResult())
                      .catch_([](kj::Exception&& /*exception*/) {}));
}

absl::Status Controller::HandOver() {
  absl::Status status = this->replica_core->HandOver(this->clock.SteadyNow());
  this->SchedulePump();
  return status;
}

void Controller::StopThreads() {
  this->snapshot_writer->Stop();
  if (this->teller) {
    this->teller->Stop();
  }
}

ProcessName Controller::KnownLeader() const {
  const auto& leader = this->replica_core->leader();
  return leader ? ProcessOf(*leader) : ProcessName();
}

fleet::Answer Controller::NotLeaderAnswer() const {
  return fleet::Answer{.code = ResultCode::kNotLeader,
                       .message = this->KnownLeader().value()};
}

kj::Promise<std::vector<replication::Message>> Controller::Receive(
    replication::Message message) {
  if (this->is_disk_full) {
    return std::vector<replication::Message>();
  }
  const ProcessName sender = ProcessOf(message.from);
  this->TakeIn(std::move(message));
  auto paf = kj::newPromiseAndFulfiller<std::vector<replication::Message>>();
  this->waiting_senders.push_back(
      WaitingSender{sender, {}, kj::mv(paf.fulfiller)});
  return kj::mv(paf.promise);
}

void Controller::TakeIn(replication::Message message) {
  if (this->is_disk_full) {
    return;
  }
  this->replica_core->Receive(std::move(message), this->clock.SteadyNow());
  this->SchedulePump();
}

// Answers the calls that brought messages in since the last pump, with what
// there is for their senders.
void Controller::AnswerSenders() {
  for (WaitingSender& waiting : std::exchange(this->waiting_senders, {})) {
    waiting.fulfiller->fulfill(std::move(waiting.replies));
  }
}

// Puts the pump after everything else that is due in this turn of the event
// loop, so that all of a turn's proposals share one write to the disk and one
// message to each replica.
void Controller::SchedulePump() {
  if (this->is_pump_scheduled) {
    return;
  }
  this->is_pump_scheduled = true;
  this->tasks.add(kj::evalLast([this] {
    this->is_pump_scheduled = false;
    this->Pump();
  }));
}

void Controller::Pump() {
  while (this->PumpOnce()) {
  }
  this->AnswerSenders();
  this->FailLostProposals();
  this->NotifyViewWaiters();
  this->MaybeSnapshot();
}

// Carries out one output of the replica; false when there is none.
bool Controller::PumpOnce() {
  if (!this->unwritten) {
    if (!this->replica_core->has_output()) {
      return false;
    }
    this->unwritten = this->replica_core->TakeOutput();
  }
  if (this->MaySendBeforeWriting(*this->unwritten)) {
    this->SendMessages(std::exchange(this->unwritten->messages, {}));
  }
  if (!this->Persist(*this->unwritten)) {
    return false;
  }
  replication::Output output = *std::exchange(this->unwritten, std::nullopt);
  if (output.snapshot_to_install) {
    VERIFY(this->machine.LoadSnapshot(output.snapshot_to_install->state).ok());
    this->applied_index = output.snapshot_to_install->meta.index;
  }
  this->SendMessages(output.messages);
  this->ApplyCommitted(output.committed);
  return true;
}

// A leader's entries may go out while its own disk still writes them (Ongaro's
// thesis, section 10.2.1): no answer is taken in before the write is done, so
// it never counts itself too early. A vote or a new term must be on the disk
// first.
bool Controller::MaySendBeforeWriting(const replication::Output& output) const {
  return this->replica_core->role() == replication::Role::kLeader &&
         !output.hard_state && !output.snapshot_to_install;
}

bool Controller::Persist(const replication::Output& output) {
  if (!output.has_writes()) {
    return true;
  }
  const absl::Status status = this->folder.Write(output);
  if (status.ok()) {
    if (std::exchange(this->is_disk_full, false)) {
      LogEvent(LogLevel::kInfo, "disk-has-room-again",
               nlohmann::json::object());
    }
    return true;
  }
  if (CodeOf(status) == ResultCode::kDiskFull) {
    // Nothing was acknowledged and nothing is lost: the same output is written
    // once there is room.
    if (!std::exchange(this->is_disk_full, true)) {
      LogEvent(LogLevel::kError, "disk-full",
               {{"error", std::string(status.message())}});
    }
    return false;
  }
  // NOTE: After a failed write or sync nobody knows what the disk holds.
  // Whatever this process would say from now on might be forgotten, so it says
  // nothing more.
  LogEvent(LogLevel::kError, "storage-failed",
           {{"error", std::string(status.message())}});
  std::_Exit(EXIT_FAILURE);
}

void Controller::SendMessages(
    const std::vector<replication::Message>& messages) {
  for (const replication::Message& message : messages) {
    const ProcessName process = ProcessOf(message.to);
    const auto waiting = std::find_if(
        this->waiting_senders.begin(), this->waiting_senders.end(),
        [&](const WaitingSender& sender) { return sender.process == process; });
    if (waiting != this->waiting_senders.end()) {
      waiting->replies.push_back(message);
    } else {
      this->CallReplicate(process, message);
    }
  }
}

void Controller::CallReplicate(const ProcessName& process,
                               const replication::Message& message) {
  rpc::Channel* channel = this->peers.Find(process);
  std::size_t& in_flight = this->messages_in_flight[process];
  if (channel == nullptr || in_flight >= kMostMessagesInFlight) {
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
                  this->TakeIn(std::move(reply));
                }
              },
              [&in_flight](kj::Exception&& /*exception*/) { --in_flight; }));
}

void Controller::ApplyCommitted(
    const std::vector<replication::Entry>& entries) {
  for (const replication::Entry& entry : entries) {
    VERIFY(entry.index == this->applied_index.Next());
    this->applied_index = entry.index;
    ++this->entries_since_snapshot;
    if (entry.kind != replication::EntryKind::kCommand) {
      continue;
    }
    const std::uint64_t first_decision = this->state().record().next_decision;
    const auto stamped = FromCbor<fleet::StampedCommand>(entry.payload, "log");
    fleet::Answer answer = stamped.ok()
                               ? this->machine.Apply(*stamped)
                               : fleet::Answer::FromStatus(stamped.status());
    this->LogNewDecisions(first_decision);
    this->ResolveProposal(entry, std::move(answer));
  }
}

void Controller::ResolveProposal(const replication::Entry& entry,
                                 fleet::Answer answer) {
  const auto found = this->proposals.find(entry.index);
  if (found == this->proposals.end()) {
    return;
  }
  if (found->second.term == entry.term) {
    found->second.fulfiller->fulfill(std::move(answer));
  } else {
    // Another leader's entry took the place: this command was certainly not
    // committed.
    found->second.fulfiller->fulfill(this->NotLeaderAnswer());
  }
  this->proposals.erase(found);
}

// Once this controller no longer leads the proposals' term, nobody here learns
// how they end.
void Controller::FailLostProposals() {
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

// Only the leader logs replicated decisions, or each would be there once per
// controller.
void Controller::LogNewDecisions(std::uint64_t first_number) {
  const fleet::FleetRecord& record = this->state().record();
  const std::uint64_t count = record.next_decision - first_number;
  if (count == 0 || this->replica_core->role() != replication::Role::kLeader) {
    return;
  }
  const auto& decisions = record.decisions;
  for (std::size_t position =
           decisions.size() - std::min<std::size_t>(count, decisions.size());
       position < decisions.size(); ++position) {
    LogEvent(LogLevel::kInfo, "decision", ToJson(decisions[position]));
  }
}

void Controller::NotifyViewWaiters() {
  const std::uint64_t version = this->state().record().view_version;
  if (version == this->last_applied_view) {
    return;
  }
  this->last_applied_view = version;
  this->history.Take(fleet::MakeView(this->state()));
  std::erase_if(this->view_waiters, [version](ViewWaiter& waiter) {
    const bool is_due = version > waiter.have || !waiter.fulfiller->isWaiting();
    if (is_due) {
      waiter.fulfiller->fulfill();
    }
    return is_due;
  });
}

void Controller::MaybeSnapshot() {
  if (this->entries_since_snapshot < this->settings.group.snapshot_every ||
      this->is_snapshot_under_way || this->is_disk_full) {
    return;
  }
  this->entries_since_snapshot = 0;
  this->is_snapshot_under_way = true;
  this->snapshot_writer->Begin(this->applied_index, this->state().record());
}

// Stores a snapshot whose bytes are ready, and lets the log before it go.
void Controller::FinishSnapshot(LogIndex index, std::string bytes) {
  this->is_snapshot_under_way = false;
  if (index <= this->replica_core->snapshot_index()) {
    // A leader's later snapshot was installed meanwhile.
    return;
  }
  const replication::SnapshotMeta meta =
      this->replica_core->Compact(index, bytes);
  const absl::Status status =
      this->folder.SaveSnapshot(replication::Snapshot{meta, std::move(bytes)});
  LogEvent(status.ok() ? LogLevel::kInfo : LogLevel::kError, "snapshot",
           {{"index", meta.index.value()}, {"status", status.ToString()}});
  if (!status.ok() && CodeOf(status) != ResultCode::kDiskFull) {
    std::_Exit(EXIT_FAILURE);
  }
}

void Controller::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
