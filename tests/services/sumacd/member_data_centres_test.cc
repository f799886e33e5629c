// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/member_data_centres.h"

#include <gtest/gtest.h>

namespace sumac::daemon {
namespace {

const replication::NodeId kFirst("10.0.0.1:1.1");
const replication::NodeId kSecond("10.0.0.2:1.1");
const replication::NodeId kSecondAgain("10.0.0.2:1.2");
const ProcessName kFirstProcess("10.0.0.1:1");
const ProcessName kSecondProcess("10.0.0.2:1");

SteadyTime At(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

class MemberDataCentresTest : public testing::Test {
 protected:
  MemberDataCentres members{{DataCentre("dc-a"), DataCentre("dc-b")},
                            kFirstProcess,
                            DataCentre("dc-a")};
  const replication::Membership group{{kFirst, kSecond}, {kSecondAgain}};
};

TEST_F(MemberDataCentresTest, EachProcessIsAskedUntilItHasAnswered) {
  EXPECT_EQ(this->members.TakeDue(this->group, At(10'000)),
            std::vector{kSecondProcess});
  EXPECT_TRUE(this->members.TakeDue(this->group, At(10'100)).empty());
  EXPECT_EQ(this->members.TakeDue(this->group, At(11'000)),
            std::vector{kSecondProcess});
  EXPECT_TRUE(this->members.Record(kSecondProcess, DataCentre("dc-b")));
  EXPECT_TRUE(this->members.TakeDue(this->group, At(20'000)).empty());
  EXPECT_EQ(this->members.Find(kFirst), DataCentre("dc-a"));
  // A process that came back with another disk is still where it was.
  EXPECT_EQ(this->members.Find(kSecondAgain), DataCentre("dc-b"));
}

TEST_F(MemberDataCentresTest, ADataCentreThatNoSettingsHoldCountsForNone) {
  EXPECT_FALSE(this->members.Record(kSecondProcess, DataCentre("dc-x")));
  EXPECT_EQ(this->members.Find(kSecond), DataCentre());
  // It is not asked, and thus not logged, again.
  EXPECT_TRUE(this->members.TakeDue(this->group, At(20'000)).empty());
}

}  // namespace
}  // namespace sumac::daemon
