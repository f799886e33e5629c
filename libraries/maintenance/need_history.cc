// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/need_history.h"

#include <algorithm>

namespace sumac::maintenance {
namespace {

// The length of one span: less than the time that an instance takes to move.
constexpr Milliseconds kSpan{1'000};

}  // namespace

void NeedHistory::Record(std::int64_t instances,
                         Milliseconds oldest,
                         SteadyTime now) {
  if (!this->began_at) {
    this->began_at = now;
    this->span_began = now;
  }
  while (!this->spans.empty() && now - this->spans.front().end > oldest) {
    this->spans.pop_front();
  }
  if (now - this->span_began >= kSpan) {
    this->spans.push_back(
        Span{now, this->sum / std::max<std::int64_t>(1, this->records)});
    this->span_began = now;
    this->sum = 0;
    this->records = 0;
  }
  this->sum += instances;
  ++this->records;
}

std::int64_t NeedHistory::HighestWithin(Milliseconds time,
                                        SteadyTime now) const {
  std::int64_t highest = 0;
  for (const Span& span : this->spans) {
    if (now - span.end <= time) {
      highest = std::max(highest, span.mean);
    }
  }
  return highest;
}

}  // namespace sumac::maintenance
