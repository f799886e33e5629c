// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_JOB_NUMBERS_H_
#define LIBRARIES_SCHEDULER_JOB_NUMBERS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace sumac::scheduler {

// A set of job numbers that is filled first and queried afterwards. A std::set
// would allocate memory for each element in every planning pass.
class JobNumbers {
 public:
  explicit JobNumbers(std::size_t expected) { this->all.reserve(expected); }

  void Add(std::uint64_t number) { this->all.push_back(number); }
  // Must be called between the last Add and the first contains.
  void Sort() { std::sort(this->all.begin(), this->all.end()); }
  bool contains(std::uint64_t number) const {
    return std::binary_search(this->all.begin(), this->all.end(), number);
  }

 private:
  std::vector<std::uint64_t> all;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_JOB_NUMBERS_H_
