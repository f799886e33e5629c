// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_LEADER_LOAD_H_
#define SERVICES_SUMACD_LEADER_LOAD_H_

#include <kj/async-io.h>
#include <kj/common.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "libraries/base/time.h"
#include "libraries/http/metrics.h"
#include "libraries/relay/relay_messages.h"
#include "libraries/scheduler/admission.h"
#include "libraries/scheduler/refusal_reason.h"
#include "libraries/scheduler/scheduler.h"
#include "nlohmann/json.hpp"
#include "services/sumacd/loop_probe.h"
#include "services/sumacd/work_times.h"

namespace sumac::daemon {

// The values of a leader's log line about its load that LeaderLoad does not
// measure itself.
struct LeaderQueues {
  // The number of ends of runs that wait to be committed.
  std::size_t waiting_ends = 0;
  std::size_t active_jobs = 0;
  std::size_t waiting_jobs = 0;
  // The waiting jobs by whether they can still finish in time.
  scheduler::LatenessCounts waiting;
  // The starts ordered since the leadership began.
  scheduler::LatenessCounts starts;
  // The pause between two planning passes.
  Milliseconds pass_pause{0};
  // The number of controllers that make calls to workers for this one, and the
  // calls that they made since the leadership began.
  std::size_t relays = 0;
  relay::RelayCounts relayed;
};

// Kinds of work that are counted one by one, since each costs processor time.
enum class WorkItem { kRenewal, kReport, kStart, kStop, kMove, kWorkerEnd };
inline constexpr std::array<std::string_view, 6> kWorkItemNames = {
    "renewals", "reports", "starts", "stops", "moves", "workers_ended"};

// Measures how busy a controller's event loop is and limits the new work
// accordingly. Exports metrics and, while the controller leads, logs the load
// at an interval. Runs on the core's event loop.
class LeaderLoad {
 public:
  LeaderLoad(kj::AsyncIoProvider& provider, http::Metrics& metrics);

  // Measures how late the loop reads its sockets; to be called at each tick.
  void MeasureLateness();

  // Begins the interval of the first log line of a new leadership.
  void BeginLeadership(SteadyTime now);
  // Logs the load if the interval since the last log line is over.
  void LogIfDue(const LeaderQueues& queues, SteadyTime now);

  // Decides whether one new job is admitted; see Admission.
  bool DecideAdmission() { return this->admission.AdmitJob(); }
  void CountAcceptedJob() { ++this->accepted_jobs; }
  void CountRefusal(scheduler::RefusalReason reason);
  // Counts a planning pass.
  void CountPlanningPass() { ++this->planning_passes; }
  void CountWorkItem(WorkItem item) {
    ++this->work_items[static_cast<std::size_t>(item)];
  }
  Milliseconds RetryAfter() const { return this->admission.RetryAfter(); }
  Milliseconds lateness() const { return this->admission.lateness(); }

  // Returns how many starts the next planning pass may order.
  scheduler::StartAllowance AllowStarts() const {
    return this->admission.AllowStarts(this->open_starts);
  }
  // Counts a start as unanswered until the returned guard is destroyed.
  auto CountStart() {
    ++this->open_starts;
    return kj::defer([this] { --this->open_starts; });
  }

  // The time that the loop spends on each part of its work.
  WorkTimes work_times;

 private:
  void BeginInterval(SteadyTime now);
  nlohmann::json DescribeWork() const;
  nlohmann::json DescribeWorkItems() const;

  http::Metrics& metrics;
  LoopProbe probe;
  scheduler::Admission admission;
  // The number of starts that were sent and are not answered yet.
  std::size_t open_starts = 0;
  // Values since the last log line.
  SteadyTime interval_began{};
  Milliseconds max_lateness{0};
  std::uint64_t planning_passes = 0;
  std::uint64_t accepted_jobs = 0;
  std::map<scheduler::RefusalReason, std::uint64_t> refused_jobs;
  std::array<std::uint64_t, kWorkItemNames.size()> work_items{};
  // Running totals at the time of the last log line.
  WorkTimes logged_work;
  scheduler::LatenessCounts logged_starts;
  relay::RelayCounts logged_relayed;
  std::array<std::uint64_t, kWorkItemNames.size()> logged_work_items{};
  std::chrono::nanoseconds logged_loop_time{0};
  std::chrono::nanoseconds logged_process_time{0};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LEADER_LOAD_H_
