// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/soak_history.h"

#include <algorithm>
#include <utility>

namespace sumac::stand_ins {
namespace {

WallTime TimeOf(const nlohmann::json& event) {
  return WallTime(Milliseconds(event.at("at").get<std::int64_t>()));
}

}  // namespace

SoakHistory::SoakHistory(std::vector<nlohmann::json> events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const nlohmann::json& one, const nlohmann::json& other) {
                     return TimeOf(one) < TimeOf(other);
                   });
  for (const nlohmann::json& event : events) {
    this->Add(event);
  }
}

void SoakHistory::Add(const nlohmann::json& event) {
  const std::string kind = event.at("event");
  const WallTime at = TimeOf(event);
  if (kind == "life") {
    SeenIncarnation& incarnation = this->all_incarnations[event.at("worker")];
    incarnation.process = event.at("process");
    incarnation.address = event.at("address");
  } else if (kind == "start") {
    this->AddStart(event, at);
  } else if (kind == "end") {
    this->AddEnd(event, at);
  } else if (kind == "acknowledged") {
    this->AddAcknowledgement(event, at);
  } else if (kind == "lapse") {
    this->all_incarnations[event.at("worker")].lease_expired_at = at;
  } else if (kind == "leaves") {
    this->all_incarnations[event.at("worker")].leaves_at = at;
  } else if (kind == "gone") {
    this->EndIncarnation(this->all_incarnations[event.at("worker")], at);
  } else if (kind == "killed") {
    this->EndProcess(event.at("process"), at);
  } else if (kind == "harmed") {
    this->all_injected_faults.emplace(event.at("address"), at);
  } else if (kind == "own-end") {
    this->all_unexpected_exits.push_back(event.at("process"));
  } else {
    this->AddCall(event, at);
  }
}

void SoakHistory::AddStart(const nlohmann::json& event, WallTime at) {
  SeenIncarnation& incarnation = this->all_incarnations[event.at("worker")];
  SeenRun run{.task = *jobs::TaskId::Parse(event.at("task").get<std::string>()),
              .number = event.at("run"),
              .worker = event.at("worker"),
              .is_lasting = event.at("lasting"),
              .began_at = at};
  // The kill of a process is logged just before it takes place, so a start may
  // come between the two.
  if (incarnation.gone_at) {
    run.ended_at = at;
    run.cause = "died";
  } else {
    incarnation.running[run.task] = this->all_runs.size();
  }
  this->all_runs.push_back(std::move(run));
}

void SoakHistory::AddEnd(const nlohmann::json& event, WallTime at) {
  SeenIncarnation& incarnation = this->all_incarnations[event.at("worker")];
  const auto task = *jobs::TaskId::Parse(event.at("task").get<std::string>());
  const auto found = incarnation.running.find(task);
  if (found == incarnation.running.end()) {
    return;
  }
  SeenRun& run = this->all_runs[found->second];
  run.ended_at = at;
  run.cause = event.at("cause");
  incarnation.ended[event.at("number")] = found->second;
  incarnation.running.erase(found);
}

void SoakHistory::AddAcknowledgement(const nlohmann::json& event, WallTime at) {
  SeenIncarnation& incarnation = this->all_incarnations[event.at("worker")];
  const std::uint64_t last = event.at("number");
  while (!incarnation.ended.empty() &&
         incarnation.ended.begin()->first <= last) {
    SeenRun& run = this->all_runs[incarnation.ended.begin()->second];
    // If the lease expired meanwhile, the system may consider the run lost.
    if (!incarnation.lease_expired_at ||
        *incarnation.lease_expired_at < run.ended_at) {
      run.acknowledged_at = at;
    }
    incarnation.ended.erase(incarnation.ended.begin());
  }
}

void SoakHistory::EndIncarnation(SeenIncarnation& incarnation, WallTime at) {
  for (const auto& [task, index] : incarnation.running) {
    this->all_runs[index].ended_at = at;
    this->all_runs[index].cause = "died";
  }
  // The runs are not removed: one may still end by itself between the log entry
  // of a kill and the kill.
  incarnation.gone_at = at;
}

void SoakHistory::EndProcess(const std::string& process, WallTime at) {
  for (auto& [worker, incarnation] : this->all_incarnations) {
    if (incarnation.process == process && !incarnation.gone_at) {
      this->EndIncarnation(incarnation, at);
    }
  }
}

void SoakHistory::AddCall(const nlohmann::json& event, WallTime at) {
  const std::string kind = event.at("event");
  SeenJob& job = this->all_jobs[event.at("id")];
  if (kind == "job") {
    for (const nlohmann::json& step : event.at("steps")) {
      job.counts.push_back(step.at("count"));
    }
    return;
  }
  SeenCall call{
      .sent_at = at - Milliseconds(event.at("took").get<std::int64_t>()),
      .answered_at = at,
      .status = event.at("status"),
      .state = event.at("state"),
      .error = event.at("error")};
  std::vector<SeenCall>& calls = kind == "submit" ? job.submits
                                 : kind == "show" ? job.shows
                                                  : job.cancels;
  calls.push_back(std::move(call));
}

}  // namespace sumac::stand_ins
