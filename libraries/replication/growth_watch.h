// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_GROWTH_WATCH_H_
#define LIBRARIES_REPLICATION_GROWTH_WATCH_H_

#include <cstddef>

#include "libraries/base/time.h"
#include "libraries/replication/types.h"

namespace sumac::replication {

// Decides for a leader whether a new group has grown far enough to accept its
// first command. What is committed has to outlive the tolerated losses. A
// machine that is down from the start never joins, and is one of these losses:
// the group must bear only the others. Machines that run join within the growth
// time, so those that have not joined by then count as lost. Pure.
class GrowthWatch {
 public:
  // How long a leader waits after the last change of the members. A machine
  // that runs asks to join several times in it.
  static constexpr Milliseconds kGrowthTime{3'000};

  // `tolerated_losses` is the number of machines that may be lost at the same
  // time.
  explicit GrowthWatch(std::size_t tolerated_losses);

  // Records the members that the leader of `term` sees now. Must be called at
  // least every kMaxStep while the leader may act: a longer pause is one of its
  // own process, in which nobody could join, and counts as kMaxStep.
  void Record(Term term, const Membership& members, SteadyTime now);

  // Returns true if a group of the recorded members may accept its first
  // command.
  bool IsGrown() const;

  // Returns the number of machines that have not joined.
  std::size_t CountMissing() const;

 private:
  static constexpr Milliseconds kMaxStep{100};

  std::size_t tolerated_losses;
  Term term;
  Membership members;
  // The time since the last change of the term or the members.
  Milliseconds unchanged{0};
  SteadyTime recorded_at{};
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_GROWTH_WATCH_H_
