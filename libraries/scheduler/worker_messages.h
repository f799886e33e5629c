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

// Renews a worker's lease and asks what runs and what has ended there.
struct RenewOrder {
  WorkerId worker;
  std::string address;
  // Fencing token of the order.
  LeaderEpoch epoch;
  // Ends numbered up to this are on record; the worker may forget them.
  std::uint64_t acknowledged_ends = 0;
  // Until when all that runs there may go on; without it the lease stays as it
  // is.
  std::optional<WorkerTime> lease_end;
  // How long the worker may keep the answer back while no run ends.
  Milliseconds wait{0};
  // How long the leader waits after the answer, before the next renewal.
  Milliseconds pause{0};
  // It leaves this process within this, or not at all; 0 for any time.
  Milliseconds longest_wait{0};
};

// Starts one run of a task.
struct StartOrder {
  WorkerId worker;
  std::string address;
  LeaderEpoch epoch;
  jobs::TaskId task;
  RunNumber run;
  // The job's text, passed on unread.
  std::string text;
  WorkerTime lease_end;
  // What an earlier run saved; empty to begin at the beginning.
  std::string checkpoint;
  // The placement policy's admission; empty where the queue has none.
  std::string ticket;
  // As in RenewOrder.
  Milliseconds longest_wait{0};
};

// Stops one run, and keeps it from starting if it has not.
struct StopOrder {
  WorkerId worker;
  std::string address;
  LeaderEpoch epoch;
  jobs::TaskId task;
  RunNumber run;
  // As in RenewOrder.
  Milliseconds longest_wait{0};
};

// Lets a run work, and disturb its neighbours, at a share of its full speed.
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

// What became of an order.
enum class OrderResult {
  // Carried out, or it was already so.
  kDone,
  // The worker has no room for it.
  kNoRoom,
  // The run is not above one that was stopped or ended there.
  kOldRun,
  // Its lease was over before it began.
  kTooLate,
  // The worker has seen a higher fencing token.
  kFenced,
  // The placement policy's ticket does not hold there.
  kBadTicket,
  // Another life of the worker is at that address.
  kOtherLife,
  // The worker did nothing, for another reason.
  kRefused,
  // Nobody listens at the address.
  kUnreachable,
  // It never left this process, which says nothing about the worker.
  kNotSent,
  // No answer: it may have been carried out or may still be.
  kUnknown,
  // As kUnknown, and it says nothing about the worker: the relay that had it is
  // gone.
  kRelayLost,
};

struct OrderAnswer {
  OrderResult result = OrderResult::kUnknown;
  // The worker's clock when it answered, if it told.
  std::optional<WorkerTime> clock;
};

// Asks a placement policy which of some workers may run a step's tasks.
struct AdviceQuestion {
  jobs::StepId step;
  std::vector<WorkerId> workers;
  // How long the policy needs for it, by the queue's declaration.
  Milliseconds expected{0};
  // How long its tickets hold, where the answer does not say.
  Milliseconds declared_validity{0};
};

struct AdviceAnswer {
  // False if there was no answer, or the policy takes no question now.
  bool is_answered = false;
  // How long the tickets hold, if the policy said.
  std::optional<Milliseconds> validity;
  // The workers that may, with their tickets.
  std::map<WorkerId, std::string> tickets;
};

// One run that a worker says it is running.
struct RunningReport {
  jobs::TaskId task;
  RunNumber run;
  // What the run saved last; empty if nothing.
  std::string checkpoint;
  // How far it is; 100 for a long-running task that is at work.
  std::uint32_t percent = 0;
  // For a task that serves users, the tail of its answer times in
  // milliseconds; else the thousandths of a core that it uses.
  std::int64_t load = 0;
};

// Why a run ended.
enum class EndCause {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  // Another member of its gang ended.
  kBroken,
  // It waited too long for the other members of its gang.
  kAlone,
};

struct EndReport {
  // Ends of one life are numbered from 1.
  std::uint64_t number = 0;
  jobs::TaskId task;
  RunNumber run;
  EndCause cause = EndCause::kDone;
  std::string checkpoint;
};

// A worker's answer to a RenewOrder.
struct RenewReport {
  WorkerTime clock;
  // When the life that tells it began, if it says so.
  std::optional<WallTime> born;
  std::vector<RunningReport> running;
  std::vector<EndReport> ended;
  // The list of ends is full: the worker may have more that it has not listed.
  bool has_more_ends = false;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_WORKER_MESSAGES_H_
