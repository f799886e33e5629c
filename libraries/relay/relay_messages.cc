// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_messages.h"

namespace sumac::relay {

RelayCounts& RelayCounts::operator+=(const RelayCounts& other) {
  this->calls += other.calls;
  this->batches += other.batches;
  this->answers += other.answers;
  this->answer_batches += other.answer_batches;
  this->lost += other.lost;
  return *this;
}

RelayCounts RelayCounts::operator-(const RelayCounts& other) const {
  return {this->calls - other.calls, this->batches - other.batches,
          this->answers - other.answers,
          this->answer_batches - other.answer_batches, this->lost - other.lost};
}

}  // namespace sumac::relay
