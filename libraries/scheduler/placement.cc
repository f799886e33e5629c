// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sumac::scheduler {
namespace {

// Of each service, one worker in this many, and at least one, may run tasks at
// a time that could crash it.
constexpr std::size_t kWorkersPerTrial = 4;

// Returns true if the worker accepts work, unless its data centre is evacuated.
bool WouldAcceptWork(const WorkerSession& session, SteadyTime now) {
  return !session.is_cordoned && session.IsUsable(now);
}

bool AcceptsWork(const WorkerSession& session, SteadyTime now) {
  return !session.is_evacuated && WouldAcceptWork(session, now);
}

}  // namespace

void Placement::BeginPass(Sessions& sessions,
                          SteadyTime now,
                          const std::set<WorkerId>& needed) {
  this->now = now;
  this->evacuated.clear();
  for (Pool& pool : this->pools) {
    pool.workers.clear();
    pool.quarantined.clear();
    pool.trials = 0;
    pool.largest_room = {};
    pool.capacity_millicores = 0;
    pool.free_millicores = 0;
    pool.failed_needs.clear();
  }
  for (auto& [id, session] : sessions) {
    if (!AcceptsWork(session, now)) {
      if (session.is_evacuated && WouldAcceptWork(session, now)) {
        this->evacuated.push_back(&session);
      }
      continue;
    }
    Pool& pool = this->PoolOf(session);
    if (session.trials() > 0) {
      ++pool.trials;
      continue;
    }
    session.is_slow = this->health.IsSlow(id, now);
    const bool is_kept =
        this->health.IsQuarantined(id, now) && !needed.contains(id);
    (is_kept ? pool.quarantined : pool.workers).push_back(&session);
  }
  for (Pool& pool : this->pools) {
    // A pool without a healthy worker uses its quarantined ones.
    if (pool.workers.empty()) {
      pool.workers.swap(pool.quarantined);
    }
    for (const WorkerSession* session : pool.workers) {
      const jobs::Resources room = session->Room();
      jobs::Resources& most = pool.largest_room;
      pool.capacity_millicores += session->worker().capacity.millicores;
      pool.free_millicores += room.millicores;
      most.millicores = std::max(most.millicores, room.millicores);
      most.memory_mb = std::max(most.memory_mb, room.memory_mb);
      most.accelerators = std::max(most.accelerators, room.accelerators);
    }
  }
  this->reserved.BeginPass(now);
  this->ReleaseLostReservations(sessions);
}

void Placement::ReleaseLostReservations(const Sessions& sessions) {
  std::vector<WorkerId> lost;
  for (const auto& [worker, reservation] : this->reserved.all()) {
    const auto session = sessions.find(worker);
    if (session == sessions.end() || !AcceptsWork(session->second, this->now) ||
        this->health.IsQuarantined(worker, this->now)) {
      lost.push_back(worker);
    }
  }
  for (const WorkerId& worker : lost) {
    this->reserved.Release(worker);
  }
}

bool Placement::IsReservedForOther(const PlacementRequest& request,
                                   const WorkerSession& session) const {
  const SteadyTime ends_at =
      request.expected ? this->now + *request.expected : SteadyTime::max();
  return !this->reserved.Admits(session.worker().id, request.task.step,
                                ends_at);
}

std::vector<const WorkerSession*> Placement::ListWorkersThatCouldHold(
    const PlacementRequest& request) const {
  const jobs::StepSpec& step = request.step();
  std::vector<const WorkerSession*> workers;
  for (const WorkerSession* session : this->WorkersOf(request.job->service)) {
    const jobs::Worker& worker = session->worker();
    if (worker.capacity.Holds(CountedNeed(step)) &&
        (step.required_label.empty() ||
         worker.has_label(step.required_label)) &&
        (step.most_per_worker == 0 ||
         session->CountTasksOf(request.task.step) < step.most_per_worker)) {
      workers.push_back(session);
    }
  }
  return workers;
}

