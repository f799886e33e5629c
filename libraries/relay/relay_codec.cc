// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_codec.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::relay {
namespace {

using scheduler::EndCause;
using scheduler::EndReport;
using scheduler::OrderResult;
using scheduler::PaceOrder;
using scheduler::RenewOrder;
using scheduler::RenewReport;
using scheduler::RunningReport;
using scheduler::StartOrder;
using scheduler::StopOrder;
using scheduler::WorkerTime;
using wire::ToString;

// Returns a whole text. Cap'n Proto converts a std::string itself, but only up
// to its first NUL.
capnp::Text::Reader ToText(std::string_view text) {
  return {text.data(), text.size()};
}

void WriteTask(const jobs::TaskId& task, wire::RelayedTask::Builder builder) {
  builder.setJob(ToText(task.step.job.value()));
  builder.setOccurrence(task.step.occurrence);
  builder.setStep(task.step.step);
  builder.setIndex(task.index);
}

jobs::TaskId ReadTask(wire::RelayedTask::Reader reader) {
  return {{JobId(ToString(reader.getJob())), reader.getOccurrence(),
           reader.getStep()},
          reader.getIndex()};
}

// Assigns each distinct text of a batch its position. Holds views into the
// calls that are written.
class TextTable {
 public:
  std::uint32_t Find(std::string_view text) {
    const auto [position, is_new] = this->positions.try_emplace(
        text, static_cast<std::uint32_t>(this->texts.size()));
    if (is_new) {
      this->texts.push_back(text);
    }
    return position->second;
  }

  void Write(wire::RelayedCalls::Builder builder) const {
    auto list = builder.initTexts(this->texts.size());
    for (unsigned position = 0; position < this->texts.size(); ++position) {
      list.set(position, ToText(this->texts[position]));
    }
  }

 private:
  std::map<std::string_view, std::uint32_t> positions;
  std::vector<std::string_view> texts;
};

void WriteRenewal(const RenewOrder& order,
                  wire::RelayedRenewal::Builder builder) {
  builder.setAcknowledgedEnds(order.acknowledged_ends);
  builder.setHasLeaseEnd(order.lease_end.has_value());
  builder.setLeaseEnd(order.lease_end.value_or(WorkerTime()).value());
  builder.setWaitMs(static_cast<std::uint32_t>(order.wait.count()));
}

// Writes the body of a call, with one overload for each kind of call.
struct BodyWriter {
  wire::RelayedCall::Builder builder;
  TextTable& texts;

  void operator()(const RenewCall& call) {
    this->WriteTarget(call.order);
    WriteRenewal(call.order, this->builder.initRenewal());
  }

  void operator()(const ReportCall& call) {
    this->WriteTarget(call.order);
    WriteRenewal(call.order, this->builder.initReport());
  }

  void operator()(const StartOrder& order) {
    this->WriteTarget(order);
    auto start = this->builder.initStart();
    WriteTask(order.task, start.initTask());
    start.setRun(order.run.value());
    start.setText(this->texts.Find(order.text));
    start.setLeaseEnd(order.lease_end.value());
    start.setCheckpoint(ToText(order.checkpoint));
    start.setTicket(ToText(order.ticket));
  }

  void operator()(const StopOrder& order) {
    this->WriteTarget(order);
    auto stop = this->builder.initStop();
    WriteTask(order.task, stop.initTask());
    stop.setRun(order.run.value());
  }

  void operator()(const PaceOrder& order) {
    this->WriteTarget(order);
    auto pace = this->builder.initPace();
    WriteTask(order.task, pace.initTask());
    pace.setRun(order.run.value());
    pace.setPercent(order.percent);
  }

  void operator()(const ForgetCall& call) {
    this->builder.setWorker(ToText(call.worker.value()));
    this->builder.setForget();
  }

