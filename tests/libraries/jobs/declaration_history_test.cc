// SPDX-License-Identifier: Apache-2.0
// Guards against declarations that are confirmed and then not the ones that
// decide, through any losses that a group of controllers bears.
#include "tests/libraries/jobs/declaration_history.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace sumac::jobs {
namespace {

constexpr int kEvents = 240;
// A planted fault must show within this many histories.
constexpr std::uint64_t kPlantedSeeds = 60;

// The number of histories; more can be asked for by hand.
std::uint64_t SeedCount() {
  const char* text = std::getenv("SUMAC_HISTORIES");
  return text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
}

TEST(DeclarationHistoryTest, OneDeclarationDecidesOnEachRequest) {
  DeclarationHistory::Counts least_wanted{.confirmed_declarations = 100,
                                          .reads = 100,
                                          .taken_submissions = 100,
                                          .refusals_by_declaration = 20,
                                          .decided_later = 20};
  DeclarationHistory::Counts total;
  std::size_t changes_of_leader = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    DeclarationHistory history(seed, Plant::kNone);
    EXPECT_EQ(history.Play(kEvents), "") << "seed " << seed;
    const DeclarationHistory::Counts& counts = history.counts();
    total.confirmed_declarations += counts.confirmed_declarations;
    total.reads += counts.reads;
    total.taken_submissions += counts.taken_submissions;
    total.refusals_by_declaration += counts.refusals_by_declaration;
    total.decided_later += counts.decided_later;
    changes_of_leader += counts.leaders.size();
  }
  EXPECT_GE(total.confirmed_declarations, least_wanted.confirmed_declarations);
  EXPECT_GE(total.reads, least_wanted.reads);
  EXPECT_GE(total.taken_submissions, least_wanted.taken_submissions);
  EXPECT_GE(total.refusals_by_declaration,
            least_wanted.refusals_by_declaration);
  EXPECT_GE(total.decided_later, least_wanted.decided_later);
  EXPECT_GE(changes_of_leader, 2 * SeedCount());
}

class PlantedFaultTest : public testing::TestWithParam<Plant> {};

TEST_P(PlantedFaultTest, IsFound) {
  for (std::uint64_t seed = 1; seed <= kPlantedSeeds; ++seed) {
    if (!DeclarationHistory(seed, this->GetParam()).Play(kEvents).empty()) {
      return;
    }
  }
  FAIL() << "not found in " << kPlantedSeeds << " histories";
}

INSTANTIATE_TEST_SUITE_P(EachPart,
                         PlantedFaultTest,
                         testing::Values(Plant::kDecidesWhenRead,
                                         Plant::kRefusesRepetition,
                                         Plant::kTakesOtherContent,
                                         Plant::kReadsWithoutLease,
                                         Plant::kForgetsInSnapshots,
                                         Plant::kTakesInvalid,
                                         Plant::kSilentAtTheEnd,
                                         Plant::kTakesAnyId));

}  // namespace
}  // namespace sumac::jobs
