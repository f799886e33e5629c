// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/need_history.h"

#include <algorithm>

namespace sumac::maintenance {
namespace {

// The length of one span. It bounds the number of values of a pool.
constexpr Milliseconds kSpan{250};

}  // namespace

void NeedHistory::Record(std::int64_t instances,
                         Milliseconds oldest,
                         SteadyTime now) {
  if (!this->began_at) {
    this->began_at = now;
  }
  while (!this->spans.empty() && now - this->spans.front().end > oldest) {
    this->spans.pop_front();
  }
  if (this->spans.empty() || now - this->spans.back().begin >= kSpan) {
    this->spans.push_back(Span{.begin = now, .end = now});
  }
  Span& span = this->spans.back();
  span.end = now;
  span.highest = std::max(span.highest, instances);
}

std::int64_t NeedHistory::HighestWithin(Milliseconds time,
                                        SteadyTime now) const {
  std::int64_t highest = 0;
  for (const Span& span : this->spans) {
    if (now - span.end <= time) {
      highest = std::max(highest, span.highest);
    }
  }
  return highest;
}

}  // namespace sumac::maintenance
