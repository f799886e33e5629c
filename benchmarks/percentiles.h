// SPDX-License-Identifier: Apache-2.0
#ifndef BENCHMARKS_PERCENTILES_H_
#define BENCHMARKS_PERCENTILES_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace sumac::benchmarks {

using Microseconds = std::chrono::microseconds;

// Returns the quantile of the sorted values, with `quantile` from 0 to 1; 0 if
// there are no values.
inline Microseconds ValueAt(const std::vector<Microseconds>& sorted,
                            double quantile) {
  if (sorted.empty()) {
    return Microseconds(0);
  }
  const auto place =
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return sorted[std::min(place, sorted.size() - 1)];
}

// Adds p50, p99, p99.9 and the maximum of `values` to `line`, in milliseconds
// and under names that begin with `prefix`.
inline void AddPercentiles(nlohmann::json& line,
                           const std::string& prefix,
                           std::vector<Microseconds> values) {
  std::sort(values.begin(), values.end());
  const auto milliseconds = [](Microseconds value) {
    return static_cast<double>(value.count()) / 1'000;
  };
  line[prefix + "_p50_ms"] = milliseconds(ValueAt(values, 0.5));
  line[prefix + "_p99_ms"] = milliseconds(ValueAt(values, 0.99));
  line[prefix + "_p999_ms"] = milliseconds(ValueAt(values, 0.999));
  line[prefix + "_max_ms"] = milliseconds(ValueAt(values, 1));
}

}  // namespace sumac::benchmarks

#endif  // BENCHMARKS_PERCENTILES_H_
