// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/run_history.h"

namespace sumac::scheduler {
namespace {

constexpr Milliseconds kStep{10};
constexpr Milliseconds kStopTime{100};
constexpr int kFailings = 3;

constexpr std::array kNames = {"submit",
                               "change-leader",
                               "cut",
                               "heal",
                               "restart",
                               "announce-late",
                               "lose-orders",
                               "lose-reports",
                               "delay-answers",
                               "fail",
                               "work",
                               "commit",
                               "stop-slowly",
                               "refuse-starts",
                               "refuse-stops",
                               "hide-instances",
                               "move-queue",
                               "resend",
                               "submit-lasting",
                               "cordon",
                               "start-again",
                               "announce-earlier",
                               "pause-relay",
                               "lose-relay",
                               "cut-relay",
                               "move-calls",
                               "evacuate",
                               "return-to-use",
                               "delay-order"};

}  // namespace

std::ostream& operator<<(std::ostream& out, const HistoryEvent& event) {
  return out << kNames.at(static_cast<std::size_t>(event.kind)) << " w"
             << event.worker << " " << event.amount << ", then "
             << event.pause_ms << " ms";
}

RunHistory::RunHistory(std::uint64_t seed)
    : seed(seed), fleet(kHistoryWorkers, seed) {
  this->fleet.AddWorker("t0", "m9", "r1", "thumbs");
  this->fleet.announce_interval = Milliseconds(500);
  this->fleet.renews_at_once = true;
  // The ledger checks ends instead, and takes expired leases into account.
  this->fleet.checks_ends = false;
  this->fleet.work = Milliseconds(100);
  this->fleet.long_running_work = Milliseconds(3'000);
  this->fleet.commit_time = Milliseconds(30);
  this->fleet.fails = [this](const StartOrder& order) {
    return this->failing == Failing::kAll ||
           (this->failing == Failing::kEveryOther &&
            order.run.value() % 2 == 1);
  };
  for (const std::string& life : this->incarnations) {
    this->fleet.worker(life).stop_time = kStopTime;
  }
}

void RunHistory::ShortenLeases() {
  this->fleet.settings.lease.length = Milliseconds(1'200);
  this->fleet.settings.removal_delay = Milliseconds(300);
  this->fleet.ChangeLeader();
}

void RunHistory::TolerateLoss() {
  this->fleet.settings.tolerated_data_centres = 1;
  this->fleet.ChangeLeader();
}

void RunHistory::UseRelays() {
  this->relays.emplace(this->seed);
  this->fleet.carrier = CallCarrier{
      .carry =
          [this](const WorkerId& worker, const CarriedCall& call) {
            return this->relays->Carry(worker, call, this->fleet.now);
          },
      .step = [this] { this->relays->Step(this->fleet.now); },
      .change_leader = [this] { this->relays->ChangeLeader(this->fleet.now); }};
  this->relays->may_start_on = [this](const WorkerId& id) {
    const jobs::Worker* worker = this->fleet.state.FindWorker(id);
    return worker == nullptr || this->fleet.state.IsInUse(worker->data_centre);
  };
}

void RunHistory::UseDataCentres() {
  for (int number = 0; number < kHistoryWorkers; ++number) {
    FakeWorker& worker = this->IncarnationOn(number);
    worker.description.data_centre = DataCentre("dc" + std::to_string(number));
    ++worker.description.sequence;
    this->fleet.Commit(jobs::RecordWorker{worker.description});
  }
}

void RunHistory::PassTime(Milliseconds time) {
  for (Milliseconds passed{0}; passed < time && this->problem().empty();
       passed += kStep) {
    this->fleet.PassTime(kStep);
    this->ledger.Observe(this->fleet);
    this->budgets.Observe(this->fleet);
  }
}

FakeWorker& RunHistory::IncarnationOn(int number) {
  return this->fleet.worker(this->incarnations.at(number));
}

// Submits a job of long-running tasks with a disruption budget.
void RunHistory::SubmitLongRunning(int amount) {
  constexpr std::uint32_t kTasks = 3;
  const std::string name = "lasting" + std::to_string(this->next_job++);
  this->fleet.Submit(
      name, {.count = kTasks,
             .is_long_running = true,
             .has_disruption_budget = true,
             .disruption_budget = static_cast<std::uint32_t>(amount) % kTasks});
  this->long_running_jobs.emplace_back(name);
}

void RunHistory::Cordon(const FakeWorker& worker, bool is_cordoned) {
  if (is_cordoned) {
    this->cordoned.insert(worker.description.instance);
  } else {
    this->cordoned.erase(worker.description.instance);
  }
  this->fleet.scheduler->SetCordoned(this->cordoned);
}

void RunHistory::Restart(int number) {
  FakeWorker& before = this->IncarnationOn(number);
  before.Crash();
  const std::string life = "life" + std::to_string(this->next_incarnation++);
  this->fleet.AddWorker(life, before.description.instance.value(), "r1",
                        "previews", before.description.data_centre.value());
  this->incarnations.at(number) = life;
}

void RunHistory::RestartUnderName(int number) {
  std::string& life = this->incarnations.at(number);
  this->earlier_incarnations.push_back(life);
  life = this->fleet.RestartUnderName(life).description.id.value();
}

// Delivers the first announcement of an earlier incarnation on the instance,
// which is over.
void RunHistory::AnnounceLate(const FakeWorker& present) {
  const std::string life = "late" + std::to_string(this->next_incarnation++);
  this->fleet.AddWorker(life, present.description.instance.value()).Crash();
}

void RunHistory::Refuse(std::optional<OrderResult>& refusal, int amount) {
  constexpr int kHalf = 50;
  constexpr int kQuarter = 25;
  if (amount >= kHalf) {
    refusal.reset();
  } else {
    refusal = amount < kQuarter ? OrderResult::kNoRoom : OrderResult::kRefused;
  }
}

// Changes the use of the worker's data centre, or delivers a copy of an earlier
// order that was delayed. The copy changes nothing once another order came.
void RunHistory::ChangeDataCentre(const HistoryEvent& event) {
  const DataCentre& name =
      this->IncarnationOn(event.worker).description.data_centre;
  if (event.kind == EventKind::kDelayOrder) {
    if (!this->data_centre_orders.empty()) {
      this->fleet.Commit(
          this->data_centre_orders.at(static_cast<std::size_t>(event.amount) %
                                      this->data_centre_orders.size()));
    }
    return;
  }
  const bool is_evacuation = event.kind == EventKind::kEvacuate;
  const jobs::ChangeDataCentre order{
      .data_centre = name,
      .use = is_evacuation ? jobs::DataCentreUse::kEvacuated
                           : jobs::DataCentreUse::kInUse,
      .expected_version = this->fleet.state.FindDataCentre(name).version};
  if (this->fleet.Commit(order).is_ok()) {
    if (is_evacuation) {
      this->evacuated.insert(name);
    } else {
      this->evacuated.erase(name);
    }
  }
  this->data_centre_orders.push_back(order);
}

void RunHistory::CheckDataCentres() {
  if (this->evacuated != this->fleet.state.evacuated_data_centres()) {
    this->data_centre_problem = "a delayed order changed a data centre's use";
  }
}

void RunHistory::HarmRelay(const HistoryEvent& event) {
  constexpr int kHalf = 50;
  const std::size_t relay =
      static_cast<std::size_t>(event.amount) % FakeRelays::kCount;
  const bool is_much = event.amount >= kHalf;
  if (!this->relays) {
    return;
  }
  if (event.kind == EventKind::kLoseRelay) {
    this->relays->Lose(relay, this->fleet.now);
  } else if (event.kind == EventKind::kMoveCalls) {
    this->relays->Move(this->IncarnationOn(event.worker).description.id,
                       this->fleet.now);
  } else if (event.kind == EventKind::kPauseRelay) {
    is_much ? this->relays->Pause(relay) : this->relays->Resume(relay);
  } else {
    is_much ? this->relays->CutOff(relay) : this->relays->Heal(relay);
  }
}

void RunHistory::ApplyEvent(const HistoryEvent& event) {
  constexpr int kHalf = 50;
  constexpr std::uint32_t kFactor = 10;
  const int amount = event.amount;
  const auto permille = static_cast<std::uint32_t>(amount) * kFactor;
  const bool is_much = amount >= kHalf;
  FakeWorker& worker = this->IncarnationOn(event.worker);
  switch (event.kind) {
    case EventKind::kSubmit:
      this->fleet.Submit("job" + std::to_string(this->next_job++),
                         {.count = is_much ? 2U : 1U});
      break;
    case EventKind::kChangeLeader:
      this->fleet.keeps_open_commits = is_much;
      this->fleet.ChangeLeader();
      this->fleet.scheduler->SetCordoned(this->cordoned);
      break;
    case EventKind::kCut:
      worker.is_cut = true;
      worker.is_cut_with_resets = is_much;
      break;
    case EventKind::kHeal:
      worker.is_cut = false;
      break;
    case EventKind::kRestart:
      this->Restart(event.worker);
      break;
    case EventKind::kRestartUnderName:
      this->RestartUnderName(event.worker);
      break;
    case EventKind::kAnnounceEarlier:
      if (!this->earlier_incarnations.empty()) {
        this->fleet.AnnounceAgain(
            this->earlier_incarnations.at(static_cast<std::size_t>(amount) %
                                          this->earlier_incarnations.size()));
      }
      break;
    case EventKind::kAnnounceLate:
      this->AnnounceLate(worker);
      break;
    case EventKind::kLoseOrders:
      this->fleet.late_permille = is_much ? permille : 0;
      break;
    case EventKind::kLoseReports:
      this->fleet.lost_report_permille = is_much ? 0 : permille;
      this->fleet.late_report_permille = is_much ? permille : 0;
      break;
    case EventKind::kDelayAnswers:
      this->fleet.answer_delay = Milliseconds(is_much ? 4 * amount : 0);
      break;
    case EventKind::kFail:
      this->failing = static_cast<Failing>(amount % kFailings);
      break;
    case EventKind::kWork:
      this->fleet.work = Milliseconds(kFactor * (1 + amount));
      break;
    case EventKind::kCommit:
      this->fleet.commit_time = Milliseconds(is_much ? 4 * amount : amount / 2);
      break;
    case EventKind::kStopSlowly:
      worker.stop_time = Milliseconds(is_much ? 4 * amount : 0);
      break;
    case EventKind::kRefuseStarts:
      Refuse(worker.start_refusal, amount);
      break;
    case EventKind::kRefuseStops:
      Refuse(worker.stop_refusal, amount);
      break;
    case EventKind::kHideInstances:
      this->fleet.lists_instances = !is_much;
      break;
    case EventKind::kSubmitLongRunning:
      this->SubmitLongRunning(amount);
      break;
    case EventKind::kCordon:
      this->Cordon(worker, is_much);
      break;
    case EventKind::kMoveQueue:
      this->fleet.MoveClipsTo(is_much ? "thumbs" : "previews");
      break;
    case EventKind::kResend:
      this->fleet.resent_permille = is_much ? permille : 0;
      this->fleet.resend_after = Milliseconds(1 + amount);
      break;
    case EventKind::kPauseRelay:
    case EventKind::kLoseRelay:
    case EventKind::kCutRelay:
    case EventKind::kMoveCalls:
      this->HarmRelay(event);
      break;
    case EventKind::kEvacuate:
    case EventKind::kReturnToUse:
    case EventKind::kDelayOrder:
      this->ChangeDataCentre(event);
      this->CheckDataCentres();
      break;
  }
  this->PassTime(Milliseconds(event.pause_ms));
}

void RunHistory::Recover() {
  constexpr int kMostSeconds = 30;
  this->failing = Failing::kNone;
  this->fleet.late_permille = 0;
  this->fleet.lost_report_permille = 0;
  this->fleet.resent_permille = 0;
  for (int number = 0; number < kHistoryWorkers; ++number) {
    this->IncarnationOn(number).is_cut = false;
    this->IncarnationOn(number).start_refusal.reset();
    this->IncarnationOn(number).stop_refusal.reset();
  }
  for (std::size_t relay = 0; this->relays && relay < FakeRelays::kCount;
       ++relay) {
    this->relays->Resume(relay);
    this->relays->Heal(relay);
  }
  for (const DataCentre& name : this->evacuated) {
    this->fleet.ChangeDataCentre(name.value(), jobs::DataCentreUse::kInUse);
  }
  this->evacuated.clear();
  this->cordoned.clear();
  this->fleet.scheduler->SetCordoned({});
  for (const JobId& job : this->long_running_jobs) {
    this->fleet.Commit(jobs::CancelJob{job});
  }
  for (int second = 0; second < kMostSeconds && !this->is_finished();
       ++second) {
    this->PassTime(Milliseconds(1'000));
  }
}

}  // namespace sumac::scheduler
