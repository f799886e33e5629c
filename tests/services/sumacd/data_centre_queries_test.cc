// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/data_centre_queries.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/libraries/scheduler/fake_fleet.h"

namespace sumac::daemon {
namespace {

using jobs::DataCentreUse;

// A fleet with one worker in each of two data centres, and a third data centre
// that only the settings name.
class DataCentreQueriesTest : public testing::Test {
 protected:
  DataCentreQueriesTest() : fleet(0) {
    this->fleet.work = Milliseconds(20'000);
    this->fleet.AddWorker("a", "m-a", "r1", "previews", "dc-a");
    this->fleet.AddWorker("b", "m-b", "r2", "previews", "dc-b");
    this->fleet.PassTime(Milliseconds(100));
  }
  fleet::Answer Show(const std::string& name = "") {
    return ShowDataCentres(this->fleet.state, *this->fleet.scheduler,
                           this->named, name);
  }
  nlohmann::json Row(const std::string& name) {
    return this->Show(name).document.at(0);
  }

  const std::vector<DataCentre> named = {DataCentre("dc-a"),
                                         DataCentre("dc-c")};
  scheduler::FakeFleet fleet;
};

TEST_F(DataCentreQueriesTest, AllAreListed) {
  EXPECT_EQ(this->Show().document.size(), 3U);
  EXPECT_EQ(this->Row("dc-c").at("workers"), 0);
  EXPECT_EQ(this->Row("dc-b").at("use"), "in-use");
  EXPECT_EQ(this->Row("dc-b").at("free_millicores"), 8'000);
  EXPECT_EQ(this->Show("dc-z").code, ResultCode::kUnknownName);
}

TEST_F(DataCentreQueriesTest, AnEvacuationShowsItsCallAndTheRunsThatAreLeft) {
  this->fleet.Submit("j", {.count = 16});
  this->fleet.PassTime(Milliseconds(500));
  this->fleet.Commit(jobs::ChangeDataCentre{.data_centre = DataCentre("dc-a"),
                                            .use = DataCentreUse::kEvacuated,
                                            .expected_version = 0,
                                            .requested_by = "ida"});
  const nlohmann::json row = this->Row("dc-a");
  EXPECT_EQ(row.at("use"), "evacuated");
  EXPECT_EQ(row.at("version"), 1);
  EXPECT_EQ(row.at("requested_by"), "ida");
  EXPECT_EQ(row.at("runs"), 8);
  EXPECT_EQ(CountRunsIn(*this->fleet.scheduler, DataCentre("dc-a")), 8U);
  EXPECT_EQ(CountRunsIn(*this->fleet.scheduler, DataCentre("dc-c")), 0U);
}

TEST_F(DataCentreQueriesTest, WhatAPoolHasElsewhereIsOnlyWhatIsInUse) {
  const nlohmann::json before = this->Row("dc-a").at("pools").at(0);
  EXPECT_EQ(before.at("pool"), "previews");
  EXPECT_EQ(before.at("workers_elsewhere"), 1);
  EXPECT_EQ(before.at("free_millicores_elsewhere"), 8'000);
  this->fleet.ChangeDataCentre("dc-b", DataCentreUse::kEvacuated);
  const nlohmann::json after = this->Row("dc-a").at("pools").at(0);
  EXPECT_EQ(after.at("workers_elsewhere"), 0);
  EXPECT_EQ(after.at("free_millicores_elsewhere"), 0);
}

TEST_F(DataCentreQueriesTest, TheLastOneInUseIsMarked) {
  this->fleet.ChangeDataCentre("dc-b", DataCentreUse::kEvacuated);
  EXPECT_FALSE(this->Row("dc-a").at("is_last_in_use"));
  this->fleet.ChangeDataCentre("dc-c", DataCentreUse::kEvacuated);
  EXPECT_TRUE(this->Row("dc-a").at("is_last_in_use"));
  EXPECT_FALSE(this->Row("dc-b").at("is_last_in_use"));
}

TEST_F(DataCentreQueriesTest, WhatAnEvacuationWouldTakeAwayIsSaid) {
  EXPECT_EQ(DescribeLoss(this->Row("dc-a")), "");
  EXPECT_EQ(DescribeLoss(this->Row("dc-c")), "");
  this->fleet.ChangeDataCentre("dc-b", DataCentreUse::kEvacuated);
  EXPECT_EQ(DescribeLoss(this->Row("dc-a")),
            "no worker would be left in use in pool previews");
  this->fleet.ChangeDataCentre("dc-c", DataCentreUse::kEvacuated);
  EXPECT_NE(DescribeLoss(this->Row("dc-a")).find("last data centre"),
            std::string::npos);
}

}  // namespace
}  // namespace sumac::daemon
