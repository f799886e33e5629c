// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/leader_load.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"
#include "services/sumacd/processor_time.h"

namespace sumac::daemon {
namespace {

// A leader says this often how busy it is: some ten lines of a rush.
constexpr Milliseconds kLogInterval{2'000};

double InSeconds(Milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

std::int64_t InMilliseconds(std::chrono::duration<double> time) {
  return std::chrono::round<Milliseconds>(time).count();
}

nlohmann::json InJson(const scheduler::LatenessCounts& counts) {
  return {{"in_time", counts.in_time},
          {"late", counts.late},
          {"worthless", counts.worthless}};
}

nlohmann::json InJson(const relay::RelayCounts& counts) {
  return {{"calls", counts.calls},
          {"batches", counts.batches},
          {"answers", counts.answers},
          {"answer_batches", counts.answer_batches},
          {"lost", counts.lost}};
}

}  // namespace

LeaderLoad::LeaderLoad(kj::AsyncIoProvider& provider, http::Metrics& metrics)
    : metrics(metrics), probe(provider) {
  this->metrics.SetGauge("sumac_open_starts", [this] {
    return static_cast<double>(this->open_starts);
  });
  this->metrics.SetGauge("sumac_late_seconds",
                         [this] { return InSeconds(this->lateness()); });
  for (std::size_t part = 0; part < WorkTimes::kNames.size(); ++part) {
    this->metrics.SetCounter(
        StrCat("sumac_busy_seconds_total{part=\"", WorkTimes::kNames[part],
               "\"}"),
        [this, part] { return this->work_times.Spent(part).count(); });
  }
  for (std::size_t item = 0; item < kWorkItemNames.size(); ++item) {
    this->metrics.SetCounter(
        StrCat("sumac_pieces_total{kind=\"", kWorkItemNames[item], "\"}"),
        [this, item] { return static_cast<double>(this->work_items[item]); });
  }
  this->metrics.SetCounter("sumac_processor_seconds_total", [] {
    return std::chrono::duration<double>(ProcessProcessorTime()).count();
  });
}

void LeaderLoad::MeasureLateness() {
  const Milliseconds late = this->probe.Lateness();
  this->probe.Send();
  this->admission.RecordLateness(late);
  this->max_lateness = std::max(this->max_lateness, late);
  this->metrics.Observe("sumac_loop_late_seconds", InSeconds(late));
}

void LeaderLoad::BeginLeadership(SteadyTime now) {
  this->logged_starts = {};
  this->logged_relayed = {};
  this->BeginInterval(now);
}

void LeaderLoad::BeginInterval(SteadyTime now) {
  this->interval_began = now;
  this->max_lateness = Milliseconds(0);
  this->planning_passes = 0;
  this->accepted_jobs = 0;
  this->refused_jobs.clear();
  this->logged_work = this->work_times;
  this->logged_work_items = this->work_items;
  this->logged_loop_time = ThreadProcessorTime();
  this->logged_process_time = ProcessProcessorTime();
}

// The parts of the loop's work, and what of its processor time none of them
// names.
nlohmann::json LeaderLoad::DescribeWork() const {
  nlohmann::json busy = nlohmann::json::object();
  std::chrono::duration<double> named{0};
  for (std::size_t part = 0; part < WorkTimes::kNames.size(); ++part) {
    const auto spent =
        this->work_times.Spent(part) - this->logged_work.Spent(part);
    named += spent;
    busy[std::string(WorkTimes::kNames[part])] = InMilliseconds(spent);
  }
  const auto loop = ThreadProcessorTime() - this->logged_loop_time;
  busy["unnamed"] = InMilliseconds(loop - named);
  return busy;
}

nlohmann::json LeaderLoad::DescribeWorkItems() const {
  nlohmann::json counts = nlohmann::json::object();
  for (std::size_t item = 0; item < kWorkItemNames.size(); ++item) {
    counts[std::string(kWorkItemNames[item])] =
        this->work_items[item] - this->logged_work_items[item];
  }
  return counts;
}

void LeaderLoad::CountRefusal(scheduler::RefusalReason reason) {
  ++this->refused_jobs[reason];
  this->metrics.Count(
      StrCat("sumac_refusals_total{reason=\"", NameOf(reason), "\"}"));
}

void LeaderLoad::LogIfDue(const LeaderQueues& queues, SteadyTime now) {
  if (now - this->interval_began < kLogInterval) {
    return;
  }
  nlohmann::json refused = nlohmann::json::object();
  for (const auto& [reason, count] : this->refused_jobs) {
    refused[std::string(NameOf(reason))] = count;
  }
  LogEvent(LogLevel::kInfo, "leader-load",
           {{"span_ms", (now - this->interval_began).count()},
            {"late_ms", this->lateness().count()},
            {"most_late_ms", this->max_lateness.count()},
            {"loop_ms",
             InMilliseconds(ThreadProcessorTime() - this->logged_loop_time)},
            {"process_ms", InMilliseconds(ProcessProcessorTime() -
                                          this->logged_process_time)},
            {"busy_ms", this->DescribeWork()},
            {"pieces", this->DescribeWorkItems()},
            {"pass_pause_ms", queues.pass_pause.count()},
            {"open_starts", this->open_starts},
            {"waiting_ends", queues.waiting_ends},
            {"active_jobs", queues.active_jobs},
            {"waiting_jobs", queues.waiting_jobs},
            {"turns", this->planning_passes},
            {"taken_jobs", this->accepted_jobs},
            {"refused_jobs", std::move(refused)},
            {"waiting", InJson(queues.waiting)},
            {"starts", InJson(queues.starts - this->logged_starts)},
            {"relays", queues.relays},
            {"relayed", InJson(queues.relayed - this->logged_relayed)}});
  this->logged_starts = queues.starts;
  this->logged_relayed = queues.relayed;
  this->BeginInterval(now);
}

}  // namespace sumac::daemon
