// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/waiting_cause.h"

#include <algorithm>

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

bool HasLabel(const jobs::StepSpec& step, const jobs::Worker& worker) {
  return step.required_label.empty() || worker.has_label(step.required_label);
}

// Returns how many more tasks of the step fit into `room`, if `running` of them
// already run on the worker.
std::uint32_t CountPlaces(const jobs::StepSpec& step,
                          jobs::Resources room,
                          std::uint32_t running) {
  const jobs::Resources need = Placement::CountedNeed(step);
  std::uint32_t places = 0;
  while (
      places < step.count && room.Holds(need) &&
      (step.most_per_worker == 0 || running + places < step.most_per_worker)) {
    room.Subtract(need);
    ++places;
  }
  return places;
}

bool IsFeasible(const jobs::StepSpec& step, const Placement::Sessions& fleet) {
  const std::uint32_t wanted = step.is_gang ? step.count : 1;
  std::uint32_t places = 0;
  return std::any_of(fleet.begin(), fleet.end(), [&](const auto& item) {
    const jobs::Worker& worker = item.second.worker();
    if (!item.second.is_evacuated && HasLabel(step, worker)) {
      places += CountPlaces(step, worker.capacity, 0);
    }
    return places >= wanted;
  });
}

// Counts the worker under the first requirement that excludes it.
void CountWorker(const PlacementRequest& request,
                 const WorkerSession& session,
                 const Placement& placement,
                 SteadyTime now,
                 WaitingCause& cause) {
  const jobs::StepSpec& step = request.step();
  const jobs::Worker& worker = session.worker();
  const std::uint32_t running = session.CountTasksOf(request.task.step);
  if (!HasLabel(step, worker)) {
    ++cause.without_label;
  } else if (!worker.capacity.Holds(Placement::CountedNeed(step))) {
    ++cause.too_small;
  } else if (step.most_per_worker > 0 && running >= step.most_per_worker) {
    ++cause.at_limit;
  } else if (!session.Room().Holds(Placement::CountedNeed(step)) ||
             placement.IsReservedForOther(request, session)) {
    ++cause.without_room;
  } else if (request.advice != nullptr &&
             request.advice->FindTicket(request.task.step, worker.id, now) ==
                 nullptr) {
    ++cause.not_admitted;
  } else {
    cause.places = std::min(
        step.count, cause.places + CountPlaces(step, session.Room(), running));
  }
}

// Counts a worker in an evacuated data centre that could hold a task of the
// step.
void CountEvacuated(const PlacementRequest& request,
                    const WorkerSession& session,
                    WaitingCause& cause) {
  const jobs::StepSpec& step = request.step();
  const jobs::Worker& worker = session.worker();
  const bool could_hold = worker.service == request.job->service &&
                          HasLabel(step, worker) &&
                          worker.capacity.Holds(Placement::CountedNeed(step));
  if (could_hold) {
    ++cause.evacuated;
    cause.evacuated_places = std::min(
        step.count, cause.evacuated_places +
                        CountPlaces(step, session.Room(),
                                    session.CountTasksOf(request.task.step)));
  }
}

// True if the step, or its gang, would have a place or at least a worker that
// could hold it without the evacuation.
bool IsHeldByEvacuation(const jobs::StepSpec& step, const WaitingCause& cause) {
  const std::uint32_t able =
      cause.at_limit + cause.without_room + cause.not_admitted;
  const std::uint32_t wanted = step.is_gang ? step.count : 1;
  const bool has_worker = cause.places > 0 || able > 0;
  return (!has_worker && cause.evacuated > 0) ||
         (cause.places < wanted &&
          cause.places + cause.evacuated_places >= wanted);
}

WaitingReason ReasonOf(const jobs::StepSpec& step, const WaitingCause& cause) {
  if (IsHeldByEvacuation(step, cause)) {
    return WaitingReason::kEvacuated;
  }
  if (cause.workers == 0) {
    return WaitingReason::kNoWorker;
  }
  if (cause.places > 0) {
    return step.is_gang ? WaitingReason::kGang : WaitingReason::kNear;
  }
  // Workers that are excluded by a later check are closer to a place, so the
  // last check that excludes any worker determines the reason.
  return cause.not_admitted > 0   ? WaitingReason::kPolicy
         : cause.without_room > 0 ? WaitingReason::kRoom
         : cause.at_limit > 0     ? WaitingReason::kLimit
         : cause.too_small > 0    ? WaitingReason::kTooSmall
                                  : WaitingReason::kLabel;
}

}  // namespace

std::string_view NameOf(WaitingReason reason) {
  switch (reason) {
    case WaitingReason::kUnseen:
      return "may-run-unseen";
    case WaitingReason::kQuota:
      return "quota";
    case WaitingReason::kEvacuated:
      return "evacuated";
    case WaitingReason::kNoWorker:
      return "no-worker";
    case WaitingReason::kLabel:
      return "label";
    case WaitingReason::kTooSmall:
      return "too-small";
    case WaitingReason::kLimit:
      return "limit-per-worker";
    case WaitingReason::kRoom:
      return "room";
    case WaitingReason::kPolicy:
      return "policy";
    case WaitingReason::kGang:
      return "gang";
    case WaitingReason::kNear:
      return "near-data";
  }
  return "";
}

std::string WaitingCause::ToText() const {
  return StrCat(
      this->workers, " workers: ", this->without_label, " without the label, ",
      this->too_small, " too small, ", this->at_limit, " at the limit, ",
      this->without_room, " without room, ", this->not_admitted,
      " not admitted; room for ", this->places,
      this->evacuated == 0
          ? ""
          : StrCat("; in evacuated data centres: ", this->evacuated,
                   " workers with room for ", this->evacuated_places));
}

WaitingCause FindWaitingCause(const PlacementRequest& request,
                              const Placement& placement,
                              const Placement::Sessions& fleet,
                              bool may_run_unseen,
                              SteadyTime now) {
  WaitingCause cause;
  std::int64_t all = 0;
  std::int64_t free = 0;
  for (const WorkerSession* session :
       placement.WorkersOf(request.job->service)) {
    ++cause.workers;
    all += session->worker().capacity.millicores;
    free += session->Room().millicores;
    CountWorker(request, *session, placement, now, cause);
  }
  for (const WorkerSession* session : placement.EvacuatedWorkers()) {
    CountEvacuated(request, *session, cause);
  }
  cause.reason =
      may_run_unseen ? WaitingReason::kUnseen : ReasonOf(request.step(), cause);
  cause.is_feasible = IsFeasible(request.step(), fleet);
  cause.is_half_free = 2 * free >= all;
  return cause;
}

}  // namespace sumac::scheduler
