// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/router.h"

#include <gtest/gtest.h>

namespace sumac::routing {
namespace {

constexpr SteadyTime kStart{Milliseconds(1'000'000)};
constexpr WallTime kWall{Milliseconds(1'790'000'000'000)};

fleet::RoutedMinion MakeMinion(const std::string& name,
                               const std::string& data_centre = "dc-1") {
  return fleet::RoutedMinion{.name = InstanceName(name),
                             .address = "127.0.0.1:1",
                             .data_centre = DataCentre(data_centre),
                             .rack = Rack("r"),
                             .incarnation = Incarnation(1),
                             .services = {ServiceName("s")},
                             .slots = 2,
                             .connections = 64,
                             .can_take_work = true};
}

fleet::View MakeView(std::uint64_t version,
                     std::vector<fleet::RoutedMinion> minions) {
  return fleet::View{.version = version,
                     .revision = Revision(version),
                     .services = {fleet::Service{.name = ServiceName("s"),
                                                 .pool = PoolName("p"),
                                                 .most_open_per_caller = 6,
                                                 .most_queued = 2}},
                     .minions = std::move(minions)};
}

class RouterTest : public testing::Test {
 protected:
  RouterTest()
      : router(SharingSettings{.data_centre = DataCentre("dc-1")},
               DecisionRing(ProcessName("e1"), 7, 100),
               1) {}

  RequestInfo MakeRequest(const std::string& caller = "c") {
    const RequestNumber number = ++this->last_number;
    return RequestInfo{.number = number,
                       .label = "request-" + std::to_string(number),
                       .service = ServiceName("s"),
                       .caller = CallerName(caller),
                       .deadline = kStart + Milliseconds(1'000)};
  }

  RouteResult Admit(const RequestInfo& request, SteadyTime now = kStart) {
    return this->router.Admit(request, now, kWall);
  }

  static ResultCode CodeOf(const RouteResult& result) {
    const auto* refusal = std::get_if<Refuse>(&result);
    return refusal == nullptr ? ResultCode::kOk : refusal->code;
  }

  static std::string MinionOf(const RouteResult& result) {
    const auto* send = std::get_if<SendTo>(&result);
    return send == nullptr ? "" : send->choice.minion.value();
  }

  Router router;
  RequestNumber last_number = 0;
};

TEST_F(RouterTest, AnOlderViewIsNeverApplied) {
  EXPECT_TRUE(this->router.Update(MakeView(5, {MakeMinion("m1")})));
  EXPECT_FALSE(this->router.Update(MakeView(4, {})));
  EXPECT_FALSE(this->router.Update(MakeView(5, {})));
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "m1");
}

TEST_F(RouterTest, FillsSlotsThenTheQueueThenRefusesAtOnce) {
  this->router.Update(MakeView(1, {MakeMinion("m1")}));
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "m1");
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "m1");
  EXPECT_TRUE(
      std::holds_alternative<Wait>(this->Admit(this->MakeRequest("d"))));
  EXPECT_TRUE(
      std::holds_alternative<Wait>(this->Admit(this->MakeRequest("e"))));
  const RouteResult refused = this->Admit(this->MakeRequest("f"));
  EXPECT_EQ(CodeOf(refused), ResultCode::kOverloaded);
  EXPECT_GT(std::get<Refuse>(refused).retry_after, Milliseconds(0));
}

TEST_F(RouterTest, AFreedSlotGoesToTheEarliestDeadline) {
  this->router.Update(MakeView(1, {MakeMinion("m1")}));
  this->Admit(this->MakeRequest());
  this->Admit(this->MakeRequest());
  RequestInfo late = this->MakeRequest("d");
  RequestInfo soon = this->MakeRequest("e");
  soon.deadline = kStart + Milliseconds(100);
  this->Admit(late);
  this->Admit(soon);
  this->router.FinishTry(InstanceName("m1"), TryOutcome::kAnswered,
                         std::nullopt, kStart);
  const auto ready = this->router.TakeReady(kStart, kWall);
  ASSERT_EQ(ready.size(), 1U);
  EXPECT_EQ(ready[0].first, soon.number);
}

TEST_F(RouterTest, ANewRequestIsNotSentAheadOfWaitingOnes) {
  this->router.Update(MakeView(1, {MakeMinion("m1")}));
  this->Admit(this->MakeRequest());
  this->Admit(this->MakeRequest());
  this->Admit(this->MakeRequest("d"));
  this->router.FinishTry(InstanceName("m1"), TryOutcome::kAnswered,
                         std::nullopt, kStart);
  EXPECT_TRUE(
      std::holds_alternative<Wait>(this->Admit(this->MakeRequest("e"))));
}

TEST_F(RouterTest, CallersHaveLimitsOfTheirOwn) {
  this->router.Update(MakeView(1, {MakeMinion("m1"), MakeMinion("m2"),
                                   MakeMinion("m3"), MakeMinion("m4")}));
  std::vector<RequestInfo> open;
  for (int number = 0; number < 6; ++number) {
    open.push_back(this->MakeRequest());
    EXPECT_EQ(CodeOf(this->Admit(open.back())), ResultCode::kOk);
  }
  const RequestInfo seventh = this->MakeRequest();
  EXPECT_EQ(CodeOf(this->Admit(seventh)), ResultCode::kCallerLimit);
  EXPECT_EQ(CodeOf(this->Admit(this->MakeRequest("other"))), ResultCode::kOk);
  this->router.FinishRequest(seventh);
  this->router.FinishRequest(open[0]);
  EXPECT_EQ(CodeOf(this->Admit(this->MakeRequest())), ResultCode::kOk);
}

TEST_F(RouterTest, NearMinionsGoFirst) {
  this->router.Update(
      MakeView(1, {MakeMinion("far", "dc-2"), MakeMinion("near")}));
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "near");
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "near");
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "far");
}

