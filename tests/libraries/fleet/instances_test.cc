// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "libraries/codec/json_writer.h"
#include "libraries/fleet/budget.h"
#include "libraries/fleet/view.h"
#include "tests/libraries/fleet/fleet_harness.h"

namespace sumac::fleet {
namespace {

class InstancesTest : public testing::Test, protected FleetHarness {
 protected:
  // Five minions, of which three must stay, and an empty pool.
  void SetUp() override {
    this->Declare({.pools = {MakePool("p", 5, 3), MakePool("q", 1, 0)}});
    for (const char* name : {"m1", "m2", "m3", "m4", "m5"}) {
      this->AddMinion(name, "p");
    }
    this->PassTime(Milliseconds(1'000));
    ASSERT_EQ(this->AvailableIn("p"), 5U);
  }

  void Report(const std::string& instance, PlatformProgress progress) {
    const auto& operation =
        this->state().FindInstance(InstanceName(instance))->operation;
    const OperationId id = operation ? operation->id : OperationId("op-1");
    this->Apply(RecordPlatformReport{InstanceName(instance), id, progress});
  }
};

TEST_F(InstancesTest, ANewInstanceSettlesWithoutAnOperator) {
  this->AddMinion("m6", "p");
  this->PassTime(Milliseconds(300));
  EXPECT_EQ(this->StateOf("m6"), InstanceState::kSettling);
  this->PassTime(Milliseconds(400));
  EXPECT_EQ(this->StateOf("m6"), InstanceState::kAvailable);
}

TEST_F(InstancesTest, AFleetLargerThanOnePassIsScannedInParts) {
  this->planner.max_instances_per_pass = 2;
  for (const char* name : {"m1", "m3", "m5"}) {
    this->Silence(name);
  }
  this->PassTime(Milliseconds(1'400));
  for (const char* name : {"m1", "m3", "m5"}) {
    EXPECT_EQ(this->StateOf(name), InstanceState::kSilent) << name;
  }
  EXPECT_EQ(this->StateOf("m2"), InstanceState::kAvailable);
}

TEST_F(InstancesTest, GrantsStopAtTheBudget) {
  EXPECT_TRUE(this->Operate(InstanceRequest::kDrain, "m1").is_ok());
  EXPECT_TRUE(this->Operate(InstanceRequest::kDrain, "m2").is_ok());
  const Answer refused = this->Operate(InstanceRequest::kDrain, "m3");
  EXPECT_EQ(refused.code, ResultCode::kBudgetWouldBreak);
  EXPECT_EQ(this->StateOf("m3"), InstanceState::kAvailable);
  EXPECT_FALSE(refused.decision.value().empty());
  EXPECT_EQ(this->AvailableIn("p"), 3U);
}

TEST_F(InstancesTest, SilentInstancesCountAsDown) {
  this->Silence("m4");
  this->Silence("m5");
  this->PassTime(Milliseconds(1'500));
  EXPECT_EQ(this->StateOf("m4"), InstanceState::kSilent);
  EXPECT_EQ(this->Operate(InstanceRequest::kDrain, "m1").code,
            ResultCode::kBudgetWouldBreak);
  this->EndSilence("m4");
  this->PassTime(Milliseconds(200));
  // Heard again, it must settle first: a second one is often lost right then.
  EXPECT_EQ(this->Operate(InstanceRequest::kDrain, "m1").code,
            ResultCode::kBudgetWouldBreak);
  this->PassTime(Milliseconds(600));
  EXPECT_TRUE(this->Operate(InstanceRequest::kDrain, "m1").is_ok());
}

TEST_F(InstancesTest, ASilentInstanceMayAlwaysBeTakenOut) {
  this->Silence("m3");
  this->Silence("m4");
  this->Silence("m5");
  this->PassTime(Milliseconds(1'500));
  EXPECT_TRUE(this->Operate(InstanceRequest::kReboot, "m3").is_ok());
}

TEST_F(InstancesTest, FailuresTakeBackGrantsThatHaveNotBegunTheLatestFirst) {
  this->planner.drain_grace = Milliseconds(60'000);
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m1").is_ok());
  this->PassTime(Milliseconds(100));
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m2").is_ok());
  this->Silence("m5");
  this->PassTime(Milliseconds(1'500));
  EXPECT_EQ(this->StateOf("m2"), InstanceState::kAvailable);
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDraining);
  EXPECT_EQ(this->AvailableIn("p"), 3U);
}

TEST_F(InstancesTest, ASilentDrainingInstanceIsNotTakenBackAsAvailable) {
  this->planner.drain_grace = Milliseconds(60'000);
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m1").is_ok());
  this->Silence("m1");
  this->PassTime(Milliseconds(1'500));
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m2").is_ok());
  this->Silence("m4");
  this->Silence("m5");
  this->PassTime(Milliseconds(1'500));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDraining);
  EXPECT_EQ(this->StateOf("m2"), InstanceState::kAvailable);
}

TEST_F(InstancesTest, DrainsOnlyAfterTheGraceAndWithNothingInFlight) {
  this->SetInFlight("m1", 1);
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m1").is_ok());
  this->PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDraining);
  this->SetInFlight("m1", 0);
  this->PassTime(Milliseconds(300));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDrained);
}

TEST_F(InstancesTest, IdleBeforeTheGraceIsNotEnough) {
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m1").is_ok());
  this->PassTime(Milliseconds(2'800));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDraining);
  // A new leader has not seen how long it drained, so it waits the whole grace
  // again.
  this->ChangeLeader();
  this->PassTime(Milliseconds(2'800));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDraining);
  this->PassTime(Milliseconds(600));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDrained);
}

TEST_F(InstancesTest, ARebootEndsOnlyAfterAPlatformReportAndARestart) {
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m1").is_ok());
  this->PassTime(Milliseconds(4'000));
  ASSERT_EQ(PlatformSteps(this->state()).size(), 1U);
  this->Report("m1", PlatformProgress::kAccepted);
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kRebooting);
  // It crashed and came back before the reboot, which is still to come.
  this->RestartTarget("m1");
  this->PassTime(Milliseconds(2'000));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kRebooting);
  EXPECT_EQ(PlatformSteps(this->state()).size(), 1U);
  this->Report("m1", PlatformProgress::kDone);
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kSettling);
  this->PassTime(Milliseconds(1'000));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kAvailable);
  EXPECT_TRUE(PlatformSteps(this->state()).empty());
}

TEST_F(InstancesTest, LostAndLateReportsEndInTheSameState) {
  ASSERT_TRUE(this->Operate(InstanceRequest::kReboot, "m1").is_ok());
  this->PassTime(Milliseconds(4'000));
  const OperationId id =
      this->state().FindInstance(InstanceName("m1"))->operation->id;
  // The first answer was lost, the instance is back, and only then the platform
  // is heard.
  this->RestartTarget("m1");
  this->PassTime(Milliseconds(500));
  this->Apply(
      RecordPlatformReport{InstanceName("m1"), id, PlatformProgress::kDone});
  this->Apply(RecordPlatformReport{InstanceName("m1"), id,
                                   PlatformProgress::kAccepted});
  EXPECT_EQ(this->Apply(RecordPlatformReport{InstanceName("m1"), id,
                                             PlatformProgress::kDone})
                .code,
            ResultCode::kStaleReport);
  this->PassTime(Milliseconds(1'000));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kAvailable);
}

TEST_F(InstancesTest, AMoveEndsInExactlyOnePoolHoweverOftenItIsSent) {
  const Answer first =
      this->Operate(InstanceRequest::kMove, "m1", "q", "same-id");
  const Answer again =
      this->Operate(InstanceRequest::kMove, "m1", "q", "same-id");
  EXPECT_TRUE(first.is_ok());
  EXPECT_EQ(again.decision, first.decision);
  EXPECT_EQ(this->Operate(InstanceRequest::kMove, "m1", "q").code,
            ResultCode::kWrongState);
  this->PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->state().FindInstance(InstanceName("m1"))->pool,
            PoolName("q"));
  EXPECT_EQ(this->state().CountsOf(PoolName("p")).total().members, 4U);
  EXPECT_EQ(this->state().CountsOf(PoolName("q")).total().members, 1U);
  // Its own wish counts only the first time.
  this->RestartTarget("m1");
  this->PassTime(Milliseconds(500));
  EXPECT_EQ(this->state().FindInstance(InstanceName("m1"))->pool,
            PoolName("q"));
}

// A resend may come to a replica of another version, or after an update.
TEST_F(InstancesTest, TheDigestOfACommandIsThatOfItsTreeWithSortedKeys) {
  ASSERT_TRUE(this->Operate(InstanceRequest::kDrain, "m1", "", "id").is_ok());
  std::string digest;
  nlohmann::json::to_cbor(
      ToJson(OperateInstance{
          {}, InstanceRequest::kDrain, InstanceName("m1"), PoolName()}),
      digest);
  EXPECT_EQ(this->state()
                .record()
                .operator_answers.at(OperatorRequestId("id"))
                .command_digest,
            digest);
}

TEST_F(InstancesTest, ARequestIdUsedForAnotherCommandIsRefused) {
  EXPECT_TRUE(this->Operate(InstanceRequest::kDrain, "m1", "", "id").is_ok());
  EXPECT_EQ(this->Operate(InstanceRequest::kDrain, "m2", "", "id").code,
            ResultCode::kRequestIdReused);
  EXPECT_EQ(this->StateOf("m2"), InstanceState::kAvailable);
}

TEST_F(InstancesTest, ReportsOfAnEarlierStartAreIgnored) {
  this->RestartTarget("m1");
  this->PassTime(Milliseconds(1'000));
  this->Apply(RecordInstanceEvents{
      {{InstanceName("m1"), Incarnation(1), InstanceEvent::kSilence}}});
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kAvailable);
}

TEST_F(InstancesTest, ANewLeaderDoesNotTreatUnheardInstancesAsSilent) {
  this->ChangeLeader();
  this->PassTime(Milliseconds(100));
  EXPECT_EQ(this->AvailableIn("p"), 5U);
}

TEST_F(InstancesTest, LeavingAndDrainingMinionsAreOutOfTheViewAtOnce) {
  const std::uint64_t before = this->state().record().view_version;
  ASSERT_TRUE(this->Operate(InstanceRequest::kDrain, "m1").is_ok());
  const View view = MakeView(this->state());
  EXPECT_GT(view.version, before);
  EXPECT_FALSE(view.minions.at(0).can_take_work);
  EXPECT_TRUE(view.minions.at(1).can_take_work);
}

TEST_F(InstancesTest, SnapshotsKeepStateAndIndexes) {
  ASSERT_TRUE(this->Operate(InstanceRequest::kDrain, "m1").is_ok());
  EXPECT_EQ(this->CheckIndexes(), "");
  this->RestartFromSnapshot();
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDraining);
  EXPECT_EQ(this->AvailableIn("p"), 4U);
  this->PassTime(Milliseconds(5'000));
  EXPECT_EQ(this->StateOf("m1"), InstanceState::kDrained);
}

TEST(BudgetTest, DomainsAndReservesCount) {
  FleetHarness harness;
  Pool pool = FleetHarness::MakePool("p", 8, 4);
  pool.budget.smallest_share_per_rack = 0.5;
  harness.Declare({.pools = {pool}});
  for (int number = 0; number < 8; ++number) {
    harness.AddMinion("m" + std::to_string(number), "p",
                      number < 4 ? "r1" : "r2");
  }
  harness.PassTime(Milliseconds(1'000));
  EXPECT_TRUE(harness.Operate(InstanceRequest::kDrain, "m0").is_ok());
  EXPECT_TRUE(harness.Operate(InstanceRequest::kDrain, "m1").is_ok());
  // The rack is at its half, the pool has room.
  EXPECT_EQ(harness.Operate(InstanceRequest::kDrain, "m2").code,
            ResultCode::kBudgetWouldBreak);
  EXPECT_TRUE(harness.Operate(InstanceRequest::kDrain, "m4").is_ok());
  pool.survives = FailureDomain::kRack;
  harness.Declare({.pools = {pool}});
  const BudgetLine line = WholePoolLine(harness.state(), pool);
  EXPECT_EQ(line.available, 5U);
  EXPECT_EQ(line.reserve, 3U);
  EXPECT_EQ(harness.Operate(InstanceRequest::kDrain, "m5").code,
            ResultCode::kBudgetWouldBreak);
}

TEST(DeclarationTest, ExactlyOneOfTwoEqualRevisionsWins) {
  FleetHarness harness;
  harness.Declare({.pools = {FleetHarness::MakePool("p", 1, 0)}});
  const auto apply = [&](const char* who, const char* id,
                         std::uint32_t capacity) {
    return harness.Apply(ApplyDeclaration{
        {who, OperatorRequestId(id)},
        Revision(1),
        {.pools = {FleetHarness::MakePool("p", capacity, 0)}}});
  };
  const Answer winner = apply("ana", "a", 2);
  const Answer loser = apply("ben", "b", 3);
  EXPECT_TRUE(winner.is_ok());
  EXPECT_EQ(loser.code, ResultCode::kRevisionConflict);
  EXPECT_NE(loser.message.find("ana"), std::string::npos);
  EXPECT_EQ(harness.state().record().declaration.pools[0].capacity, 2U);
  harness.RestartFromSnapshot();
  // Resends get their first answers, whatever has happened since.
  EXPECT_TRUE(apply("ana", "a", 2).is_ok());
  EXPECT_EQ(apply("ben", "b", 3).code, ResultCode::kRevisionConflict);
  EXPECT_EQ(harness.state().record().revision, Revision(2));
}

TEST(DeclarationTest, BadDeclarationsChangeNothing) {
  const auto code_of = [](const std::string& text) {
    const auto parsed = ParseDeclaration(text, "file");
    return parsed.ok() ? ResultCode::kOk : CodeOf(parsed.status());
  };
  EXPECT_EQ(code_of(R"({"pools":[{"name":"p","capacity":2}]})"),
            ResultCode::kOk);
  EXPECT_EQ(code_of("{"), ResultCode::kInvalidDeclaration);
  EXPECT_EQ(code_of(R"({"poools":[]})"), ResultCode::kInvalidDeclaration);
  EXPECT_EQ(code_of(R"({"pools":[{"name":"p","capacity":"2"}]})"),
            ResultCode::kInvalidDeclaration);
  EXPECT_EQ(code_of(R"({"pools":[{"name":"","capacity":2}]})"),
            ResultCode::kInvalidDeclaration);
  EXPECT_EQ(
      code_of(
          R"({"pools":[{"name":"p","capacity":2},{"name":"p","capacity":2}]})"),
      ResultCode::kDuplicateName);
  EXPECT_EQ(
      code_of(
          R"({"pools":[{"name":"p","capacity":2,"budget":{"smallest_available":3}}]})"),
      ResultCode::kBudgetLargerThanPool);
  EXPECT_EQ(code_of(R"({"services":[{"name":"s","pool":"nowhere"}]})"),
            ResultCode::kUnknownName);
}

TEST(DeclarationTest, APoolWithInstancesCannotVanish) {
  FleetHarness harness;
  harness.Declare({.pools = {FleetHarness::MakePool("p", 1, 0)}});
  harness.AddMinion("m1", "p");
  harness.PassTime(Milliseconds(200));
  const Answer answer = harness.Apply(
      ApplyDeclaration{{"test", OperatorRequestId("x")}, Revision(1), {}});
  EXPECT_EQ(answer.code, ResultCode::kInvalidDeclaration);
}

}  // namespace
}  // namespace sumac::fleet
