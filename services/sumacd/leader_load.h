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

// What a leader's line about its load tells beside what LeaderLoad knows.
struct LeaderQueues {
  // Ends of runs that wait for their commit.
  std::size_t waiting_ends = 0;
  std::size_t active_jobs = 0;
  std::size_t waiting_jobs = 0;
  // Of these, by whether they can still be in time.
  scheduler::LatenessCounts waiting;
  // Ordered since the leadership began.
  scheduler::LatenessCounts starts;
  // Between two planning_passes of the scheduler.
  Milliseconds pass_pause{0};
  // Controllers that make calls to workers for this one, and what they did
  // since the leadership began.
  std::size_t relays = 0;
  relay::RelayCounts relayed;
};

// Work that is counted by its work_items, since each item has its price.
enum class WorkItem { kRenewal, kReport, kStart, kStop, kMove, kWorkerEnd };
inline constexpr std::array<std::string_view, 6> kWorkItemNames = {
    "renewals", "reports", "starts", "stops", "moves", "workers_ended"};

// How busy a controller's event loop is, and how much new work it may take for
// that. Says so in its metrics and, while it leads, in a line now and then.
// Belongs to the core's event loop.
class LeaderLoad {
 public:
  LeaderLoad(kj::AsyncIoProvider& provider, http::Metrics& metrics);

  // Measures how late the loop reads; called at each tick.
  void MeasureLateness();

  // Begins the span of the first line, with a new leadership.
  void BeginLeadership(SteadyTime now);
  // Writes the line if it is due.
  void LogIfDue(const LeaderQueues& queues, SteadyTime now);

  // Decides about one new job; see Admission.
  bool DecideAdmission() { return this->admission.AdmitJob(); }
  void CountAcceptedJob() { ++this->accepted_jobs; }
  void CountRefusal(scheduler::RefusalReason reason);
  // Counts a turn of the scheduler.
  void CountPlanningPass() { ++this->planning_passes; }
  void CountWorkItem(WorkItem item) {
    ++this->work_items[static_cast<std::size_t>(item)];
  }
  Milliseconds RetryAfter() const { return this->admission.RetryAfter(); }
  Milliseconds lateness() const { return this->admission.lateness(); }

  // How many starts the next pass of the scheduler may order.
  scheduler::StartAllowance AllowStarts() const {
    return this->admission.AllowStarts(this->open_starts);
  }
  // Counts a start as unanswered until the result goes.
  auto CountStart() {
    ++this->open_starts;
    return kj::defer([this] { --this->open_starts; });
  }

  // The parts of the loop's work.
  WorkTimes work_times;

 private:
  void BeginInterval(SteadyTime now);
  nlohmann::json DescribeWork() const;
  nlohmann::json DescribeWorkItems() const;

  http::Metrics& metrics;
  LoopProbe probe;
  scheduler::Admission admission;
  // Starts that were sent and are not answered.
  std::size_t open_starts = 0;
  // Since the last line.
  SteadyTime interval_began{};
  Milliseconds max_lateness{0};
  std::uint64_t planning_passes = 0;
  std::uint64_t accepted_jobs = 0;
  std::map<scheduler::RefusalReason, std::uint64_t> refused_jobs;
  std::array<std::uint64_t, kWorkItemNames.size()> work_items{};
  // As they were then.
  WorkTimes logged_work;
  scheduler::LatenessCounts logged_starts;
  relay::RelayCounts logged_relayed;
  std::array<std::uint64_t, kWorkItemNames.size()> logged_work_items{};
  std::chrono::nanoseconds logged_loop_time{0};
  std::chrono::nanoseconds logged_process_time{0};
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_LEADER_LOAD_H_
