// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/election_seed.h"

#include <gtest/gtest.h>

#include <set>

namespace sumac::replication {
namespace {

TEST(ElectionSeedTest, NoTwoStartsShareASeed) {
  std::set<std::uint64_t> seeds;
  constexpr int kStarts = 200;
  for (int start = 0; start < kStarts; ++start) {
    seeds.insert(DrawElectionSeed(NodeId("c1.1")));
    seeds.insert(DrawElectionSeed(NodeId("c2.1")));
  }
  EXPECT_EQ(seeds.size(), 2U * kStarts);
}

}  // namespace
}  // namespace sumac::replication
