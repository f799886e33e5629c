// SPDX-License-Identifier: Apache-2.0
#ifndef BENCHMARKS_COST_METER_H_
#define BENCHMARKS_COST_METER_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "libraries/base/scope_guard.h"

namespace sumac::benchmarks {

// Counts the instructions that this thread executes in user space, if the
// system lets a process count its own.
class InstructionCounter {
 public:
  InstructionCounter();

  bool is_available() const { return this->descriptor.is_open(); }
  // Returns the count since the counter was created; 0 if it is not available.
  std::uint64_t Read() const;

 private:
  FileDescriptor descriptor;
};

// Returns the number of memory allocations by the process so far.
std::uint64_t CountAllocations();

// Sums up the time, allocations and instructions of the calls of one kind.
class CostMeter {
 public:
  explicit CostMeter(const InstructionCounter& instructions)
      : instructions(instructions) {}

  // Calls `work` and adds its cost as that of one call.
  template <typename Work>
  auto Measure(Work work) {
    const Reading before = this->Read();
    const ScopeGuard add([&] { this->Add(before); });
    return work();
  }

  // Writes the mean costs of a call into `line`, under names that begin with
  // `prefix`.
  void Write(const std::string& prefix, nlohmann::json& line) const;

 private:
  struct Reading {
    std::chrono::steady_clock::time_point at;
    std::uint64_t allocations = 0;
    std::uint64_t instructions = 0;
  };

  Reading Read() const;
  void Add(const Reading& before);

  const InstructionCounter& instructions;
  std::uint64_t calls = 0;
  std::chrono::nanoseconds time{0};
  std::uint64_t allocation_count = 0;
  std::uint64_t instruction_count = 0;
};

}  // namespace sumac::benchmarks

#endif  // BENCHMARKS_COST_METER_H_