 private:
  template <typename Order>
  void WriteTarget(const Order& order) {
    this->builder.setWorker(ToText(order.worker.value()));
    this->builder.setAddress(ToText(order.address));
  }
};

RenewOrder ReadRenewal(wire::RelayedCall::Reader call,
                       wire::RelayedRenewal::Reader reader,
                       LeaderEpoch epoch) {
  RenewOrder order{.worker = WorkerId(ToString(call.getWorker())),
                   .address = ToString(call.getAddress()),
                   .epoch = epoch,
                   .acknowledged_ends = reader.getAcknowledgedEnds(),
                   .wait = Milliseconds(reader.getWaitMs())};
  if (reader.getHasLeaseEnd()) {
    order.lease_end = WorkerTime(reader.getLeaseEnd());
  }
  return order;
}

absl::StatusOr<CallBody> ReadStart(wire::RelayedCall::Reader call,
                                   const std::vector<std::string>& texts,
                                   LeaderEpoch epoch) {
  const wire::RelayedStart::Reader start = call.getStart();
  if (start.getText() >= texts.size()) {
    return MakeError(ResultCode::kMalformedMessage,
                     StrCat("the batch has no text ", start.getText()));
  }
  return StartOrder{.worker = WorkerId(ToString(call.getWorker())),
                    .address = ToString(call.getAddress()),
                    .epoch = epoch,
                    .task = ReadTask(start.getTask()),
                    .run = RunNumber(start.getRun()),
                    .text = texts[start.getText()],
                    .lease_end = WorkerTime(start.getLeaseEnd()),
                    .checkpoint = ToString(start.getCheckpoint()),
                    .ticket = ToString(start.getTicket())};
}

absl::StatusOr<CallBody> ReadBody(wire::RelayedCall::Reader call,
                                  const std::vector<std::string>& texts,
                                  LeaderEpoch epoch) {
  const WorkerId worker(ToString(call.getWorker()));
  switch (call.which()) {
    case wire::RelayedCall::RENEWAL:
      return RenewCall{ReadRenewal(call, call.getRenewal(), epoch)};
    case wire::RelayedCall::REPORT:
      return ReportCall{ReadRenewal(call, call.getReport(), epoch)};
    case wire::RelayedCall::START:
      return ReadStart(call, texts, epoch);
    case wire::RelayedCall::STOP:
      return StopOrder{.worker = worker,
                       .address = ToString(call.getAddress()),
                       .epoch = epoch,
                       .task = ReadTask(call.getStop().getTask()),
                       .run = RunNumber(call.getStop().getRun())};
    case wire::RelayedCall::PACE:
      return PaceOrder{.worker = worker,
                       .address = ToString(call.getAddress()),
                       .epoch = epoch,
                       .task = ReadTask(call.getPace().getTask()),
                       .run = RunNumber(call.getPace().getRun()),
                       .percent = call.getPace().getPercent()};
    case wire::RelayedCall::FORGET:
      return ForgetCall{worker};
  }
  return MakeError(ResultCode::kMalformedMessage,
                   StrCat("calls of kind ", static_cast<int>(call.which()),
                          " are not known here"));
}

void WriteReport(const RenewReport& report,
                 wire::RelayedReport::Builder builder) {
  builder.setHasBorn(report.born.has_value());
  builder.setBornMs(
      report.born.value_or(WallTime()).time_since_epoch().count());
  builder.setHasMoreEnds(report.has_more_ends);
  auto running = builder.initRunning(report.running.size());
  for (unsigned position = 0; position < report.running.size(); ++position) {
    const RunningReport& run = report.running[position];
    WriteTask(run.task, running[position].initTask());
    running[position].setRun(run.run.value());
    running[position].setCheckpoint(ToText(run.checkpoint));
    running[position].setPercent(run.percent);
    running[position].setLoad(run.load);
  }
  auto ended = builder.initEnded(report.ended.size());
  for (unsigned position = 0; position < report.ended.size(); ++position) {
    const EndReport& end = report.ended[position];
    ended[position].setNumber(end.number);
    WriteTask(end.task, ended[position].initTask());
    ended[position].setRun(end.run.value());
    ended[position].setCause(static_cast<std::uint16_t>(end.cause));
    ended[position].setCheckpoint(ToText(end.checkpoint));
  }
}

std::optional<EndCause> ReadCause(std::uint16_t number) {
  return number <= static_cast<std::uint16_t>(EndCause::kGangIncomplete)
             ? std::optional(static_cast<EndCause>(number))
             : std::nullopt;
}

OrderResult ReadResult(std::uint16_t number) {
  return number <= static_cast<std::uint16_t>(OrderResult::kUnknown)
             ? static_cast<OrderResult>(number)
             : OrderResult::kUnknown;
}

// Reads a report. Returns nothing if one of its ends has an unknown cause,
// since without that end the outcome of its run would be unknown.
std::unique_ptr<RenewReport> ReadReport(wire::RelayedReport::Reader reader,
                                        WorkerTime clock) {
  auto report = std::make_unique<RenewReport>();
  report->clock = clock;
  report->has_more_ends = reader.getHasMoreEnds();
  if (reader.getHasBorn()) {
    report->born = WallTime(Milliseconds(reader.getBornMs()));
  }
  report->running.reserve(reader.getRunning().size());
  for (const auto run : reader.getRunning()) {
    report->running.push_back({.task = ReadTask(run.getTask()),
                               .run = RunNumber(run.getRun()),
                               .checkpoint = ToString(run.getCheckpoint()),
                               .percent = run.getPercent(),
                               .load = run.getLoad()});
  }
  report->ended.reserve(reader.getEnded().size());
  for (const auto end : reader.getEnded()) {
    const std::optional<EndCause> cause = ReadCause(end.getCause());
    if (!cause) {
      return nullptr;
    }
    report->ended.push_back({.number = end.getNumber(),
                             .task = ReadTask(end.getTask()),
                             .run = RunNumber(end.getRun()),
                             .cause = *cause,
                             .checkpoint = ToString(end.getCheckpoint())});
  }
  return report;
}

}  // namespace