Placement::Pool& Placement::PoolOf(const ServiceName& service) {
  const auto [number, is_new] =
      this->pool_numbers.try_emplace(service, this->pools.size());
  if (is_new) {
    this->pools.emplace_back();
  }
  return this->pools[number->second];
}

Placement::Pool& Placement::PoolOf(WorkerSession& session) {
  if (!session.pool_number) {
    this->PoolOf(session.worker().service);
    session.pool_number = this->pool_numbers.at(session.worker().service);
  }
  return this->pools[*session.pool_number];
}

const Placement::Pool* Placement::FindPool(const ServiceName& service) const {
  const auto number = this->pool_numbers.find(service);
  return number == this->pool_numbers.end() ? nullptr
                                            : &this->pools[number->second];
}

bool Placement::HasRoom(const ServiceName& service,
                        const jobs::Resources& need) const {
  const Pool* pool = this->FindPool(service);
  if (pool == nullptr || !pool->largest_room.Holds(need)) {
    return false;
  }
  const std::vector<jobs::Resources>& failed = pool->failed_needs;
  return std::none_of(
      failed.begin(), failed.end(),
      [&](const jobs::Resources& other) { return need.Holds(other); });
}

bool Placement::IsHalfFree(const ServiceName& service) const {
  const Pool* pool = this->FindPool(service);
  return pool != nullptr &&
         2 * pool->free_millicores >= pool->capacity_millicores;
}

bool Placement::HasTrialCapacity(const ServiceName& service) const {
  const Pool* pool = this->FindPool(service);
  if (pool == nullptr) {
    return false;
  }
  const std::size_t workers = pool->workers.size() + pool->trials;
  return pool->trials < std::max<std::size_t>(workers / kWorkersPerTrial, 1);
}

// Under overload hundreds of steps wait for a full pool. Without this record
// each of them would scan every worker in every planning pass.
void Placement::RecordFailedNeed(const PlacementRequest& request) const {
  const jobs::StepSpec& step = request.step();
  // Gangs are left out: their members reserve room only while the gang is being
  // placed, so a failure need not hold for the rest of the pass.
  const bool is_plain = step.required_label.empty() && !step.is_gang &&
                        step.most_per_worker == 0 &&
                        request.rack.value().empty() &&
                        request.other_than.value().empty() &&
                        request.advice == nullptr && !request.is_suspect;
  const Pool* pool = is_plain ? this->FindPool(request.job->service) : nullptr;
  if (pool == nullptr) {
    return;
  }
  // A few entries suffice, since a smaller need replaces the larger ones when
  // it fails.
  constexpr std::size_t kMaxNeeds = 8;
  std::vector<jobs::Resources>& failed = pool->failed_needs;
  const jobs::Resources need = CountedNeed(step);
  std::erase_if(
      failed, [&](const jobs::Resources& other) { return other.Holds(need); });
  if (failed.size() < kMaxNeeds) {
    failed.push_back(need);
  }
}

jobs::Resources Placement::CountedNeed(const jobs::StepSpec& step) {
  jobs::Resources need = step.need;
  if (step.is_filler) {
    need.millicores = 0;
  }
  return need;
}

bool Placement::Fits(const PlacementRequest& request,
                     const WorkerSession& session) {
  const jobs::StepSpec& step = request.step();
  if (session.trials() > 0 || !session.Room().Holds(CountedNeed(step))) {
    return false;
  }
  const jobs::Worker& worker = session.worker();
  if (worker.id == request.other_than ||
      (!request.rack.value().empty() && worker.rack != request.rack) ||
      (!step.required_label.empty() &&
       !worker.has_label(step.required_label))) {
    return false;
  }
  return step.most_per_worker == 0 ||
         session.CountTasksOf(request.task.step) < step.most_per_worker;
}

bool Placement::IsHealthy(const WorkerSession& session) const {
  const WorkerId& id = session.worker().id;
  return !this->health.IsQuarantined(id, this->now) &&
         !this->health.IsSlow(id, this->now);
}

