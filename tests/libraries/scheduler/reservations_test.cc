// SPDX-License-Identifier: Apache-2.0
// Guards against small tasks that take whatever room comes free, so that a
// task that needs most of a worker never starts; see also
// CrowdedLeaderTest.SmallTasksTakeAllRoomBeforeALargeOneFits, which replays
// that load through the scheduler.
#include "libraries/scheduler/reservations.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sumac::scheduler {
namespace {

const ServiceName kService("previews");
const jobs::StepId kLarge{JobId("large"), 0, 0};
const jobs::StepId kSmall{JobId("small"), 0, 0};
constexpr jobs::Resources kLargeNeed{.millicores = 7'000};
constexpr jobs::Resources kSmallNeed{.millicores = 2'000};
constexpr std::size_t kWorkers = 8;

class ReservationsTest : public testing::Test {
 protected:
  // Plays planning passes in which the step finds no room and small tasks are
  // started, if `is_passed_over`. Returns true once a worker should be
  // reserved.
  bool PlayPasses(const jobs::StepId& step,
                  const jobs::Resources& need,
                  Milliseconds time,
                  bool is_passed_over = true) {
    for (Milliseconds passed{0}; passed < time; passed += kPass) {
      this->now += kPass;
      this->reservations.BeginPass(this->now);
      if (this->reservations.RecordWait(kService, step, need, kWorkers,
                                        this->now)) {
        return true;
      }
      if (is_passed_over) {
        this->reservations.RecordStart(kService, kSmall, kSmallNeed, this->now);
      }
    }
    return false;
  }
  // Returns a worker whose tasks, all small, end after these times.
  ReservableWorker WorkerWithEnds(const std::string& id,
                                  const std::vector<Milliseconds>& after) {
    ReservableWorker worker{.id = WorkerId(id)};
    for (const Milliseconds time : after) {
      worker.ends.push_back({.at = this->now + time, .need = kSmallNeed});
    }
    return worker;
  }
  void ReserveW1() {
    ASSERT_TRUE(this->PlayPasses(kLarge, kLargeNeed, Milliseconds(2'000)));
    const std::vector<ReservableWorker> workers{
        this->WorkerWithEnds("w1", {Milliseconds(100), Milliseconds(200),
                                    Milliseconds(300), Milliseconds(400)})};
    ASSERT_NE(this->reservations.Reserve(kService, kLarge, workers, this->now),
              nullptr);
  }

  static constexpr Milliseconds kPass{50};
  Reservations reservations;
  SteadyTime now{Milliseconds(10'000)};
};

TEST_F(ReservationsTest, AStepThatIsPassedOverForLongGetsAWorker) {
  EXPECT_FALSE(this->PlayPasses(kLarge, kLargeNeed, Milliseconds(450)));
  EXPECT_TRUE(this->PlayPasses(kLarge, kLargeNeed, Milliseconds(200)));
}

// A full pool of equal tasks needs no reservation: room for one is room for
// all, and the most urgent takes it.
TEST_F(ReservationsTest, AStepThatNeedsNoMoreThanOthersIsNotPassedOver) {
  const jobs::StepId equal{JobId("equal"), 0, 0};
  EXPECT_FALSE(this->PlayPasses(equal, kSmallNeed, Milliseconds(5'000)));
  EXPECT_FALSE(
      this->PlayPasses(kLarge, kLargeNeed, Milliseconds(5'000), false));
}

TEST_F(ReservationsTest, TheWorkerThatHasRoomFirstIsReserved) {
  ASSERT_TRUE(this->PlayPasses(kLarge, kLargeNeed, Milliseconds(2'000)));
  const Milliseconds soon(100);
  const Milliseconds late(900);
  const std::vector<ReservableWorker> workers{
      this->WorkerWithEnds("w1", {soon, soon, soon, late}),
      this->WorkerWithEnds("w2", {soon, 3 * soon, 2 * soon, 3 * soon}),
      // One of its tasks never ends.
      this->WorkerWithEnds("w3", {soon, soon, soon})};
  const ReservableWorker* reserved =
      this->reservations.Reserve(kService, kLarge, workers, this->now);
  ASSERT_NE(reserved, nullptr);
  EXPECT_EQ(reserved->id, WorkerId("w2"));
  EXPECT_FALSE(Reservations::FindFit(kLargeNeed, workers[2], this->now));
}

TEST_F(ReservationsTest, OnlyTasksThatEndBeforeMayStartOnAReservedWorker) {
  this->ReserveW1();
  const auto admits = [&](const jobs::StepId& step, Milliseconds takes) {
    return this->reservations.Admits(WorkerId("w1"), step, this->now + takes);
  };
  EXPECT_TRUE(admits(kSmall, Milliseconds(400)));
  EXPECT_FALSE(admits(kSmall, Milliseconds(401)));
  EXPECT_TRUE(admits(kLarge, Milliseconds(60'000)));
  EXPECT_TRUE(this->reservations.Admits(WorkerId("w2"), kSmall,
                                        this->now + Milliseconds(60'000)));
}

TEST_F(ReservationsTest, AReservationEndsWithItsCause) {
  this->ReserveW1();
  this->reservations.RecordStart(kService, kLarge, kLargeNeed, this->now);
  EXPECT_TRUE(this->reservations.all().empty());
  this->ReserveW1();
  this->reservations.Release(WorkerId("w1"));
  EXPECT_FALSE(this->reservations.HasReservation(kLarge));
  // The step stops asking, because it was cancelled or is late.
  this->ReserveW1();
  this->reservations.BeginPass(this->now + Milliseconds(1'000));
  EXPECT_TRUE(this->reservations.HasReservation(kLarge));
  this->reservations.BeginPass(this->now + Milliseconds(1'001));
  EXPECT_FALSE(this->reservations.HasReservation(kLarge));
}

TEST_F(ReservationsTest, AReservationEndsAfterItsMaximumAge) {
  this->ReserveW1();
  this->PlayPasses(kLarge, kLargeNeed, Milliseconds(4'900), false);
  EXPECT_TRUE(this->reservations.HasReservation(kLarge));
  this->PlayPasses(kLarge, kLargeNeed, Milliseconds(200), false);
  EXPECT_FALSE(this->reservations.HasReservation(kLarge));
}

// One worker of eight may be reserved; the second large step has to wait.
TEST_F(ReservationsTest, FewWorkersAreReserved) {
  this->ReserveW1();
  const jobs::StepId other{JobId("other"), 0, 0};
  for (int pass = 0; pass < 40; ++pass) {
    this->now += kPass;
    this->reservations.BeginPass(this->now);
    EXPECT_FALSE(this->reservations.RecordWait(kService, kLarge, kLargeNeed,
                                               kWorkers, this->now));
    EXPECT_FALSE(this->reservations.RecordWait(kService, other, kLargeNeed,
                                               kWorkers, this->now));
    this->reservations.RecordStart(kService, kSmall, kSmallNeed, this->now);
  }
}

// A table full of smaller steps must not hide the largest one.
TEST_F(ReservationsTest, ALargerStepTakesThePlaceOfASmallerOne) {
  constexpr jobs::Resources kLeast{.millicores = 100};
  for (int pass = 0; pass < 12; ++pass) {
    this->now += kPass;
    this->reservations.BeginPass(this->now);
    this->reservations.RecordStart(kService, kSmall, kLeast, this->now);
    for (std::uint32_t step = 0; step < 20; ++step) {
      this->reservations.RecordWait(kService, {JobId("many"), 0, step},
                                    kSmallNeed, kWorkers, this->now);
    }
  }
  EXPECT_TRUE(this->PlayPasses(kLarge, kLargeNeed, Milliseconds(700)));
}

}  // namespace
}  // namespace sumac::scheduler