void WriteCalls(const std::vector<RelayCall>& calls,
                wire::RelayedCalls::Builder builder) {
  TextTable texts;
  auto list = builder.initCalls(calls.size());
  for (unsigned position = 0; position < calls.size(); ++position) {
    list[position].setId(calls[position].id);
    list[position].setExpiresMs(calls[position].expires.value());
    std::visit(BodyWriter{list[position], texts}, calls[position].body);
  }
  texts.Write(builder);
}

std::vector<std::string> ReadTexts(wire::RelayedCalls::Reader batch) {
  std::vector<std::string> texts;
  texts.reserve(batch.getTexts().size());
  for (const auto text : batch.getTexts()) {
    texts.push_back(ToString(text));
  }
  return texts;
}

absl::StatusOr<RelayCall> ReadCall(wire::RelayedCall::Reader reader,
                                   const std::vector<std::string>& texts,
                                   LeaderEpoch epoch) {
  if (reader.getWorker().size() == 0) {
    return MakeError(ResultCode::kMalformedMessage, "a call names no worker");
  }
  absl::StatusOr<CallBody> body = ReadBody(reader, texts, epoch);
  if (!body.ok()) {
    return body.status();
  }
  return RelayCall{.id = reader.getId(),
                   .expires = RelayTime(reader.getExpiresMs()),
                   .body = *std::move(body)};
}

void WriteAnswers(std::span<const RelayAnswer> answers,
                  wire::RelayedAnswers::Builder builder) {
  auto list = builder.initAnswers(answers.size());
  for (unsigned position = 0; position < answers.size(); ++position) {
    const RelayAnswer& answer = answers[position];
    list[position].setId(answer.id);
    list[position].setResult(static_cast<std::uint16_t>(answer.result));
    list[position].setHasClock(answer.clock.has_value());
    list[position].setClock(answer.clock.value_or(WorkerTime()).value());
    if (answer.report) {
      WriteReport(*answer.report, list[position].initReport());
    }
  }
}

RelayAnswer ReadAnswer(wire::RelayedAnswer::Reader reader) {
  RelayAnswer answer{.id = reader.getId(),
                     .result = ReadResult(reader.getResult())};
  if (reader.getHasClock()) {
    answer.clock = WorkerTime(reader.getClock());
  }
  if (reader.hasReport()) {
    answer.report =
        ReadReport(reader.getReport(), answer.clock.value_or(WorkerTime()));
    if (!answer.report) {
      answer.result = OrderResult::kUnknown;
    }
  }
  return answer;
}

}  // namespace sumac::relay