bool Placement::IsNear(const jobs::StepSpec& step, const jobs::Worker& worker) {
  return step.data_rack.value().empty() ||
         worker.has_label(step.data_rack.value());
}

bool Placement::CanRunNearData(const PlacementRequest& request) const {
  const jobs::StepSpec& step = request.step();
  const std::vector<WorkerSession*>& workers =
      this->WorkersOf(request.job->service);
  return std::any_of(
      workers.begin(), workers.end(), [&](const WorkerSession* session) {
        const jobs::Worker& worker = session->worker();
        return IsNear(step, worker) && this->IsHealthy(*session) &&
               (step.required_label.empty() ||
                worker.has_label(step.required_label)) &&
               worker.capacity.Holds(CountedNeed(step));
      });
}

WorkerSession* Placement::Choose(const PlacementRequest& request) const {
  const jobs::StepSpec& step = request.step();
  const jobs::Resources need = CountedNeed(step);
  WorkerSession* best = nullptr;
  std::tuple<bool, bool, std::size_t, bool, std::uint32_t, std::uint32_t,
             std::int64_t>
      best_rank;
  for (WorkerSession* session : this->WorkersOf(request.job->service)) {
    if (!Fits(request, *session) ||
        this->IsReservedForOther(request, *session)) {
      continue;
    }
    const jobs::Worker& worker = session->worker();
    if (request.advice != nullptr &&
        request.advice->FindTicket(request.task.step, worker.id, this->now) ==
            nullptr) {
      continue;
    }
    const bool has_failed_there = request.memory != nullptr &&
                                  request.memory->failed_on.contains(worker.id);
    const bool is_far = !IsNear(step, worker);
    // Fillers slow down user-serving runs on the same worker.
    const std::uint32_t disturbed = step.is_filler ? session->serving_runs()
                                    : step.latency_target > Milliseconds(0)
                                        ? session->filler_runs()
                                        : 0;
    const std::size_t at_risk = request.is_suspect ? session->runs().size() : 0;
    const std::uint32_t domain =
        request.spread == nullptr ? 0
                                  : request.spread->RankOf(worker.data_centre);
    // The smallest rank wins. The criteria, the most important first: the task
    // has not failed on the worker, the worker is not slow, few runs are lost
    // if it crashes, the task's data is near, the loss of a data centre leaves
    // many of the step's tasks, few runs are disturbed, little room is left
    // over.
    const std::tuple rank(has_failed_there, session->is_slow, at_risk, is_far,
                          domain, disturbed,
                          session->Room().millicores - need.millicores);
    if (best == nullptr || rank < best_rank) {
      best = session;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    this->RecordFailedNeed(request);
  }
  return best;
}

const std::vector<WorkerSession*>& Placement::WorkersOf(
    const ServiceName& service) const {
  static const std::vector<WorkerSession*> kNone;
  const Pool* pool = this->FindPool(service);
  return pool == nullptr ? kNone : pool->workers;
}

std::vector<WorkerId> Placement::ListWorkersWithRoom(
    const PlacementRequest& request) const {
  std::vector<std::pair<std::int64_t, WorkerId>> order;
  for (const WorkerSession* session : this->WorkersOf(request.job->service)) {
    if (Fits(request, *session) &&
        !this->IsReservedForOther(request, *session)) {
      order.emplace_back(-session->Room().millicores, session->worker().id);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<WorkerId> workers;
  workers.reserve(order.size());
  for (const auto& [room, worker] : order) {
    workers.push_back(worker);
  }
  return workers;
}

std::set<Rack> Placement::RacksOf(const ServiceName& service) const {
  std::set<Rack> racks;
  for (const WorkerSession* session : this->WorkersOf(service)) {
    racks.insert(session->worker().rack);
  }
  return racks;
}

}  // namespace sumac::scheduler
