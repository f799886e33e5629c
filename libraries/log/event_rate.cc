// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/event_rate.h"

#include <utility>

namespace sumac {
namespace {

constexpr Milliseconds kSecond{1'000};

}  // namespace

void EventRate::BeginSecond(SteadyTime now) {
  if (now - this->second_start >= kSecond) {
    this->second_start = now;
    this->seen.clear();
  }
}

bool EventRate::Admit(std::string_view event, SteadyTime now) {
  this->BeginSecond(now);
  auto found = this->seen.find(event);
  if (found == this->seen.end()) {
    found = this->seen.emplace(std::string(event), 0).first;
  }
  if (found->second < this->max_per_second) {
    ++found->second;
    return true;
  }
  ++this->left_out[found->first];
  return false;
}

EventRate::Counts EventRate::TakeLeftOut(SteadyTime now) {
  if (this->left_out.empty() || now - this->second_start < kSecond) {
    return {};
  }
  return std::exchange(this->left_out, {});
}

}  // namespace sumac
