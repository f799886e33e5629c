// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "tests/libraries/scheduler/fake_fleet.h"
#include "tests/libraries/scheduler/run_ledger.h"

namespace sumac::scheduler {
namespace {

constexpr Milliseconds kStep{10};
constexpr int kWorkers = 3;
constexpr Milliseconds kStopTime{100};
constexpr int kMostHappenings = 40;

// What may happen to a fleet.
enum class Kind {
  kSubmit,
  kChangeLeader,
  kCut,
  kHeal,
  kRestart,
  kLoseOrders,
  kLoseReports,
  kDelayAnswers,
  kFail,
  kWork,
  kCommit,
  kStopSlowly,
  kRefuseStarts,
  kRefuseStops,
  kHideInstances,
  kMoveQueue,
  kResend,
};

constexpr std::array kNames = {
    "submit",        "change-leader", "cut",
    "heal",          "restart",       "lose-orders",
    "lose-reports",  "delay-answers", "fail",
    "work",          "commit",        "stop-slowly",
    "refuse-starts", "refuse-stops",  "hide-instances",
    "move-queue",    "resend"};

struct Happening {
  Kind kind = Kind::kSubmit;
  int worker = 0;
  // How much of it, from 0 to 99.
  int amount = 0;
  // What passes before the next.
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Happening& happening) {
  return out << kNames.at(static_cast<std::size_t>(happening.kind)) << " w"
             << happening.worker << " " << happening.amount << ", then "
             << happening.pause_ms << " ms";
}

// What most histories are made of; jobs and changes of leader come more often
// than the rest.
std::vector<Kind> CommonKinds() {
  return {Kind::kSubmit, Kind::kSubmit,       Kind::kChangeLeader,
          Kind::kFail,   Kind::kChangeLeader, Kind::kCut,
          Kind::kHeal,   Kind::kDelayAnswers, Kind::kWork,
          Kind::kCommit, Kind::kStopSlowly};
}

// The same with losses, refusals and restarts.
std::vector<Kind> FaultyKinds() {
  std::vector<Kind> kinds = CommonKinds();
  kinds.insert(kinds.end(),
               {Kind::kRestart, Kind::kLoseOrders, Kind::kLoseReports,
                Kind::kRefuseStarts, Kind::kRefuseStops, Kind::kHideInstances});
  return kinds;
}

rc::Gen<std::vector<Happening>> GenerateHistory(
    const std::vector<Kind>& kinds) {
  constexpr int kWhole = 100;
  constexpr int kLongestPause = 400;
  return rc::gen::resize(
      kMostHappenings,
      rc::gen::container<std::vector<Happening>>(rc::gen::build<Happening>(
          rc::gen::set(&Happening::kind, rc::gen::elementOf(kinds)),
          rc::gen::set(&Happening::worker, rc::gen::inRange(0, kWorkers)),
          rc::gen::set(
              &Happening::amount,
              rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, kWhole))),
          rc::gen::set(&Happening::pause_ms,
                       rc::gen::resize(rc::kNominalSize,
                                       rc::gen::inRange(0, kLongestPause))))));
}

// Which runs fail.
enum class Failing { kNone, kAll, kEveryOther };
constexpr int kFailings = 3;

// A fleet, its ledger, and what has to be remembered to go on.
class History {
 public:
  explicit History(std::uint64_t seed) : fleet(kWorkers, seed) {
    this->fleet.AddWorker("t0", "m9", "r1", "thumbs");
    this->fleet.announce_interval = Milliseconds(500);
    this->fleet.renews_at_once = true;
    // The ledger does, and knows which ends nobody had to know of.
    this->fleet.counts_attempts = false;
    this->fleet.work = Milliseconds(100);
    this->fleet.commit_time = Milliseconds(30);
    this->fleet.fails = [this](const StartOrder& order) {
      return this->failing == Failing::kAll ||
             (this->failing == Failing::kEveryOther &&
              order.run.value() % 2 == 1);
    };
    for (const std::string& life : this->lives) {
      this->fleet.worker(life).stop_time = kStopTime;
    }
  }

  // Short leases and a short memory for silent workers, so that both run out.
  void ShortenLeases() {
    this->fleet.settings.lease.length = Milliseconds(1'200);
    this->fleet.settings.forget_after = Milliseconds(300);
    this->fleet.ChangeLeader();
  }

  void Happen(const Happening& happening);

  void PassTime(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time && this->problem().empty();
         passed += kStep) {
      this->fleet.PassTime(kStep);
      this->ledger.Observe(this->fleet);
    }
  }

  // Ends all faults; everything accepted has to end then.
  void Recover();
  bool is_finished() const { return this->fleet.state.active_jobs().empty(); }

  const std::string& problem() const {
    return this->ledger.problem.empty() ? this->fleet.problem
                                        : this->ledger.problem;
  }

 private:
  FakeWorker& LifeOn(int number);
  void Restart(int number);
  void Refuse(std::optional<OrderResult>& refusal, int amount);

  FakeFleet fleet;
  RunLedger ledger;
  Failing failing = Failing::kNone;
  int next_job = 0;
  int next_life = 0;
  // The life on each instance now.
  std::array<std::string, kWorkers> lives = {"w0", "w1", "w2"};
};

FakeWorker& History::LifeOn(int number) {
  return this->fleet.worker(this->lives.at(number));
}

