// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/reservations.h"

#include <algorithm>
#include <utility>

namespace sumac::scheduler {

void Reservations::BeginPass(SteadyTime now) {
  for (auto& [name, service] : this->services) {
    std::erase_if(service.waits, [&](const Wait& wait) {
      return now - wait.last_asked > this->settings.forgotten_after;
    });
    for (Wait& wait : service.waits) {
      wait.is_waiting = false;
    }
  }
  std::erase_if(this->reserved, [&](const auto& item) {
    const Reservation& reservation = item.second;
    const std::vector<Wait>& waits = this->services[reservation.service].waits;
    const bool is_wanted = std::any_of(
        waits.begin(), waits.end(),
        [&](const Wait& wait) { return wait.step == reservation.step; });
    return !is_wanted || now - reservation.made_at > this->settings.max_age;
  });
}

// Returns the step's entry, or null if the table is full of others.
Reservations::Wait* Reservations::FindOrAdd(Service& service,
                                            const jobs::StepId& step,
                                            const jobs::Resources& need) {
  for (Wait& wait : service.waits) {
    if (wait.step == step) {
      return &wait;
    }
  }
  if (service.waits.size() < this->settings.max_waits) {
    return &service.waits.emplace_back(Wait{.step = step, .need = need});
  }
  // A larger task is the more easily passed over and takes the place of a
  // smaller one.
  const auto smaller = std::find_if(
      service.waits.begin(), service.waits.end(), [&](const Wait& wait) {
        return !wait.passed_over_since && need != wait.need &&
               need.Holds(wait.need);
      });
  if (smaller == service.waits.end()) {
    return nullptr;
  }
  *smaller = Wait{.step = step, .need = need};
  return &*smaller;
}

bool Reservations::RecordWait(const ServiceName& service,
                              const jobs::StepId& step,
                              const jobs::Resources& need,
                              std::size_t workers,
                              SteadyTime now) {
  Service& known = this->services[service];
  if (!known.has_start || known.smallest_start.Holds(need)) {
    return false;
  }
  Wait* wait = this->FindOrAdd(known, step, need);
  if (wait == nullptr) {
    return false;
  }
  wait->last_asked = now;
  wait->is_waiting = true;
  const std::size_t most = std::max<std::size_t>(
      workers / this->settings.workers_per_reservation, 1);
  return wait->passed_over_since &&
         now - *wait->passed_over_since >= this->settings.patience &&
         !this->HasReservation(step) && this->CountReserved(service) < most;
}

void Reservations::RecordStart(const ServiceName& service,
                               const jobs::StepId& step,
                               const jobs::Resources& need,
                               SteadyTime now) {
  Service& known = this->services[service];
  if (!known.has_start || known.smallest_start.Holds(need) ||
      now - known.smallest_at > this->settings.forgotten_after) {
    known.smallest_start = need;
    known.smallest_at = now;
    known.has_start = true;
  }
  std::erase_if(known.waits,
                [&](const Wait& wait) { return wait.step == step; });
  std::erase_if(this->reserved,
                [&](const auto& item) { return item.second.step == step; });
  for (Wait& wait : known.waits) {
    if (wait.is_waiting && !wait.passed_over_since && need != wait.need &&
        wait.need.Holds(need)) {
      wait.passed_over_since = now;
    }
  }
}

std::optional<SteadyTime> Reservations::FindFit(const jobs::Resources& need,
                                                const ReservableWorker& worker,
                                                SteadyTime now) {
  jobs::Resources room = worker.room;
  if (room.Holds(need)) {
    return now;
  }
  std::vector<ExpectedEnd> ends = worker.ends;
  std::sort(ends.begin(), ends.end(),
            [](const ExpectedEnd& left, const ExpectedEnd& right) {
              return left.at < right.at;
            });
  for (const ExpectedEnd& end : ends) {
    room.Add(end.need);
    if (room.Holds(need)) {
      return std::max(end.at, now);
    }
  }
  return std::nullopt;
}

const ReservableWorker* Reservations::Reserve(
    const ServiceName& service,
    const jobs::StepId& step,
    const std::vector<ReservableWorker>& workers,
    SteadyTime now) {
  Service& known = this->services[service];
  const auto wait =
      std::find_if(known.waits.begin(), known.waits.end(),
                   [&](const Wait& other) { return other.step == step; });
  if (wait == known.waits.end()) {
    return nullptr;
  }
  // The step is passed over anew if this reservation ends without a start.
  wait->passed_over_since.reset();
  const ReservableWorker* best = nullptr;
  SteadyTime best_fit{};
  for (const ReservableWorker& worker : workers) {
    const auto fit = FindFit(wait->need, worker, now);
    if (fit && !this->reserved.contains(worker.id) &&
        (best == nullptr || *fit < best_fit)) {
      best = &worker;
      best_fit = *fit;
    }
  }
  if (best != nullptr) {
    this->reserved[best->id] = {
        .service = service, .step = step, .made_at = now, .fits_at = best_fit};
  }
  return best;
}

void Reservations::Release(const WorkerId& worker) {
  this->reserved.erase(worker);
}

bool Reservations::Admits(const WorkerId& worker,
                          const jobs::StepId& step,
                          SteadyTime ends_at) const {
  if (this->reserved.empty()) {
    return true;
  }
  const auto found = this->reserved.find(worker);
  return found == this->reserved.end() || found->second.step == step ||
         ends_at <= found->second.fits_at;
}

bool Reservations::HasReservation(const jobs::StepId& step) const {
  return std::any_of(
      this->reserved.begin(), this->reserved.end(),
      [&](const auto& item) { return item.second.step == step; });
}

std::size_t Reservations::CountReserved(const ServiceName& service) const {
  return static_cast<std::size_t>(std::count_if(
      this->reserved.begin(), this->reserved.end(),
      [&](const auto& item) { return item.second.service == service; }));
}

}  // namespace sumac::scheduler
