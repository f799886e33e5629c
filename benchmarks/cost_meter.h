// SPDX-License-Identifier: Apache-2.0
#ifndef BENCHMARKS_COST_METER_H_
#define BENCHMARKS_COST_METER_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "libraries/base/scope_guard.h"

namespace sumac::benchmarks {

// Counts the instructions that this thread carries out in user space, where the
// system lets a process count its own.
class InstructionCounter {
 public:
  InstructionCounter();

  bool is_available() const { return this->descriptor.is_open(); }
  // Since the counter was made; 0 where it is not available.
  std::uint64_t Read() const;

 private:
  FileDescriptor descriptor;
};

// Pieces of memory that the process has taken so far.
std::uint64_t CountAllocations();

// Adds up what the calls of one kind cost.
class CostMeter {
 public:
  explicit CostMeter(const InstructionCounter& instructions)
      : instructions(instructions) {}

  // Calls `work` and counts it as one call.
  template <typename Work>
  auto Measure(Work work) {
    const Reading before = this->Read();
    const ScopeGuard add([&] { this->Add(before); });
    return work();
  }

  // Writes the means a call into `line`, under names that begin with `prefix`.
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
