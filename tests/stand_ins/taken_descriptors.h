// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_TAKEN_DESCRIPTORS_H_
#define TESTS_STAND_INS_TAKEN_DESCRIPTORS_H_

#include <unistd.h>

#include <vector>

namespace sumac::stand_ins {

// Takes all file descriptors that this process may still open.
class TakenDescriptors {
 public:
  TakenDescriptors() {
    for (int copy = ::dup(STDIN_FILENO); copy >= 0;
         copy = ::dup(STDIN_FILENO)) {
      this->taken.push_back(copy);
    }
  }
  ~TakenDescriptors() { this->ReturnAll(); }
  TakenDescriptors(const TakenDescriptors&) = delete;
  TakenDescriptors& operator=(const TakenDescriptors&) = delete;

  void ReturnOne() {
    ::close(this->taken.back());
    this->taken.pop_back();
  }
  void ReturnAll() {
    while (!this->taken.empty()) {
      this->ReturnOne();
    }
  }

 private:
  std::vector<int> taken;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_TAKEN_DESCRIPTORS_H_
