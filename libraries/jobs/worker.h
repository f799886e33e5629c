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

// One life of a worker's process, as it announced itself. Kept as long as
// anything may run there.
struct Worker {
  WorkerId id;
  // Its lives share it.
  WorkerName name;
  // When this life began, by the worker's time of day; the epoch if it doesn't
  // tell. Of two lives with one name the one that began later is the present
  // one.
  WallTime born{};
  // The instance that it runs on; the instance outlives it.
  InstanceName instance;
  ServiceName service;
  DataCentre data_centre;
  // Where it takes orders, as IP:PORT.
  std::string address;
  Resources capacity;
  Rack rack;
  // Its kind, its rack and whatever else tasks may require.
  std::vector<std::string> labels;
  // It will leave: nothing is started there any more.
  bool is_draining = false;
  // Grows with each announcement of this life, so that a late one is known.
  std::uint64_t sequence = 0;

  bool has_start_time() const { return this->born != WallTime{}; }
  // True if this life shows that the other one, of the same name, is over.
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
