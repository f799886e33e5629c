// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/starvation.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// Returns true if whether the step has a place depends only on its service, its
// label and its need.
bool IsPlain(const jobs::StepSpec& step) {
  return !step.is_gang && step.most_per_worker == 0;
}

}  // namespace

void Starvation::Begin(const Placement::Sessions& sessions, SteadyTime now) {
  this->reviewed_at = now;
  this->kept.clear();
  this->covered.clear();
  for (const auto& [id, session] : sessions) {
    if (this->IsKept(session, now) && !session.is_evacuated &&
        session.IsUsable(now)) {
      this->kept.push_back(&session);
    }
  }
}

// Returns true if the worker has room for a task of the step once all runs
// there that end by themselves have ended.
bool Starvation::WillHaveRoom(const PlacementRequest& request,
                              const WorkerSession& session) const {
  const jobs::StepSpec& step = request.step();
  const jobs::Worker& worker = session.worker();
  if (!step.required_label.empty() && !worker.has_label(step.required_label)) {
    return false;
  }
  jobs::Resources room = worker.capacity;
  std::uint32_t of_step = 0;
  for (const auto& [key, run] : session.runs()) {
    const jobs::StepSpec* other = this->state.FindStep(run.task);
    if (other != nullptr && other->is_long_running) {
      room.millicores -= run.need.millicores;
      room.memory_mb -= run.need.memory_mb;
      room.accelerators -= run.need.accelerators;
      of_step += run.task.step == request.task.step ? 1 : 0;
    }
  }
  return room.Holds(Placement::CountedNeed(step)) &&
         (step.most_per_worker == 0 || of_step < step.most_per_worker);
}

bool Starvation::HasOtherPlace(const PlacementRequest& request,
                               const Placement& placement) const {
  const jobs::StepSpec& step = request.step();
  // The members of a gang need their places at the same time.
  std::uint32_t missing = step.is_gang ? step.count : 1;
  for (const WorkerSession* session :
       placement.WorkersOf(request.job->service)) {
    if (!this->IsKept(*session, this->reviewed_at) &&
        this->WillHaveRoom(request, *session) && --missing == 0) {
      return true;
    }
  }
  return false;
}

bool Starvation::IsCovered(const PlacementRequest& request) const {
  const jobs::StepSpec& step = request.step();
  const auto found =
      this->covered.find({request.job->service, step.required_label});
  if (found == this->covered.end() || !IsPlain(step)) {
    return false;
  }
  const jobs::Resources need = Placement::CountedNeed(step);
  return std::any_of(
      found->second.begin(), found->second.end(),
      [&](const jobs::Resources& other) { return other.Holds(need); });
}

void Starvation::RecordStep(const PlacementRequest& request,
                            const Placement& placement) {
  std::vector<WorkerId> workers;
  for (const WorkerSession* session : this->kept) {
    if (session->worker().service == request.job->service &&
        Placement::Fits(request, *session)) {
      workers.push_back(session->worker().id);
    }
  }
  if (workers.empty()) {
    return;
  }
  if (this->HasOtherPlace(request, placement)) {
    const jobs::StepSpec& step = request.step();
    if (IsPlain(step)) {
      this->covered[{request.job->service, step.required_label}].push_back(
          Placement::CountedNeed(step));
    }
    return;
  }
  Wait& wait =
      this->waits
          .try_emplace(request.task.step, Wait{.since = this->reviewed_at})
          .first->second;
  wait.seen_at = this->reviewed_at;
  wait.workers = std::move(workers);
}

void Starvation::End() {
  std::erase_if(this->waits, [this](const auto& item) {
    return item.second.seen_at != this->reviewed_at;
  });
  this->needed_workers.clear();
  for (const auto& [step, wait] : this->waits) {
    if (this->reviewed_at - wait.since >= kPatience) {
      this->needed_workers.insert(wait.workers.begin(), wait.workers.end());
    }
  }
}

}  // namespace sumac::scheduler
