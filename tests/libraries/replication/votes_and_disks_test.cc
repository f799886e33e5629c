// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>

#include "tests/libraries/replication/power_drawer.h"

namespace sumac::replication {
namespace {

// Guards against the loss of what was acknowledged, and of a group that can't
// elect a leader any more, when all machines lose power with as many disks as
// the platform may take at that moment.
RC_GTEST_PROP(VotesAndDisksProperty, WhatIsCommittedOutlivesLossesOfPower, ()) {
  // The whole range from the first draw on.
  const auto seed = *rc::gen::noShrink(rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)));
  const auto spares = *rc::gen::noShrink(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 3)));
  const std::string problem =
      PlayPowerHistory(seed, spares, PowerHistory::Limits::kCounted);
  if (!problem.empty()) {
    RC_FAIL(problem);
  }
}

}  // namespace
}  // namespace sumac::replication
