// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/growth_watch.h"

#include <algorithm>

#include "libraries/replication/quorum.h"

namespace sumac::replication {

GrowthWatch::GrowthWatch(std::size_t tolerated_losses)
    : tolerated_losses(tolerated_losses) {}

void GrowthWatch::Record(Term current_term,
                         const Membership& current_members,
                         SteadyTime now) {
  if (current_term != this->term || current_members != this->members) {
    this->term = current_term;
    this->members = current_members;
    this->unchanged = Milliseconds(0);
  } else {
    this->unchanged += std::min(now - this->recorded_at, kMaxStep);
  }
  this->recorded_at = now;
}

std::size_t GrowthWatch::CountMissing() const {
  const std::size_t wanted = 2 * this->tolerated_losses + 1;
  return wanted - std::min(this->members.voters.size(), wanted);
}

bool GrowthWatch::IsGrown() const {
  const std::size_t missing = this->CountMissing();
  if (missing == 0) {
    return true;
  }
  return this->unchanged >= kGrowthTime && missing <= this->tolerated_losses &&
         CountBorneLosses(this->members) + missing >= this->tolerated_losses;
}

}  // namespace sumac::replication