void History::Restart(int number) {
  FakeWorker& before = this->LifeOn(number);
  before.Crash();
  const std::string life = "life" + std::to_string(this->next_life++);
  this->fleet.AddWorker(life, before.description.instance.value());
  this->lives.at(number) = life;
}

void History::Refuse(std::optional<OrderResult>& refusal, int amount) {
  constexpr int kHalf = 50;
  constexpr int kQuarter = 25;
  if (amount >= kHalf) {
    refusal.reset();
  } else {
    refusal = amount < kQuarter ? OrderResult::kNoRoom : OrderResult::kRefused;
  }
}

void History::Happen(const Happening& happening) {
  constexpr int kHalf = 50;
  constexpr std::uint32_t kFactor = 10;
  const int amount = happening.amount;
  const auto permille = static_cast<std::uint32_t>(amount) * kFactor;
  const bool is_much = amount >= kHalf;
  FakeWorker& worker = this->LifeOn(happening.worker);
  switch (happening.kind) {
    case Kind::kSubmit:
      this->fleet.Submit("job" + std::to_string(this->next_job++),
                         {.count = is_much ? 2U : 1U});
      break;
    case Kind::kChangeLeader:
      this->fleet.keeps_open_commits = is_much;
      this->fleet.ChangeLeader();
      break;
    case Kind::kCut:
      worker.is_cut = true;
      worker.is_cut_with_resets = is_much;
      break;
    case Kind::kHeal:
      worker.is_cut = false;
      break;
    case Kind::kRestart:
      this->Restart(happening.worker);
      break;
    case Kind::kLoseOrders:
      this->fleet.late_permille = is_much ? permille : 0;
      break;
    case Kind::kLoseReports:
      this->fleet.lost_report_permille = is_much ? 0 : permille;
      this->fleet.late_report_permille = is_much ? permille : 0;
      break;
    case Kind::kDelayAnswers:
      this->fleet.answer_delay = Milliseconds(is_much ? 4 * amount : 0);
      break;
    case Kind::kFail:
      this->failing = static_cast<Failing>(amount % kFailings);
      break;
    case Kind::kWork:
      this->fleet.work = Milliseconds(kFactor * (1 + amount));
      break;
    case Kind::kCommit:
      this->fleet.commit_time = Milliseconds(is_much ? 4 * amount : amount / 2);
      break;
    case Kind::kStopSlowly:
      worker.stop_time = Milliseconds(is_much ? 4 * amount : 0);
      break;
    case Kind::kRefuseStarts:
      Refuse(worker.start_refusal, amount);
      break;
    case Kind::kRefuseStops:
      Refuse(worker.stop_refusal, amount);
      break;
    case Kind::kHideInstances:
      this->fleet.lists_instances = !is_much;
      break;
    case Kind::kMoveQueue:
      this->fleet.MoveClipsTo(is_much ? "thumbs" : "previews");
      break;
    case Kind::kResend:
      this->fleet.resent_permille = is_much ? permille : 0;
      this->fleet.resend_after = Milliseconds(1 + amount);
      break;
  }
  this->PassTime(Milliseconds(happening.pause_ms));
}

void History::Recover() {
  constexpr int kMostSeconds = 30;
  this->failing = Failing::kNone;
  this->fleet.late_permille = 0;
  this->fleet.lost_report_permille = 0;
  this->fleet.resent_permille = 0;
  for (int number = 0; number < kWorkers; ++number) {
    this->LifeOn(number).is_cut = false;
    this->LifeOn(number).start_refusal.reset();
    this->LifeOn(number).stop_refusal.reset();
  }
  for (int second = 0; second < kMostSeconds && !this->is_finished();
       ++second) {
    this->PassTime(Milliseconds(1'000));
  }
}

enum class Leases { kLong, kShort };

void Check(const std::vector<Kind>& kinds, Leases leases) {
  History history(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  if (leases == Leases::kShort) {
    history.ShortenLeases();
  }
  for (const Happening& happening : *GenerateHistory(kinds)) {
    history.Happen(happening);
    if (!history.problem().empty()) {
      RC_FAIL(history.problem());
    }
  }
  history.Recover();
  if (!history.problem().empty()) {
    RC_FAIL(history.problem());
  }
  RC_ASSERT(history.is_finished());
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereLeadersChange, ()) {
  Check(CommonKinds(), Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereMuchFails, ()) {
  Check(FaultyKinds(), Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereLeasesRunOut, ()) {
  Check(FaultyKinds(), Leases::kShort);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereQueuesMove, ()) {
  std::vector<Kind> kinds = CommonKinds();
  kinds.insert(kinds.end(), {Kind::kMoveQueue, Kind::kMoveQueue});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunWhereOrdersComeTwice, ()) {
  std::vector<Kind> kinds = FaultyKinds();
  kinds.insert(kinds.end(), {Kind::kResend, Kind::kResend});
  Check(kinds, Leases::kLong);
}

RC_GTEST_PROP(RunUniquenessPropertyTest, OneRunInAnyHistory, ()) {
  std::vector<Kind> kinds = FaultyKinds();
  kinds.insert(kinds.end(), {Kind::kMoveQueue, Kind::kResend});
  Check(kinds, *rc::gen::element(Leases::kLong, Leases::kShort));
}

}  // namespace
}  // namespace sumac::scheduler
