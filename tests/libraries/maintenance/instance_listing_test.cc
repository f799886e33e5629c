// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_listing.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

const InstanceName kOne("m1");
const InstanceName kOther("m2");

SteadyTime At(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

std::vector<ListedInstance> Rows(const std::vector<InstanceName>& names) {
  std::vector<ListedInstance> rows;
  rows.reserve(names.size());
  for (const InstanceName& name : names) {
    rows.push_back({.name = name, .state = InstanceState::kUp});
  }
  return rows;
}

TEST(InstanceListingTest, NobodyIsGoneBeforeTwoLists) {
  InstanceListing listing;
  EXPECT_FALSE(listing.IsGone(kOne, At(0)));
  listing.RecordList({}, At(10));
  EXPECT_FALSE(listing.IsGone(kOne, At(0)));
  listing.RecordList({}, At(20));
  EXPECT_TRUE(listing.IsGone(kOne, At(0)));
}

TEST(InstanceListingTest, BothListsMustBeAskedForSinceThen) {
  InstanceListing listing;
  listing.RecordList({}, At(10));
  listing.RecordList({}, At(20));
  EXPECT_FALSE(listing.IsGone(kOne, At(10)));
  EXPECT_TRUE(listing.IsGone(kOne, At(9)));
}

TEST(InstanceListingTest, ARowIsKeptOverOneListThatLacksIt) {
  InstanceListing listing;
  listing.RecordList(Rows({kOne, kOther}), At(10));
  listing.RecordList(Rows({kOther}), At(20));
  EXPECT_TRUE(listing.rows().contains(kOne));
  EXPECT_EQ(listing.Find(kOne), nullptr);
  EXPECT_FALSE(listing.IsGone(kOne, At(0)));
  listing.RecordList(Rows({kOther}), At(30));
  EXPECT_FALSE(listing.rows().contains(kOne));
  EXPECT_TRUE(listing.IsGone(kOne, At(0)));
  EXPECT_NE(listing.Find(kOther), nullptr);
}

// A row without a name may be that of any instance.
TEST(InstanceListingTest, ListsWithNamelessRowsShowNobodyAsGone) {
  InstanceListing listing;
  listing.RecordList({}, At(10), true);
  listing.RecordList({}, At(20));
  EXPECT_FALSE(listing.IsGone(kOne, At(0)));
  listing.RecordList({}, At(30));
  EXPECT_TRUE(listing.IsGone(kOne, At(0)));
  listing.RecordList({}, At(40), true);
  EXPECT_TRUE(listing.has_nameless_rows());
  EXPECT_FALSE(listing.IsGone(kOne, At(0)));
}

TEST(InstanceListingTest, ARowThatComesAndGoesIsNeverGone) {
  InstanceListing listing;
  for (int round = 0; round < 6; ++round) {
    listing.RecordList(
        Rows(round % 2 == 0 ? std::vector{kOne} : std::vector{kOther}),
        At(round));
    EXPECT_FALSE(listing.IsGone(kOne, At(-1)));
  }
}

}  // namespace
}  // namespace sumac::maintenance
