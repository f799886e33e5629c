// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_WORKER_MESSAGES_H_
#define LIBRARIES_SCHEDULER_WORKER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

// A time on one worker's own steady clock.
using WorkerTime = StrongType<std::int64_t, struct WorkerTimeTag>;

// Renews a worker's lease and asks for a report of its runs and of the runs
// that have ended.
struct RenewOrder {
  WorkerId worker;
  std::string address;
  // The fencing token of the order.
  LeaderEpoch epoch;
  // Ends numbered up to this are committed; the worker may drop them.
  std::uint64_t acknowledged_ends = 0;
  // The time until which all runs there may continue; without it the lease
  // stays unchanged.
  std::optional<WorkerTime> lease_end;
  // How long the worker may delay its answer while no run ends.
  Milliseconds wait{0};
  // How long the leader waits between the answer and the next renewal.
  Milliseconds pause{0};
  // The maximum time that the order may wait in this process before it is sent;
  // after it the order is dropped. 0 for no limit.
  Milliseconds longest_wait{0};
};

// Starts one run of a task.
struct StartOrder {
  WorkerId worker;
  std::string address;
  LeaderEpoch epoch;
  jobs::TaskId task;
  RunNumber run;
  // The job's text, passed on without being interpreted.
  std::string text;
  WorkerTime lease_end;
  // The checkpoint that an earlier run saved; empty to start from the
  // beginning.
  std::string checkpoint;
  // The ticket by which the placement policy admits the task; empty if the
  // queue has no placement policy.
  std::string ticket;
  // As in RenewOrder.
  Milliseconds longest_wait{0};
};

// Stops one run, or prevents it from starting if it has not started yet.
struct StopOrder {
  WorkerId worker;
  std::string address;
  LeaderEpoch epoch;
  jobs::TaskId task;
  RunNumber run;
  // As in RenewOrder.
  Milliseconds longest_wait{0};
};

// Sets the share of its full speed at which a run may work, which limits how
// much it disturbs its neighbours.
struct PaceOrder {
  WorkerId worker;
  std::string address;
  LeaderEpoch epoch;
  jobs::TaskId task;
  RunNumber run;
  std::uint32_t percent = 100;
  // As in RenewOrder.
  Milliseconds longest_wait{0};
};

// The outcome of an order.
enum class OrderResult {
  // The order was carried out, or there was nothing left to do.
  kDone,
  // The worker has no room for the run.
  kNoRoom,
  // The run number is not higher than that of a run of the task that was
  // stopped or ended there.
  kOldRun,
  // The lease that the start carried was over before the run began.
  kTooLate,
  // The worker has seen a higher fencing token.
  kFenced,
  // The placement policy's ticket is not valid there.
  kBadTicket,
  // Another incarnation of the worker is at that address.
  kOtherIncarnation,
  // The worker rejected the order for another reason.
  kRefused,
  // No process listens at the address.
  kUnreachable,
  // The order was never sent, so this is no evidence about the worker's state.
  kNotSent,
  // There was no answer: the order may have been carried out or may still be.
  kUnknown,
  // As kUnknown, but no evidence about the worker's state: the relay that
  // forwarded the order is gone.
  kRelayLost,
};

struct OrderAnswer {
  OrderResult result = OrderResult::kUnknown;
  // The worker's clock when it answered, if the answer contains it.
  std::optional<WorkerTime> clock;
};

// Asks a placement policy which of the given workers may run a step's tasks.
struct AdviceQuestion {
  jobs::StepId step;
  std::vector<WorkerId> workers;
  // The time that the policy needs to answer, as declared for the queue.
  Milliseconds expected{0};
  // The validity of the policy's tickets if the answer does not contain one.
  Milliseconds declared_validity{0};
};

struct AdviceAnswer {
  // False if there was no answer or the policy accepts no question at present.
  bool is_answered = false;
  // The validity of the tickets, if the answer contains one.
  std::optional<Milliseconds> validity;
  // The workers that may run the tasks, with their tickets.
  std::map<WorkerId, std::string> tickets;
};

// One run that a worker reports as running.
struct RunningReport {
  jobs::TaskId task;
  RunNumber run;
  // The last checkpoint that the run saved; empty if there is none.
  std::string checkpoint;
  // The run's progress in percent; 100 for a long-running task that is in
  // operation.
  std::uint32_t percent = 0;
  // For a task that serves users, the tail of its response times in
  // milliseconds; for others, the CPU use in thousandths of a core.
  std::int64_t load = 0;
};

// Why a run ended.
enum class EndCause {
  kDone,
  kFailed,
  kStopped,
  // The worker's lease expired before the run ended.
  kLeaseExpired,
  // Another member of its gang ended.
  kGangBroken,
  // The run waited too long for the other members of its gang.
  kGangIncomplete,
};

struct EndReport {
  // The number of this end. Ends reported by one incarnation are numbered from
  // 1.
  std::uint64_t number = 0;
  jobs::TaskId task;
  RunNumber run;
  EndCause cause = EndCause::kDone;
  std::string checkpoint;
};

// A worker's answer to a RenewOrder.
struct RenewReport {
  WorkerTime clock;
  // The start time of the incarnation that sends this report, if it sends one.
  std::optional<WallTime> born;
  std::vector<RunningReport> running;
  std::vector<EndReport> ended;
  // Whether the list of ends is full: the worker may have more ends that are
  // not listed.
  bool has_more_ends = false;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_MESSAGES_H_
