// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/fair_division.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

const ServiceName kFirst("first");
const ServiceName kSecond("second");
const ServiceName kThird("third");

TEST(FairDivisionTest, EachPoolGetsWhatItWantsWhileThereIsEnough) {
  const std::map<ServiceName, std::int64_t> wants = {{kFirst, 5}, {kSecond, 3}};
  EXPECT_EQ(DivideFairly(wants, 8), wants);
  EXPECT_EQ(DivideFairly(wants, 20), wants);
}

TEST(FairDivisionTest, APoolThatWantsLittleGetsItAndTheOthersGetEqualNumbers) {
  const auto parts =
      DivideFairly({{kFirst, 100}, {kSecond, 4}, {kThird, 40}}, 24);
  EXPECT_EQ(parts.at(kSecond), 4);
  EXPECT_EQ(parts.at(kFirst), 10);
  EXPECT_EQ(parts.at(kThird), 10);
}

TEST(FairDivisionTest, NoInstanceIsLeftOverAndNoneIsCountedTwice) {
  for (std::int64_t instances = 0; instances < 30; ++instances) {
    std::int64_t sum = 0;
    for (const auto& [pool, part] :
         DivideFairly({{kFirst, 11}, {kSecond, 7}, {kThird, 12}}, instances)) {
      sum += part;
    }
    EXPECT_EQ(sum, instances);
  }
}

TEST(FairDivisionTest, WithoutInstancesOrPoolsNobodyGetsAny) {
  EXPECT_TRUE(DivideFairly({}, 5).empty());
  EXPECT_EQ(DivideFairly({{kFirst, 3}}, -1).at(kFirst), 0);
}

}  // namespace
}  // namespace sumac::maintenance
