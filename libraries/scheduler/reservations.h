// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_RESERVATIONS_H_
#define LIBRARIES_SCHEDULER_RESERVATIONS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/resources.h"
#include "libraries/jobs/task_id.h"

namespace sumac::scheduler {

struct ReservationSettings {
  // How long a step is passed over before a worker is reserved for it. Short
  // tasks take about a second, so a step that has found no room by chance finds
  // some within this time.
  Milliseconds patience{500};
  // How long a worker is reserved for one step. After it the step has to be
  // passed over again.
  Milliseconds max_age{5'000};
  // How long a step is remembered that no longer asks for a place.
  Milliseconds forgotten_after{1'000};
  // Of each service, one worker in this many, and at least one, may be
  // reserved.
  std::size_t workers_per_reservation = 8;
  // The maximum number of waiting steps that are remembered of each service;
  // bounds the time of a decision.
  std::size_t max_waits = 8;
};

// A task that runs on a worker and the time at which it is expected to end.
struct ExpectedEnd {
  SteadyTime at{};
  jobs::Resources need;
};

// A worker that could hold a task of a step if it were idle.
struct ReservableWorker {
  WorkerId id;
  // What is free there now.
  jobs::Resources room;
  // Tasks that never end by themselves are left out.
  std::vector<ExpectedEnd> ends;
};

// Reserves workers for steps with large tasks under a load of small ones that
// exceeds the room. Each small task that ends leaves room for another small one
// only, so that without reservations a task that needs most of a worker never
// starts. A step is passed over if a task with a smaller need is started after
// the step found no room, although the step is the more urgent one. A step that
// has been passed over for some time gets one worker, the one that is expected
// to have room for it first. Until the step starts, only tasks that are
// expected to end before that time may start there (backfilling). Pure.
class Reservations {
 public:
  explicit Reservations(ReservationSettings settings = {})
      : settings(settings) {}

  // Begins a planning pass. Drops reservations that are too old and steps that
  // have stopped asking.
  void BeginPass(SteadyTime now);

  // Records that a step found no room in this pass. Must be called in the order
  // of urgency, mixed with the calls of RecordStart. Returns true if a worker
  // should be reserved for the step, of a service with `workers` workers.
  bool RecordWait(const ServiceName& service,
                  const jobs::StepId& step,
                  const jobs::Resources& need,
                  std::size_t workers,
                  SteadyTime now);

  // Records that a task of a step is started. The step's own reservation ends.
  void RecordStart(const ServiceName& service,
                   const jobs::StepId& step,
                   const jobs::Resources& need,
                   SteadyTime now);

  // Reserves the best of the workers for a step for which RecordWait returned
  // true. Returns null if none of them will have room.
  const ReservableWorker* Reserve(const ServiceName& service,
                                  const jobs::StepId& step,
                                  const std::vector<ReservableWorker>& workers,
                                  SteadyTime now);

  // Ends the reservation of a worker, if there is one.
  void Release(const WorkerId& worker);

  // Returns true if a task of the step that is expected to end at `ends_at` may
  // start on the worker.
  bool Admits(const WorkerId& worker,
              const jobs::StepId& step,
              SteadyTime ends_at) const;
  // Returns true if some worker is reserved for the step.
  bool HasReservation(const jobs::StepId& step) const;

  // The reserved workers, with the steps that they are reserved for.
  struct Reservation {
    ServiceName service;
    jobs::StepId step;
    SteadyTime made_at{};
    // When the step's task is expected to fit.
    SteadyTime fits_at{};
  };
  const std::unordered_map<WorkerId, Reservation>& all() const {
    return this->reserved;
  }

  // Returns when a task with this need is expected to fit on the worker, or
  // nothing if it never will.
  static std::optional<SteadyTime> FindFit(const jobs::Resources& need,
                                           const ReservableWorker& worker,
                                           SteadyTime now);

 private:
  struct Wait {
    jobs::StepId step;
    jobs::Resources need;
    SteadyTime last_asked{};
    // Whether the step found no room in this pass.
    bool is_waiting = false;
    std::optional<SteadyTime> passed_over_since;
  };
  struct Service {
    std::vector<Wait> waits;
    // The smallest need of a task that was started recently. A step that needs
    // no more than that is never passed over.
    jobs::Resources smallest_start;
    SteadyTime smallest_at{};
    bool has_start = false;
  };

  Wait* FindOrAdd(Service& service,
                  const jobs::StepId& step,
                  const jobs::Resources& need);
  std::size_t CountReserved(const ServiceName& service) const;

  ReservationSettings settings;
  std::map<ServiceName, Service> services;
  std::unordered_map<WorkerId, Reservation> reserved;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_RESERVATIONS_H_
