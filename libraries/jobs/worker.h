// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_WORKER_H_
#define LIBRARIES_JOBS_WORKER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/jobs/resources.h"

namespace sumac::jobs {

// One incarnation of a worker's process, as it announced itself. The record is
// kept as long as anything may run on the worker.
struct Worker {
  WorkerId id;
  // The worker's name, which all its incarnations share.
  WorkerName name;
  // The start time of this incarnation by the worker's wall clock; the Unix
  // epoch if the worker reports none. Of two incarnations with the same name,
  // the one that started later is the current one.
  WallTime born{};
  // The instance that the worker runs on; it outlives the worker.
  InstanceName instance;
  ServiceName service;
  DataCentre data_centre;
  // The address at which the worker receives orders, as IP:PORT.
  std::string address;
  Resources capacity;
  Rack rack;
  // The worker's kind, its rack and other labels that tasks may require.
  std::vector<std::string> labels;
  // True if the worker will leave; no task is started on it any more.
  bool is_draining = false;
  // A number that grows with each announcement of this incarnation, so that a
  // late announcement is recognised.
  std::uint64_t sequence = 0;

  bool has_start_time() const { return this->born != WallTime{}; }
  // True if this incarnation shows that `other`, which has the same name, is
  // over.
  bool IsLaterThan(const Worker& other) const {
    return this->born > other.born;
  }
  bool has_label(std::string_view label) const {
    return std::find(this->labels.begin(), this->labels.end(), label) !=
           this->labels.end();
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("id", self.id);
    visitor.Field("name", self.name);
    visitor.Field("born", self.born);
    visitor.Field("instance", self.instance);
    visitor.Field("service", self.service);
    visitor.Field("data_centre", self.data_centre);
    visitor.Field("address", self.address);
    visitor.Field("capacity", self.capacity);
    visitor.Field("rack", self.rack);
    visitor.Field("labels", self.labels);
    visitor.Field("is_draining", self.is_draining);
    visitor.Field("sequence", self.sequence);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_WORKER_H_
