// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/controller.h"

#include <algorithm>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_writer.h"
#include "libraries/log/json_log.h"
#include "libraries/replication/membership_plan.h"

namespace sumac::daemon {
namespace {

using replication::ProcessOf;

constexpr Milliseconds kTickInterval{20};
// The interval between two planning passes.
constexpr Milliseconds kPlanInterval{100};
constexpr Milliseconds kPlatformTimeout{2'000};
constexpr Milliseconds kFirstRenewal{200};
// The maximum number of followers that wait for a newer view here; further ones
// must use another controller.
constexpr std::size_t kMaxWaitingFollowers = 256;

}  // namespace

absl::StatusOr<std::unique_ptr<Controller>> Controller::Create(
    const Settings& settings,
    const fleet::Charts& charts,
    Peers& peers,
    kj::Timer& timer) {
  std::unique_ptr<Controller> controller(
      new Controller(settings, charts, peers, timer));
  Controller* self = controller.get();
  const ReplicaHostSettings host{.process = settings.process,
                                 .data_folder = settings.data_folder,
                                 .group = settings.group};
  ReplicaCallbacks callbacks;
  callbacks.load_snapshot = [self](const std::string& state) {
    return self->machine.LoadSnapshot(state);
  };
  callbacks.check_snapshot = [](const std::string& state) {
    return fleet::FleetState::CheckSnapshot(state);
  };
  callbacks.apply = [self](const std::string& payload) {
    return self->Apply(payload);
  };
  callbacks.after_pump = [self] { self->NotifyViewWaiters(); };
  callbacks.begin_snapshot = [self](LogIndex index) {
    self->tasks.add(
        self->snapshot_writer.Serialize(self->state().record())
            .then([self, index](absl::StatusOr<std::string>&& bytes) {
              self->host->FinishSnapshot(index, std::move(bytes));
            }));
  };
  controller->host =
      TRY(ReplicaHost::Create(host, peers, timer, std::move(callbacks)));
  return controller;
}

Controller::Controller(const Settings& settings,
                       const fleet::Charts& charts,
                       Peers& peers,
                       kj::Timer& timer)
    : settings(settings),
      peers(peers),
      timer(timer),
      machine(charts),
      tasks(*this) {
  if (!settings.platform_address.empty()) {
    const kj::Executor& executor = kj::getCurrentThreadExecutor();
    this->platform_notifier = std::make_unique<PlatformNotifier>(
        http::PlatformClient(settings.platform_address, kPlatformTimeout),
        [this, &executor](const fleet::RecordPlatformReport& report) {
          executor.executeSync(
              [this, &report] { this->ProposeInBackground(report); });
        });
  }
}

kj::Promise<void> Controller::Run() {
  this->host->SchedulePump();
  return this->TickLoop();
}

kj::Promise<void> Controller::TickLoop() {
  return this->timer.afterDelay(ToKj(kTickInterval)).then([this]() {
    this->Tick();
    return this->TickLoop();
  });
}

void Controller::Tick() {
  const SteadyTime now = this->clock.SteadyNow();
  this->host->Tick(now);
  this->RunLeaderDuties(now);
}

bool Controller::MayAct() const {
  return this->host->MayAct();
}

// Does the work that only the leader does: maintains the membership, plans, and
// sends the platform its steps.
void Controller::RunLeaderDuties(SteadyTime now) {
  if (!this->MayAct()) {
    return;
  }
  if (this->leading_term != this->replica().term()) {
    this->leading_term = this->replica().term();
    this->soft.Reset(now);
    this->open_command_count = 0;
    LogEvent(LogLevel::kInfo, "leads", {{"term", this->leading_term.value()}});
  }
  if (this->open_command_count > 0 || now - this->last_plan < kPlanInterval) {
    return;
  }
  this->last_plan = now;
  this->host->MaintainMembership();
  const fleet::PlannerSettings planner{.drain_grace =
                                           this->settings.drain_grace};
  for (fleet::Command& command : fleet::Plan(this->state(), this->soft, planner,
                                             this->clock.Now(), now)) {
    this->ProposeInBackground(std::move(command));
  }
  if (this->platform_notifier) {
    this->platform_notifier->Enqueue(fleet::PlatformSteps(this->state()), now);
  }
}

void Controller::ProposeInBackground(fleet::Command command) {
  ++this->open_command_count;
  const Term term = this->leading_term;
  const auto finish = [this, term] {
    if (term == this->leading_term && this->open_command_count > 0) {
      --this->open_command_count;
    }
  };
  this->tasks.add(
      this->Propose(std::move(command))
          .then([finish](const fleet::Answer& /*answer*/) { finish(); },
                [finish](kj::Exception&& /*exception*/) { finish(); }));
}

kj::Promise<fleet::Answer> Controller::Propose(fleet::Command command) {
  return this->host->Propose(
      ToCbor(fleet::StampedCommand{this->clock.Now(), std::move(command)}));
}

fleet::Answer Controller::Apply(const std::string& payload) {
  const std::uint64_t first_decision = this->state().record().next_decision;
  const auto stamped = FromCbor<fleet::StampedCommand>(payload, "log");
  fleet::Answer answer = stamped.ok()
                             ? this->machine.Apply(*stamped)
                             : fleet::Answer::FromStatus(stamped.status());
  this->LogNewDecisions(first_decision);
  return answer;
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
    this->soft.RecordAnnouncement(announcement, now);
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
      this->soft.RecordLeaseRenewal(name, now);
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
  // Followers that gave up waiting no longer count.
  std::erase_if(this->view_waiters, [](ViewWaiter& waiter) {
    return !waiter.fulfiller->isWaiting();
  });
  if (this->view_waiters.size() >= kMaxWaitingFollowers) {
    return KJ_EXCEPTION(OVERLOADED,
                        "this controller has as many followers as it may have");
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  this->view_waiters.push_back(ViewWaiter{have, kj::mv(paf.fulfiller)});
  return paf.promise.exclusiveJoin(this->timer.afterDelay(ToKj(wait)))
      .then([this, have] { return this->ServeView(have); });
}

ServedView Controller::ServeView(std::uint64_t have) const {
  ServedView served;
  served.is_verified = this->MayAct() || this->replica().has_verified_state();
  std::optional<fleet::View> delta = this->history.DeltaSince(have);
  served.is_delta = delta.has_value();
  served.view = delta ? *std::move(delta) : this->history.latest();
  return served;
}

absl::Status Controller::Join(const replication::NodeId& node) {
  const auto& controllers = this->peers.controllers();
  if (std::find(controllers.begin(), controllers.end(), ProcessOf(node)) ==
      controllers.end()) {
    return MakeError(
        ResultCode::kUnknownName,
        StrCat(node.value(), " is not listed as a controller in the settings"));
  }
  return this->host->Join(node);
}

absl::Status Controller::ChangeMember(const std::string& action,
                                      const replication::NodeId& node) {
  return this->host->ChangeMember(action, node);
}

absl::Status Controller::HandOver() {
  return this->host->HandOver();
}

kj::Promise<std::vector<replication::Message>> Controller::Receive(
    replication::Message message) {
  return this->host->Receive(std::move(message));
}

void Controller::StopThreads() {
  this->snapshot_writer.Stop();
  if (this->platform_notifier) {
    this->platform_notifier->Stop();
  }
}

// Logs the decisions since `first_number`. Only the leader logs replicated
// decisions; otherwise each would appear once per controller.
void Controller::LogNewDecisions(std::uint64_t first_number) {
  const fleet::FleetRecord& record = this->state().record();
  const std::uint64_t count = record.next_decision - first_number;
  if (count == 0 || this->replica().role() != replication::Role::kLeader) {
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
  this->history.RecordView(fleet::MakeView(this->state()));
  std::erase_if(this->view_waiters, [version](ViewWaiter& waiter) {
    const bool is_due = version > waiter.have || !waiter.fulfiller->isWaiting();
    if (is_due) {
      waiter.fulfiller->fulfill();
    }
    return is_due;
  });
}

void Controller::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::daemon
