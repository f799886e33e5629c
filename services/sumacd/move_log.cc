// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/move_log.h"

#include <utility>

#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

using maintenance::WorkClass;

// The minimum interval of lines.
constexpr Milliseconds kLineInterval{500};

}  // namespace

void MoveLog::RecordPass(
    const std::map<ServiceName, maintenance::PoolReport>& pools) {
  for (const auto& [name, report] : pools) {
    Batch& batch = this->batches[name];
    batch.last = report;
    batch.begun += report.begun;
    this->has_news = this->has_news || report.begun > 0;
  }
}

void MoveLog::RecordAnswer(const ServiceName& pool,
                           maintenance::InstanceResult result) {
  ++this->batches[pool].answers[std::string(NameOfResult(result))];
  this->has_news = true;
}

void MoveLog::Write(SteadyTime now) {
  if (!this->has_news || now - this->last_line < kLineInterval) {
    return;
  }
  this->last_line = now;
  this->has_news = false;
  nlohmann::json pools = nlohmann::json::object();
  for (auto& [name, batch] : this->batches) {
    const maintenance::PoolReport& last = batch.last;
    pools[name.value()] = {{"have", last.have},
                           {"movable", last.movable},
                           {"standing", last.need[WorkClass::kStanding]},
                           {"in_time", last.need[WorkClass::kInTime]},
                           {"late", last.need[WorkClass::kLate]},
                           {"worthless", last.need[WorkClass::kWorthless]},
                           {"part", last.part[WorkClass::kInTime]},
                           {"wanted", last.wanted},
                           {"begun", std::exchange(batch.begun, 0)},
                           {"under_way", last.under_way},
                           {"answers", std::exchange(batch.answers, {})}};
  }
  LogEvent(LogLevel::kInfo, "moves", {{"pools", std::move(pools)}});
}

}  // namespace sumac::daemon
