// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <cstdlib>
#include <new>

#include "benchmarks/cost_meter.h"

namespace {

std::atomic<std::uint64_t> allocation_total{0};

}  // namespace

// Replaces the standard library's operator, to count allocations.
void* operator new(std::size_t size) {
  allocation_total.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size == 0 ? 1 : size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace sumac::benchmarks {

std::uint64_t CountAllocations() {
  return allocation_total.load(std::memory_order_relaxed);
}

}  // namespace sumac::benchmarks
