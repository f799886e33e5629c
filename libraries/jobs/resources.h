// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_RESOURCES_H_
#define LIBRARIES_JOBS_RESOURCES_H_

#include <cstdint>

namespace sumac::jobs {

// An amount of resources that an instance has or a task needs.
struct Resources {
  // Processor time, in thousandths of a core.
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  // True if `need` fits into this amount.
  bool Holds(const Resources& need) const {
    return need.millicores <= this->millicores &&
           need.memory_mb <= this->memory_mb &&
           need.accelerators <= this->accelerators;
  }
  void Add(const Resources& other) {
    this->millicores += other.millicores;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
  }
  Resources Times(std::int64_t count) const {
    return {.millicores = this->millicores * count,
            .memory_mb = this->memory_mb * count,
            .accelerators = this->accelerators * count};
  }
  void Subtract(const Resources& other) {
    this->millicores -= other.millicores;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("millicores", self.millicores);
    visitor.Field("memory_mb", self.memory_mb);
    visitor.Field("accelerators", self.accelerators);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_RESOURCES_H_
