// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/evacuated_instances.h"

#include <gtest/gtest.h>

namespace sumac::maintenance {
namespace {

const DataCentre kEvacuated("dc-a");
const InstanceName kInstance("m1");

class EvacuatedInstancesTest : public testing::Test {
 protected:
  void Change(jobs::DataCentreUse use) {
    this->state.Apply(
        {this->wall_now,
         jobs::ChangeDataCentre{kEvacuated, use,
                                this->state.FindDataCentre(kEvacuated).version,
                                "call"}});
  }
  void DeliverList(std::vector<ListedInstance> rows) {
    this->now += Milliseconds(1);
    this->listing.RecordList(std::move(rows), this->now);
    this->evacuated.UpdateListing(this->listing);
  }
  bool Has() const {
    return this->evacuated.Has(this->state, this->facts, kInstance);
  }

  jobs::JobsState state{
      [](std::string_view) { return jobs::JobsDeclaration(); }};
  WallTime wall_now{Milliseconds(50'000)};
  SteadyTime now{Milliseconds(1'000)};
  std::map<InstanceName, InstanceFacts> facts;
  InstanceListing listing;
  EvacuatedInstances evacuated;
};

TEST_F(EvacuatedInstancesTest, AnInstanceWithoutAWorkerIsKnownFromTheList) {
  this->DeliverList({{.name = kInstance, .data_centre = kEvacuated}});
  EXPECT_FALSE(this->Has());
  this->Change(jobs::DataCentreUse::kEvacuated);
  EXPECT_TRUE(this->Has());
  this->Change(jobs::DataCentreUse::kInUse);
  EXPECT_FALSE(this->Has());
}

TEST_F(EvacuatedInstancesTest, AnInstanceWithAWorkerIsKnownBeforeAnyList) {
  this->Change(jobs::DataCentreUse::kEvacuated);
  this->facts[kInstance].is_evacuated = true;
  EXPECT_TRUE(this->Has());
}

TEST_F(EvacuatedInstancesTest, AnInstanceOfUnknownDataCentreMayBeUsed) {
  this->DeliverList({{.name = kInstance}});
  this->Change(jobs::DataCentreUse::kEvacuated);
  EXPECT_FALSE(this->Has());
}

TEST_F(EvacuatedInstancesTest, AMalformedRowDoesNotMoveAnInstance) {
  this->DeliverList({{.name = kInstance, .data_centre = kEvacuated}});
  this->DeliverList({{.name = kInstance, .state = InstanceState::kUnknown}});
  this->Change(jobs::DataCentreUse::kEvacuated);
  EXPECT_TRUE(this->Has());
}

TEST_F(EvacuatedInstancesTest, EachChangeIsRecentForAWhile) {
  constexpr Milliseconds kHold{10'000};
  const auto is_recent = [&](Milliseconds later) {
    return EvacuatedInstances::HasRecentChange(this->state, kHold,
                                               this->wall_now + later);
  };
  EXPECT_FALSE(is_recent(Milliseconds(0)));
  for (const auto use :
       {jobs::DataCentreUse::kEvacuated, jobs::DataCentreUse::kInUse}) {
    this->wall_now += 2 * kHold;
    this->Change(use);
    EXPECT_TRUE(is_recent(Milliseconds(0)));
    EXPECT_TRUE(is_recent(kHold - Milliseconds(1)));
    EXPECT_FALSE(is_recent(kHold));
    // The clock of the leader that recorded the change was ahead.
    EXPECT_TRUE(is_recent(Milliseconds(-2'000)));
  }
}

}  // namespace
}  // namespace sumac::maintenance
