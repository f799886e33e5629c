// SPDX-License-Identifier: Apache-2.0
#include "benchmarks/cost_meter.h"

#include <linux/perf_event.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

namespace sumac::benchmarks {
namespace {

FileDescriptor OpenInstructionCounter() {
  perf_event_attr attributes{};
  attributes.type = PERF_TYPE_HARDWARE;
  attributes.size = sizeof(attributes);
  attributes.config = PERF_COUNT_HW_INSTRUCTIONS;
  attributes.exclude_kernel = 1;
  attributes.exclude_hv = 1;
  return FileDescriptor(static_cast<int>(
      ::syscall(SYS_perf_event_open, &attributes, 0, -1, -1, 0)));
}

}  // namespace

InstructionCounter::InstructionCounter()
    : descriptor(OpenInstructionCounter()) {}

std::uint64_t InstructionCounter::Read() const {
  std::uint64_t count = 0;
  const bool is_read =
      this->is_available() &&
      ::read(this->descriptor.get(), &count, sizeof(count)) == sizeof(count);
  return is_read ? count : 0;
}

CostMeter::Reading CostMeter::Read() const {
  return {std::chrono::steady_clock::now(), CountAllocations(),
          this->instructions.Read()};
}

void CostMeter::Add(const Reading& before) {
  const Reading after = this->Read();
  ++this->calls;
  this->time += after.at - before.at;
  this->allocation_count += after.allocations - before.allocations;
  this->instruction_count += after.instructions - before.instructions;
}

void CostMeter::Write(const std::string& prefix, nlohmann::json& line) const {
  const auto mean = [this](std::uint64_t sum) {
    return std::lround(
        static_cast<double>(sum) /
        static_cast<double>(std::max<std::uint64_t>(this->calls, 1)));
  };
  line[prefix + "_count"] = this->calls;
  line[prefix + "_ns"] = mean(static_cast<std::uint64_t>(this->time.count()));
  line[prefix + "_allocations"] = mean(this->allocation_count);
  if (this->instructions.is_available()) {
    line[prefix + "_instructions"] = mean(this->instruction_count);
  }
}

}  // namespace sumac::benchmarks
