// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/scheduler/fake_fleet.h"

#include <algorithm>
#include <istream>
#include <sstream>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

constexpr Milliseconds kStep{10};
constexpr Milliseconds kOneWay{1};
constexpr Milliseconds kOrderLimit{600};
constexpr Milliseconds kRenewalPause{150};
constexpr Milliseconds kLatestReport{400};
// The latest time after its sending at which an order is carried out.
constexpr Milliseconds kLatestOrder{4'100};
// The interval between announcements of a worker. A reduced capacity is
// enforced kShrinkSlack after the change: the time until the worker is in
// contact again plus one announcement.
constexpr Milliseconds kAnnouncementInterval{1'500};
// The time after which a leader that took over from a killed one is in contact
// with the workers.
constexpr Milliseconds kContactTime{3'000};
constexpr Milliseconds kShrinkSlack{4'500};
constexpr const char* kService = "previews";
constexpr const char* kOtherService = "thumbs";

// Reads the quotas that follow the service in a document, as " NAME CORES".
std::vector<jobs::CustomerDeclaration> ReadCustomers(std::istream& text) {
  std::vector<jobs::CustomerDeclaration> customers;
  std::string name;
  std::int64_t millicores = 0;
  while (text >> name >> millicores) {
    customers.push_back({.name = CustomerName(name),
                         .weight = 1,
                         .quota = {.millicores = millicores}});
  }
  return customers;
}

// Parses a declaration whose document names the service of the queue of clips
// and the customers with their quotas.
jobs::JobsDeclaration Declared(std::string_view document) {
  std::istringstream text{std::string(document)};
  std::string service;
  text >> service;
  jobs::QueueDeclaration clips{.name = QueueName("clips"),
                               .host = "h",
                               .path_prefix = "/q/",
                               .service = ServiceName(service),
                               .most_attempts = 3};
  jobs::QueueDeclaration advised = clips;
  advised.name = QueueName("advised");
  advised.path_prefix = "/a/";
  advised.placement_policy =
      jobs::PlacementPolicy{.decision_time = Milliseconds(100),
                            .worker_time = Milliseconds(1),
                            .validity = Milliseconds(2'000)};
  return jobs::JobsDeclaration(
      1, {clips, advised},
      {{.name = ServiceName(kService)}, {.name = ServiceName(kOtherService)}},
      ReadCustomers(text));
}

}  // namespace

FakeFleet::FakeFleet(std::size_t count, std::uint64_t seed)
    : state([](std::string_view document) { return Declared(document); }),
      random(seed) {
  this->Commit(jobs::Declare{1, kService});
  for (std::size_t number = 0; number < count; ++number) {
    this->AddWorker(StrCat("w", number), StrCat("m", number));
  }
  this->ChangeLeader();
}

fleet::Answer FakeFleet::Commit(jobs::Command command) {
  const std::set<WorkerId> changed = this->state.FindAffectedWorkers(command);
  fleet::Answer answer = this->state.Apply(jobs::StampedCommand{
      WallTime(this->now.time_since_epoch()), std::move(command)});
  if (this->scheduler) {
    this->scheduler->SyncWorkers(changed, this->now);
    this->scheduler->Wake();
  }
  return answer;
}

FakeWorker& FakeFleet::AddWorker(const std::string& id,
                                 const std::string& instance,
                                 const std::string& rack,
                                 const std::string& service,
                                 const std::string& data_centre) {
  jobs::Worker worker{.id = WorkerId(id),
                      .instance = InstanceName(instance),
                      .service = ServiceName(service),
                      .data_centre = DataCentre(data_centre),
                      .address = id,
                      .capacity = {.millicores = 8'000, .memory_mb = 8'000},
                      .rack = Rack(rack),
                      .labels = {"a", rack},
                      .sequence = 1};
  std::uniform_int_distribution<std::int64_t> offset(0, 1'000'000);
  std::uniform_int_distribution<std::int64_t> slow(0, 20);
  FakeWorker& added =
      this->workers
          .emplace(worker.id, FakeWorker(worker, Milliseconds(offset(random)),
                                         slow(random)))
          .first->second;
  this->Commit(jobs::RecordWorker{worker});
  return added;
}

void FakeFleet::ChangeDataCentre(const std::string& name,
                                 jobs::DataCentreUse use) {
  const DataCentre data_centre(name);
  this->Commit(jobs::ChangeDataCentre{
      .data_centre = data_centre,
      .use = use,
      .expected_version = this->state.FindDataCentre(data_centre).version});
}

FakeWorker& FakeFleet::RestartUnderName(const std::string& id) {
  FakeWorker& before = this->worker(id);
  before.Crash();
  jobs::Worker next = before.description;
  const std::string name =
      next.name.value().empty() ? next.id.value() : next.name.value();
  next.name = WorkerName(name);
  next.born = std::max(WallTime(this->now.time_since_epoch()),
                       next.born + Milliseconds(1));
  next.id = WorkerId(StrCat(name, "#", next.born.time_since_epoch().count()));
  next.sequence = 1;
  next.is_draining = false;
  // The clock of the new process starts at zero.
  const Milliseconds offset = -this->now.time_since_epoch();
  FakeWorker& added =
      this->workers.emplace(next.id, FakeWorker(next, offset, 0)).first->second;
  added.stop_time = before.stop_time;
  this->Commit(jobs::RecordWorker{next});
  return added;
}

void FakeFleet::AnnounceAgain(const std::string& id) {
  jobs::Worker& description = this->worker(id).description;
  description.sequence += 1;
  this->Commit(jobs::RecordWorker{description});
}

void FakeFleet::MoveClipsTo(const std::string& service) {
  this->Commit(jobs::Declare{++this->declared_version, service});
}

void FakeFleet::ChangeLeader() {
  if (this->keeps_open_commits) {
    this->ApplyCommittedEnds(this->committing_ends);
  }
  this->committing_ends.clear();
  this->waiting_ends.clear();
  ++this->generation;
  this->led_since = this->now;
  this->scheduler.reset();
  this->renewing.clear();
  if (this->carrier) {
    this->carrier->change_leader();
  }
  this->Commit(jobs::BeginEpoch{});
  this->scheduler.emplace(this->state, this->settings, this->now);
}

void FakeFleet::SetQuotas(const std::map<std::string, std::int64_t>& quotas) {
  std::string document = kService;
  for (const auto& [customer, millicores] : quotas) {
    StrAppend(&document, " ", customer, " ", millicores);
    // Orders that are on their way may still begin under a quota before.
    this->quota_history[customer].emplace_back(this->now, millicores);
  }
  this->Commit(jobs::Declare{++this->declared_version, document});
}

jobs::Resources FakeFleet::RunningOf(const std::string& customer) const {
  jobs::Resources used;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running()) {
      const jobs::Job* job = this->state.FindJob(task.step.job);
      if (worker.is_up && job != nullptr &&
          job->customer == CustomerName(customer)) {
        used.Add(job->spec.steps[task.step.step].need);
      }
    }
  }
  return used;
}

// Checks that a start does not lift what its customer has running above its
// quota, as the leader that sent it may have known it.
void FakeFleet::CheckQuota(const StartOrder& order) {
  const jobs::Job* job = this->state.FindJob(order.task.step.job);
  if (job == nullptr || !this->quota_history.contains(job->customer.value())) {
    return;
  }
  const auto& history = this->quota_history.at(job->customer.value());
  std::int64_t most = history.back().second;
  for (std::size_t place = 0; place + 1 < history.size(); ++place) {
    if (history[place + 1].first + kLatestOrder >= this->now) {
      most = std::max(most, history[place].second);
    }
  }
  const std::int64_t used = this->RunningOf(job->customer.value()).millicores;
  if (most > 0 && used > most) {
    this->problem =
        StrCat(order.task.ToText(), "#", order.run.value(), " lifts ",
               job->customer.value(), " to ", used, ", its quota is ", most);
  }
}

void FakeFleet::Submit(const std::string& id,
                       jobs::StepSpec step,
                       const std::string& queue,
                       const std::string& customer) {
  if (step.need.millicores == 0) {
    step.need = {.millicores = 1'000, .memory_mb = 100};
  }
  jobs::JobSpec spec{.text = "text", .steps = {std::move(step)}};
  this->Commit(jobs::SubmitJob{.job = JobId(id),
                               .queue = QueueName(queue),
                               .spec = std::move(spec),
                               .customer = CustomerName(customer)});
}

void FakeFleet::At(SteadyTime at, std::function<void()> action) {
  this->events.push_back(Event{at, std::move(action)});
}

void FakeFleet::PassTime(Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    this->Step();
  }
}

void FakeFleet::Step() {
  this->now += kStep;
  for (auto& [id, worker] : this->workers) {
    worker.Tick(this->now);
  }
  std::vector<Event> due;
  std::vector<Event> later;
  for (Event& event : std::exchange(this->events, {})) {
    (event.at <= this->now ? due : later).push_back(std::move(event));
  }
  this->events = std::move(later);
  for (const Event& event : due) {
    event.action();
  }
  if (this->carrier) {
    this->carrier->step();
  }
  this->AnnounceUnknown();
  if (this->scheduler) {
    if (this->renews) {
      this->SendRenewals();
    }
    this->CheckInstances();
    this->Plan();
  }
  this->CheckRunning();
}

// Reports for each instance whether it is up, and which worker it runs, as the
// platform does.
void FakeFleet::CheckInstances() {
  if (!this->lists_instances || !this->scheduler->NeedsInstanceCheck()) {
    return;
  }
  std::map<InstanceName, InstanceStatus> lives;
  for (const auto& [id, worker] : this->workers) {
    InstanceStatus& life = lives[worker.description.instance];
    if (worker.is_up) {
      life = InstanceStatus{true, worker.description.name};
    }
  }
  for (auto& [name, life] : lives) {
    life.is_down = !life.is_up;
  }
  this->scheduler->HandleInstanceStatus(lives, this->now);
}

bool FakeFleet::Reaches(const WorkerId& id) const {
  const auto found = this->workers.find(id);
  return found != this->workers.end() && !found->second.is_cut;
}

void FakeFleet::SendRenewals() {
  std::vector<WorkerId> ids;
  for (const auto& [id, session] : this->scheduler->sessions()) {
    ids.push_back(id);
  }
  for (const WorkerId& id : ids) {
    if (this->renewing.insert(id).second) {
      this->Renew(id);
    }
  }
}

void FakeFleet::Renew(const WorkerId& id) {
  auto order = this->scheduler->NextRenewal(id, this->now);
  const Generation sent_in = this->generation;
  const auto finish = [this, id](Milliseconds pause) {
    this->EndRenewalLater(id, pause);
  };
  const auto found = this->workers.find(id);
  if (!order || found == this->workers.end()) {
    finish(kRenewalPause);
    return;
  }
  if (this->CarryRenewal(*order)) {
    return;
  }
  if (!this->Reaches(id) || !found->second.is_up) {
    const bool is_refused =
        !found->second.is_cut || found->second.is_cut_with_resets;
    this->At(this->now + (is_refused ? kOneWay : kOrderLimit), [this, id,
                                                                sent_in,
                                                                is_refused] {
      if (sent_in == this->generation) {
        this->scheduler->HandleRenewalFailure(
            id, is_refused ? OrderResult::kUnreachable : OrderResult::kUnknown,
            this->now);
      }
    });
    finish(kRenewalPause + (is_refused ? kOneWay : kOrderLimit));
    return;
  }
  const auto report = found->second.Renew(*order, this->now);
  std::uniform_int_distribution<std::uint32_t> draw(0, 999);
  if (draw(this->random) < this->lost_report_permille) {
    this->At(this->now + kOrderLimit, [this, id, sent_in] {
      if (sent_in == this->generation) {
        this->scheduler->HandleRenewalFailure(id, OrderResult::kUnknown,
                                              this->now);
      }
    });
    finish(kRenewalPause + kOrderLimit);
    return;
  }
  const Milliseconds delay = this->DrawReportDelay();
  if (report) {
    this->DeliverReport(id, *report, delay);
  }
  if (this->renews_at_once && delay == Milliseconds(0)) {
    this->RenewAgain(id);
  }
  finish(Milliseconds(20) + delay);
}

// Ends a renewal after `pause`, so that the next one can be sent.
void FakeFleet::EndRenewalLater(const WorkerId& id, Milliseconds pause) {
  this->At(this->now + pause, [this, id, sent_in = this->generation] {
    if (sent_in == this->generation) {
      this->renewing.erase(id);
    }
  });
}

bool FakeFleet::CarryRenewal(const RenewOrder& order) {
  const Generation sent_in = this->generation;
  const WorkerId& id = order.worker;
  const auto fail = [this, id, sent_in](OrderResult result) {
    if (sent_in == this->generation) {
      this->scheduler->HandleRenewalFailure(id, result, this->now);
      this->EndRenewalLater(id, kRenewalPause);
    }
  };
  const auto take = [this, id, sent_in](const RenewReport& report) {
    if (sent_in == this->generation) {
      this->TakeReport(id, report);
      this->EndRenewalLater(id, Milliseconds(20));
    }
  };
  const auto carry_out = [this, order, fail, take]() -> std::function<void()> {
    FakeWorker& present = this->workers.at(order.worker);
    std::uniform_int_distribution<std::uint32_t> draw(0, 999);
    if (present.is_cut && !present.is_cut_with_resets) {
      return {};
    }
    if (present.is_cut || !present.is_up) {
      return [fail] { fail(OrderResult::kUnreachable); };
    }
    const auto report = present.Renew(order, this->now);
    if (draw(this->random) < this->lost_report_permille) {
      return {};
    }
    if (!report) {
      return [fail] { fail(OrderResult::kFenced); };
    }
    return [take, report = *report] { take(report); };
  };
  return this->carrier && this->carrier->carry(id, {carry_out, fail});
}

void FakeFleet::RenewAgain(const WorkerId& id) {
  const auto order = this->scheduler->NextRenewal(id, this->now);
  if (!order) {
    return;
  }
  if (const auto report = this->workers.at(id).Renew(*order, this->now)) {
    this->TakeReport(id, *report);
  }
}

Milliseconds FakeFleet::DrawReportDelay() {
  if (this->late_report_permille == 0) {
    return Milliseconds(0);
  }
  std::uniform_int_distribution<std::uint32_t> draw(0, 999);
  std::uniform_int_distribution<std::int64_t> delay(0, kLatestReport.count());
  return draw(this->random) < this->late_report_permille
             ? Milliseconds(delay(this->random))
             : Milliseconds(0);
}

void FakeFleet::DeliverReport(const WorkerId& id,
                              const RenewReport& report,
                              Milliseconds delay) {
  if (delay == Milliseconds(0)) {
    this->TakeReport(id, report);
    return;
  }
  this->At(this->now + delay, [this, id, report, sent_in = this->generation] {
    if (sent_in == this->generation) {
      this->TakeReport(id, report);
    }
  });
}

void FakeFleet::TakeReport(const WorkerId& id, const RenewReport& report) {
  EndsToRecord ends = this->scheduler->HandleReport(id, report, this->now);
  if (ends.up_to > 0) {
    this->RecordEnds(id, std::move(ends));
  }
}

// Ends that arrive while a commit is in progress share the next commit.
void FakeFleet::RecordEnds(const WorkerId& id, EndsToRecord ends) {
  if (ends.ends.empty()) {
    this->scheduler->HandleEndsCommitted(id, ends);
    return;
  }
  this->waiting_ends.push_back(WaitingEnds{id, std::move(ends)});
  if (this->committing_ends.empty()) {
    this->CommitWaitingEnds();
  }
}

void FakeFleet::CommitWaitingEnds() {
  const std::vector<WaitingEnds> lot = std::exchange(this->waiting_ends, {});
  const auto finish = [this, lot] {
    this->ApplyCommittedEnds(lot);
    for (const WaitingEnds& waiting : lot) {
      this->scheduler->HandleEndsCommitted(waiting.worker, waiting.ends);
    }
  };
  if (this->commit_time == Milliseconds(0)) {
    finish();
    return;
  }
  this->committing_ends = lot;
  this->At(this->now + this->commit_time,
           [this, finish, sent_in = this->generation] {
             if (sent_in != this->generation) {
               return;
             }
             this->committing_ends.clear();
             finish();
             if (!this->waiting_ends.empty()) {
               this->CommitWaitingEnds();
             }
           });
}

void FakeFleet::ApplyCommittedEnds(const std::vector<WaitingEnds>& lot) {
  for (const WaitingEnds& waiting : lot) {
    this->Commit(jobs::RecordEnds{waiting.ends.ends});
    this->RecordCommittedEnds(waiting.ends.ends);
  }
}

void FakeFleet::CommitLater(jobs::Command command) {
  if (this->commit_time == Milliseconds(0)) {
    this->Commit(std::move(command));
    return;
  }
  this->At(this->now + this->commit_time,
           [this, command, sent_in = this->generation] {
             if (sent_in == this->generation) {
               this->Commit(command);
             }
           });
}

void FakeFleet::AnnounceUnknown() {
  if (this->announce_interval == Milliseconds(0) ||
      this->now.time_since_epoch() % this->announce_interval !=
          Milliseconds(0)) {
    return;
  }
  for (auto& [id, worker] : this->workers) {
    if (worker.is_up && !worker.is_cut &&
        this->state.FindWorker(id) == nullptr) {
      ++worker.description.sequence;
      this->Commit(jobs::RecordWorker{worker.description});
    }
  }
}

void FakeFleet::Plan() {
  SchedulerOutput output =
      this->scheduler->Plan(this->now, WallTime(this->now.time_since_epoch()));
  std::ranges::for_each(output.events, this->on_event);
  for (const Order& order : output.orders) {
    this->Send(order);
  }
  for (jobs::Command& command : output.commands) {
    this->CommitLater(std::move(command));
  }
  for (const RenewOrder& order : output.report_requests) {
    this->RequestReport(order);
  }
  if (output.question) {
    this->Advise(*output.question);
  }
}

bool FakeFleet::CarryReportRequest(const RenewOrder& order) {
  const auto carry_out =
      [this, order, sent_in = this->generation]() -> std::function<void()> {
    FakeWorker& present = this->workers.at(order.worker);
    std::uniform_int_distribution<std::uint32_t> draw(0, 999);
    if (present.is_cut || !present.is_up) {
      return {};
    }
    const auto report = present.Renew(order, this->now);
    if (!report || draw(this->random) < this->lost_report_permille) {
      return {};
    }
    return [this, id = order.worker, report = *report, sent_in] {
      if (sent_in == this->generation) {
        this->TakeReport(id, report);
      }
    };
  };
  return this->carrier &&
         this->carrier->carry(order.worker, {carry_out, [](OrderResult) {}});
}

void FakeFleet::RequestReport(const RenewOrder& order) {
  if (this->CarryReportRequest(order)) {
    return;
  }
  const auto found = this->workers.find(order.worker);
  std::uniform_int_distribution<std::uint32_t> draw(0, 999);
  if (!this->Reaches(order.worker) || !found->second.is_up ||
      draw(this->random) < this->lost_report_permille) {
    return;
  }
  if (const auto report = found->second.Renew(order, this->now)) {
    this->DeliverReport(order.worker, *report, this->DrawReportDelay());
  }
}

void FakeFleet::Advise(const AdviceQuestion& question) {
  ++this->questions;
  AdviceAnswer answer{.is_answered = !this->is_policy_silent,
                      .validity = this->answered_validity};
  for (const WorkerId& worker : question.workers) {
    const auto found = this->admitted.find(worker);
    if (answer.is_answered && found != this->admitted.end()) {
      answer.tickets.insert(*found);
    }
  }
  const Generation sent_in = this->generation;
  this->At(this->now + question.expected, [this, question, answer, sent_in] {
    if (sent_in == this->generation) {
      this->scheduler->HandleAdvice(question, answer, this->now);
    }
  });
}

bool FakeFleet::CarryOrder(const Order& order) {
  const WorkerId id =
      std::visit([](const auto& body) { return body.worker; }, order);
  const auto answer = [this, order,
                       sent_in = this->generation](const OrderAnswer& told) {
    if (sent_in == this->generation) {
      this->DeliverAnswer(order, told);
    }
  };
  const auto carry_out = [this, order, answer]() -> std::function<void()> {
    const std::optional<OrderAnswer> told = this->CarryOut(order);
    if (!told || told->result == OrderResult::kUnknown) {
      return {};
    }
    return [answer, told = *told] { answer(told); };
  };
  const auto fail = [answer](OrderResult result) {
    answer({.result = result});
  };
  return this->carrier &&
         this->carrier->carry(
             id, {.carry_out = carry_out,
                  .fail = fail,
                  .on_sent = [this, order] { this->CheckDataCentre(order); },
                  .is_start = std::holds_alternative<StartOrder>(order)});
}

void FakeFleet::CheckDataCentre(const Order& order) {
  const auto* start = std::get_if<StartOrder>(&order);
  const jobs::Worker* worker =
      start == nullptr ? nullptr : this->state.FindWorker(start->worker);
  if (worker != nullptr && !this->state.IsInUse(worker->data_centre)) {
    this->problem = StrCat(start->task.ToText(), "#", start->run.value(),
                           " was ordered in the evacuated data centre ",
                           worker->data_centre.value());
  }
}

void FakeFleet::Send(const Order& order) {
  this->CheckDataCentre(order);
  if (this->CarryOrder(order)) {
    return;
  }
  std::uniform_int_distribution<std::uint32_t> draw(0, 999);
  const Generation sent_in = this->generation;
  if (this->resent_permille > 0 && draw(this->random) < this->resent_permille) {
    this->Resend(order);
    return;
  }
  if (draw(this->random) >= this->late_permille) {
    this->At(this->now + kOneWay,
             [this, order, sent_in] { this->Execute(order, true, sent_in); });
    return;
  }
  const Milliseconds late = this->DrawLateness();
  this->At(this->now + late,
           [this, order, sent_in] { this->Execute(order, false, sent_in); });
  this->At(this->now + kOrderLimit, [this, order, sent_in] {
    if (sent_in == this->generation) {
      this->scheduler->HandleOrderAnswer(
          order, {.result = OrderResult::kUnknown}, this->now);
    }
  });
}

Milliseconds FakeFleet::DrawLateness() {
  std::uniform_int_distribution<int> delay(0, 4'000);
  return this->late_by.value_or(Milliseconds(delay(this->random)));
}

void FakeFleet::Resend(const Order& order) {
  const Generation sent_in = this->generation;
  this->At(this->now + this->DrawLateness(),
           [this, order, sent_in] { this->Execute(order, false, sent_in); });
  this->At(this->now + this->resend_after, [this, order, sent_in] {
    this->Execute(order, true, sent_in, true);
  });
}

void FakeFleet::DeliverAnswer(const Order& order, const OrderAnswer& answer) {
  if (this->answer_delay == Milliseconds(0)) {
    this->scheduler->HandleOrderAnswer(order, answer, this->now);
    return;
  }
  std::uniform_int_distribution<std::int64_t> delay(0,
                                                    this->answer_delay.count());
  this->At(this->now + Milliseconds(delay(this->random)),
           [this, order, answer, sent_in = this->generation] {
             if (sent_in == this->generation) {
               this->scheduler->HandleOrderAnswer(order, answer, this->now);
             }
           });
}

void FakeFleet::Execute(const Order& order,
                        bool is_answered,
                        Generation sent_in,
                        bool is_second) {
  std::optional<OrderAnswer> answer = this->CarryOut(order);
  if (!answer) {
    this->At(this->now + kOrderLimit, [this, order, sent_in] {
      if (sent_in == this->generation) {
        this->scheduler->HandleOrderAnswer(
            order, {.result = OrderResult::kUnknown}, this->now);
      }
    });
    return;
  }
  if (is_second && !this->trusts_second_copies &&
      answer->result != OrderResult::kDone &&
      answer->result != OrderResult::kOtherIncarnation) {
    answer->result = OrderResult::kUnknown;
  }
  if (is_answered && sent_in == this->generation) {
    this->DeliverAnswer(order, *answer);
  }
}

std::optional<OrderAnswer> FakeFleet::CarryOut(const Order& order) {
  const WorkerId id =
      std::visit([](const auto& body) { return body.worker; }, order);
  OrderAnswer answer{.result = OrderResult::kUnknown};
  const auto found = this->workers.find(id);
  if (found == this->workers.end() || !this->Reaches(id)) {
    return answer;
  }
  if (!found->second.is_up) {
    answer.result = OrderResult::kUnreachable;
  } else if (const auto* start = std::get_if<StartOrder>(&order)) {
    const std::size_t before = found->second.running().size();
    const jobs::Job* job = this->state.FindJob(start->task.step.job);
    const jobs::StepSpec step = job == nullptr
                                    ? jobs::StepSpec()
                                    : job->spec.steps[start->task.step.step];
    const Milliseconds length =
        step.is_long_running ? this->long_running_work.value_or(this->work)
                             : this->work;
    answer = found->second.Start(*start, length, this->fails(*start), step,
                                 this->now);
    if (found->second.running().size() > before) {
      this->CheckStart(*start);
      this->CrashLater(*start);
      if (this->loses_answers_of_crashes && this->crashes(*start)) {
        return std::nullopt;
      }
    }
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    answer = found->second.Stop(*stop, this->now);
  } else if (const auto* pace = std::get_if<PaceOrder>(&order)) {
    answer = found->second.Pace(*pace);
  }
  return answer;
}

// Records committed ends. The members of a gang share their runs and ends.
void FakeFleet::RecordCommittedEnds(const std::vector<jobs::RunEnd>& ends) {
  for (const jobs::RunEnd& end : ends) {
    const jobs::StepSpec& step = *this->state.FindStep(end.task);
    for (std::uint32_t index = 0; index < step.count; ++index) {
      const jobs::TaskId task{end.task.step, index};
      if (index != end.task.index && !step.is_gang) {
        continue;
      }
      if (end.outcome == jobs::RunOutcome::kDone) {
        this->done_tasks.insert(task);
      } else {
        this->failed_runs[task].insert(end.run);
      }
    }
  }
}

bool FakeFleet::AreEarlierStepsDone(const jobs::Job& job,
                                    const jobs::TaskId& task) {
  for (const std::uint32_t earlier : job.spec.steps[task.step.step].after) {
    jobs::TaskId other{{task.step.job, task.step.occurrence, earlier}, 0};
    for (; other.index < job.spec.steps[earlier].count; ++other.index) {
      if (!this->done_tasks.contains(other)) {
        return false;
      }
    }
  }
  return true;
}

void FakeFleet::CrashWorker(const WorkerId& id) {
  FakeWorker& worker = this->workers.at(id);
  for (const auto& [task, run] : worker.running()) {
    ++this->crash_counts[task];
    if (this->now - run.began_at < jobs::TaskCrashes::kSuspectTime) {
      ++this->early_crash_counts[task];
    }
  }
  worker.Crash();
  this->At(this->now + this->restart_time,
           [this, name = id.value()] { this->RestartUnderName(name); });
}

// Schedules a crash of the worker if the task is one that crashes its worker.
void FakeFleet::CrashLater(const StartOrder& order) {
  if (!this->crashes(order)) {
    return;
  }
  this->At(this->now + this->crash_after, [this, order] {
    const FakeWorker& worker = this->workers.at(order.worker);
    const auto running = worker.running().find(order.task);
    const bool is_there = worker.is_up && running != worker.running().end() &&
                          running->second.run == order.run;
    if (is_there) {
      this->CrashWorker(order.worker);
    }
  });
}

void FakeFleet::ChangeCapacity(const WorkerId& id,
                               const jobs::Resources& capacity) {
  jobs::Worker& description = this->workers.at(id).description;
  this->shrunk_from[id] = {description.capacity, this->now};
  description.capacity = capacity;
  description.sequence += 1;
  std::uniform_int_distribution<std::int64_t> until_beat(
      0, kAnnouncementInterval.count());
  this->At(this->now + Milliseconds(until_beat(this->random)),
           [this, announced = description] {
             this->Commit(jobs::RecordWorker{announced});
           });
}

// Checks that the runs on a worker, including those being stopped, fit into its
// capacity. A reduced capacity is enforced some time later.
void FakeFleet::CheckRoom(const WorkerId& id) {
  const FakeWorker& worker = this->workers.at(id);
  jobs::Resources room = worker.description.capacity;
  const auto shrunk = this->shrunk_from.find(id);
  if (shrunk != this->shrunk_from.end() &&
      this->now - shrunk->second.second <= kShrinkSlack) {
    const jobs::Resources& before = shrunk->second.first;
    room.millicores = std::max(room.millicores, before.millicores);
    room.memory_mb = std::max(room.memory_mb, before.memory_mb);
    room.accelerators = std::max(room.accelerators, before.accelerators);
  }
  for (const auto& [task, running] : worker.running()) {
    if (const jobs::StepSpec* step = this->state.FindStep(task)) {
      room.Subtract(Placement::CountedNeed(*step));
    }
  }
  if (!room.Holds({})) {
    this->problem = StrCat(id.value(), " holds more than its capacity");
  }
}

void FakeFleet::CheckStart(const StartOrder& order) {
  this->CheckRoom(order.worker);
  this->CheckQuota(order);
  ++this->starts;
  constexpr std::uint32_t kMostCrashes = 3;
  constexpr std::uint32_t kMaxStartsAfterLimit = 2;
  const bool is_in_contact = this->now - this->led_since >= kContactTime;
  const auto early = this->early_crash_counts.find(order.task);
  if (is_in_contact && early != this->early_crash_counts.end() &&
      early->second >= kMostCrashes &&
      ++this->starts_after_limit[order.task] > kMaxStartsAfterLimit) {
    this->problem = StrCat(order.task.ToText(),
                           " was started repeatedly after three crashes");
  }
  const jobs::Job* job = this->state.FindJob(order.task.step.job);
  if (job == nullptr) {
    this->problem = "a task of an unknown job was started";
  } else if (this->checks_ends && this->done_tasks.contains(order.task)) {
    this->problem = StrCat(order.task.ToText(), " was started after its end");
  } else if (!this->AreEarlierStepsDone(*job, order.task)) {
    this->problem = StrCat(order.task.ToText(), " was started too early");
  } else if (this->checks_ends &&
             !job->spec.steps[order.task.step.step].is_long_running &&
             this->failed_runs[order.task].size() >= job->most_attempts) {
    this->problem = StrCat(order.task.ToText(), " was started too often");
  }
}

void FakeFleet::CheckRunning() {
  std::set<jobs::TaskId> running;
  for (const auto& [id, worker] : this->workers) {
    jobs::Resources used;
    for (const auto& [task, run] : worker.running()) {
      if (worker.is_up && !running.insert(task).second) {
        this->problem = StrCat(task.ToText(), " runs twice");
      }
    }
  }
}

std::vector<std::string> FakeFleet::WorkersOf(const std::string& job) const {
  std::vector<std::string> names;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running()) {
      if (worker.is_up && task.step.job == JobId(job)) {
        names.push_back(id.value());
      }
    }
  }
  return names;
}

}  // namespace sumac::scheduler