TEST_F(RouterTest, LeavingMinionsGetNoRequests) {
  fleet::RoutedMinion leaving = MakeMinion("m1");
  leaving.can_take_work = false;
  this->router.Update(MakeView(1, {leaving, MakeMinion("m2")}));
  // The other one says so itself, to an entry that hears from no controller.
  this->router.minions().MarkLeaving(InstanceName("m2"), kStart);
  EXPECT_EQ(CodeOf(this->Admit(this->MakeRequest())), ResultCode::kNoMinion);
  // A new start has not said so.
  fleet::RoutedMinion anew = MakeMinion("m2");
  anew.incarnation = Incarnation(2);
  this->router.Update(MakeView(2, {anew}));
  EXPECT_EQ(MinionOf(this->Admit(this->MakeRequest())), "m2");
}

TEST_F(RouterTest, AMinionThatFailsIsSetAsideAndComesBackSlowly) {
  // Of two, one may be set aside; the other does not answer for the service.
  fleet::RoutedMinion other = MakeMinion("m2");
  other.can_take_work = false;
  this->router.Update(MakeView(1, {MakeMinion("m1"), other}));
  for (int number = 0; number < 3; ++number) {
    this->Admit(this->MakeRequest());
    this->router.FinishTry(InstanceName("m1"), TryOutcome::kBroken,
                           std::nullopt, kStart);
  }
  EXPECT_EQ(this->router.minions().CountAside(kStart), 1U);
  EXPECT_EQ(CodeOf(this->Admit(this->MakeRequest("d"))), ResultCode::kNoMinion);
  const SteadyTime later = kStart + Milliseconds(1'001);
  RequestInfo trial = this->MakeRequest("e");
  trial.deadline = later + Milliseconds(1'000);
  EXPECT_EQ(MinionOf(this->Admit(trial, later)), "m1");
  RequestInfo second = this->MakeRequest("f");
  second.deadline = later + Milliseconds(1'000);
  EXPECT_TRUE(std::holds_alternative<Wait>(this->Admit(second, later)));
  // It fails again: aside at once, and for longer.
  this->router.FinishTry(InstanceName("m1"), TryOutcome::kBroken, std::nullopt,
                         later);
  EXPECT_EQ(this->router.minions().CountAside(later + Milliseconds(1'500)), 1U);
}

TEST_F(RouterTest, NotMoreThanHalfAreSetAsideAtOnce) {
  this->router.Update(MakeView(1, {MakeMinion("m1"), MakeMinion("m2"),
                                   MakeMinion("m3"), MakeMinion("m4")}));
  for (const char* name : {"m1", "m2", "m3", "m4"}) {
    for (int number = 0; number < 10; ++number) {
      this->router.FinishTry(InstanceName(name), TryOutcome::kBroken,
                             std::nullopt, kStart);
    }
  }
  EXPECT_EQ(this->router.minions().CountAside(kStart), 2U);
  EXPECT_NE(MinionOf(this->Admit(this->MakeRequest())), "");
}

TEST_F(RouterTest, RetriesAvoidFailedMinionsAndStayInTheBudget) {
  this->router.Update(MakeView(1, {MakeMinion("m1"), MakeMinion("m2")}));
  const RequestInfo request = this->MakeRequest();
  const std::string first = MinionOf(this->Admit(request));
  this->router.FinishTry(InstanceName(first), TryOutcome::kBroken, std::nullopt,
                         kStart);
  const RouteResult retried = this->router.Retry(
      request, {InstanceName(first)}, RetryReason::kFailed, kStart, kWall);
  EXPECT_NE(MinionOf(retried), first);
  EXPECT_NE(MinionOf(retried), "");
  this->router.FinishTry(InstanceName(MinionOf(retried)), TryOutcome::kAnswered,
                         std::nullopt, kStart);
  int allowed = 0;
  for (int number = 0; number < 50; ++number) {
    const RouteResult next = this->router.Retry(
        request, {InstanceName("m1")}, RetryReason::kFailed, kStart, kWall);
    if (!MinionOf(next).empty()) {
      ++allowed;
      this->router.FinishTry(InstanceName("m2"), TryOutcome::kAnswered,
                             std::nullopt, kStart);
    }
  }
  EXPECT_LT(allowed, 12);
}

TEST_F(RouterTest, NoRetryWithoutTimeLeft) {
  this->router.Update(MakeView(1, {MakeMinion("m1"), MakeMinion("m2")}));
  const RequestInfo request = this->MakeRequest();
  this->Admit(request);
  const SteadyTime late = request.deadline;
  EXPECT_EQ(CodeOf(this->router.Retry(request, {}, RetryReason::kDeclined, late,
                                      kWall)),
            ResultCode::kDeadlineBeforeRun);
  EXPECT_EQ(CodeOf(this->router.Retry(request, {InstanceName("m1")},
                                      RetryReason::kFailed, late, kWall)),
            ResultCode::kDeadlineDuringRun);
}

TEST_F(RouterTest, DecisionsAreKeptUpToAMaximum) {
  this->router.Update(MakeView(1, {MakeMinion("m1")}));
  const RequestInfo request = this->MakeRequest();
  const RouteResult sent = this->Admit(request);
  const DecisionId id = std::get<SendTo>(sent).decision;
  ASSERT_TRUE(this->router.decisions().Find(id));
  EXPECT_EQ(DecisionRing::ProcessOf(id), ProcessName("e1"));
  EXPECT_EQ(this->router.decisions()
                .FindAbout(fleet::SubjectKind::kRequest, request.label, 10)
                .size(),
            1U);
  for (int number = 0; number < 100; ++number) {
    RequestInfo late = this->MakeRequest("x");
    late.deadline = kStart;
    this->Admit(late);
    this->router.FinishRequest(late);
  }
  EXPECT_FALSE(this->router.decisions().Find(id));
}

TEST(RequestQueueTest, BackgroundIsNotStarved) {
  RequestQueue line;
  for (RequestNumber number = 1; number <= 20; ++number) {
    line.Add(number, fleet::RequestClass::kInteractive, kStart);
  }
  line.Add(100, fleet::RequestClass::kBackground, kStart);
  int served_before = 0;
  while (*line.Next() != 100) {
    line.Serve(*line.Next());
    ++served_before;
  }
  EXPECT_EQ(served_before,
            static_cast<int>(RequestQueue::kInteractivePerBackground));
  line.Serve(100);
  EXPECT_NE(*line.Next(), 100U);
}

}  // namespace
}  // namespace sumac::routing
