// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/soak_checks.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "libraries/base/text.h"

namespace sumac::stand_ins {
namespace {

using nlohmann::json;

constexpr const char* kJob = "00000000000000aa";

std::string TaskName(int index) {
  return StrCat(kJob, ".0.0.", index);
}

json IncarnationStart(std::int64_t at, const std::string& worker) {
  return {{"at", at},
          {"event", "life"},
          {"worker", worker},
          {"process", StrCat("process-of-", worker)},
          {"address", StrCat("address-of-", worker)}};
}

json Start(std::int64_t at,
           const std::string& worker,
           int index,
           int run,
           bool is_lasting = false) {
  return {{"at", at},         {"event", "start"},
          {"worker", worker}, {"task", TaskName(index)},
          {"run", run},       {"lasting", is_lasting}};
}

json End(std::int64_t at,
         const std::string& worker,
         int index,
         int number,
         const std::string& cause) {
  return {{"at", at},         {"event", "end"},
          {"worker", worker}, {"task", TaskName(index)},
          {"number", number}, {"cause", cause}};
}

json Acknowledged(std::int64_t at, const std::string& worker, int number) {
  return {{"at", at},
          {"event", "acknowledged"},
          {"worker", worker},
          {"number", number}};
}

// An event of a worker or of the soak test that has one name as its only field.
json NamedEvent(std::int64_t at,
                const std::string& event,
                const std::string& key,
                const std::string& name) {
  return {{"at", at}, {"event", event}, {key, name}};
}

json Job(std::int64_t at, int count) {
  return {{"at", at},
          {"event", "job"},
          {"id", kJob},
          {"steps", json::array({json{{"count", count}}})}};
}

json Call(std::int64_t at,
          const std::string& event,
          int status,
          const std::string& state = "",
          const std::string& error = "") {
  return {{"at", at},         {"event", event}, {"id", kJob},    {"took", 5},
          {"status", status}, {"state", state}, {"error", error}};
}

// One job of two tasks on two workers, done after one of the workers died.
std::vector<json> SoundHistory() {
  return {IncarnationStart(0, "a"),
          IncarnationStart(0, "b"),
          Job(100, 2),
          Call(110, "submit", 0),
          Call(120, "submit", 200),
          Start(130, "a", 0, 1),
          Start(131, "b", 1, 1),
          Call(140, "show", 200, "running"),
          NamedEvent(150, "killed", "process", "process-of-a"),
          End(330, "b", 1, 1, "done"),
          Acknowledged(340, "b", 1),
          Start(3'000, "b", 0, 2),
          End(3'200, "b", 0, 2, "done"),
          Acknowledged(3'210, "b", 2),
          Call(3'300, "show", 200, "done")};
}

std::vector<std::string> Find(std::vector<json> events) {
  const SoakHistory history(std::move(events));
  std::vector<std::string> violations = FindViolations(history);
  for (std::string& text : FindUnfinishedJobs(history)) {
    violations.push_back(std::move(text));
  }
  return violations;
}

// Checks that adding `event` to `events` causes exactly one violation, whose
// text begins with `text`.
void ExpectOne(std::vector<json> events, json event, const std::string& text) {
  events.push_back(std::move(event));
  const std::vector<std::string> violations = Find(std::move(events));
  ASSERT_EQ(violations.size(), 1U) << testing::PrintToString(violations);
  EXPECT_EQ(violations[0].substr(0, text.size()), text);
}

TEST(SoakChecks, FindsNothingInASoundHistory) {
  EXPECT_EQ(Find(SoundHistory()), std::vector<std::string>());
}

// The soak test logs a kill just before it kills the process. Guards against
// considering a task lost that ended as done in between, which reported its job
// as shown done too early.
TEST(SoakChecks, CountsAnEndBetweenTheLogEntryOfAKillAndTheKill) {
  std::vector<json> events = SoundHistory();
  events.push_back(NamedEvent(3'198, "killed", "process", "process-of-b"));
  EXPECT_EQ(Find(events), std::vector<std::string>());
}

TEST(SoakChecks, FindsARunBesideAnother) {
  std::vector<json> events = SoundHistory();
  events.push_back(IncarnationStart(0, "c"));
  events.push_back(End(250, "c", 1, 1, "stopped"));
  ExpectOne(events, Start(200, "c", 1, 2), "twice at once");
}

TEST(SoakChecks, FindsARunAfterAnAcknowledgedEnd) {
  ExpectOne(SoundHistory(), Start(400, "b", 1, 2),
            "started after an acknowledged end");
}

TEST(SoakChecks, LetsARunBeginAgainAfterALeaseExpired) {
  std::vector<json> events = SoundHistory();
  events.push_back(NamedEvent(335, "lapse", "worker", "b"));
  events.push_back(Start(400, "b", 1, 2));
  EXPECT_EQ(Find(events), std::vector<std::string>());
}

TEST(SoakChecks, FindsRunsOfARefusedJob) {
  const std::vector<json> events = {IncarnationStart(0, "a"), Job(100, 2),
                                    Call(120, "submit", 503)};
  ExpectOne(events, Start(130, "a", 0, 1), "refused, but started");
}

TEST(SoakChecks, FindsRunsThatNobodyAskedFor) {
  ExpectOne({IncarnationStart(0, "a")}, Start(130, "a", 0, 1), "nobody sent");
}

TEST(SoakChecks, FindsRunsAfterACancel) {
  const std::vector<json> events = {IncarnationStart(0, "a"), Job(100, 2),
                                    Call(120, "submit", 200),
                                    Call(200, "cancel", 200)};
  ExpectOne(events, Start(11'000, "a", 0, 1), "cancelled, but started");
}

// A submission that is still under way must not undo a confirmed cancel.
TEST(SoakChecks, FindsRunsAfterACancelThatPrecedesItsSubmission) {
  const std::vector<json> events = {IncarnationStart(0, "a"), Job(100, 2),
                                    Call(120, "submit", 0),
                                    Call(200, "cancel", 410)};
  ExpectOne(events, Start(300, "a", 0, 1), "cancelled before it was known");
}

TEST(SoakChecks, FindsAnAcceptedJobThatIsUnknown) {
  ExpectOne(SoundHistory(), Call(3'400, "show", 410), "accepted job");
}

TEST(SoakChecks, FindsAJobThatIsShownOlder) {
  ExpectOne(SoundHistory(), Call(3'400, "show", 200, "running"), "shown older");
  std::vector<json> events = SoundHistory();
  ExpectOne(events, Call(3'400, "show", 200, "failed"), "shown older");
  ExpectOne(events, Call(200, "show", 200, "queued"), "queued again");
  events.push_back(Call(200, "show", 200, "queued"));
  events.push_back(Call(3'400, "show", 200, "queued"));
  EXPECT_EQ(Find(events).size(), 2U);
}

TEST(SoakChecks, FindsAJobThatIsShownDoneTooEarly) {
  ExpectOne(SoundHistory(), Call(3'190, "show", 200, "done"),
            StrCat("job ", kJob, " shown done too early"));
}

TEST(SoakChecks, FindsAnAnswerThatIsNotWhole) {
  ExpectOne(SoundHistory(), Call(3'400, "show", 0, "", "cut answer"),
            "answer about job");
  ExpectOne(SoundHistory(), Call(3'400, "show", 200, ""),
            StrCat("job ", kJob, " shown without a state"));
}

TEST(SoakChecks, FindsAJobThatNeverEnds) {
  ExpectOne({Job(100, 2)}, Call(120, "submit", 200),
            StrCat("job ", kJob, " is accepted and never done"));
}

TEST(SoakChecks, FindsAProcessThatEndsByItself) {
  ExpectOne(SoundHistory(), NamedEvent(400, "own-end", "process", "c1"),
            "c1 ended by itself");
}

// Three lasting tasks on three workers; the first task is stopped.
std::vector<json> LastingHistory() {
  return {IncarnationStart(0, "a"),    IncarnationStart(0, "b"),
          IncarnationStart(0, "c"),    Job(100, 3),
          Call(120, "submit", 200),    Call(90'000, "cancel", 200),
          Start(130, "a", 0, 1, true), Start(130, "b", 1, 1, true),
          Start(130, "c", 2, 1, true), End(1'000, "a", 0, 1, "stopped")};
}

TEST(SoakChecks, FindsAStopBeyondTheBudget) {
  EXPECT_EQ(Find(LastingHistory()), std::vector<std::string>());
  ExpectOne(LastingHistory(), End(1'100, "b", 1, 1, "stopped"),
            "stopped while 1 others");
}

TEST(SoakChecks, ExcusesAStopOverAHarmedLinkAtALeavingWorkerOrOfACancelledJob) {
  const std::vector<json> excuses = {
      NamedEvent(1'050, "harmed", "address", "address-of-b"),
      NamedEvent(1'050, "leaves", "worker", "b"), Call(1'050, "cancel", 200)};
  for (const json& excuse : excuses) {
    std::vector<json> events = LastingHistory();
    events.push_back(excuse);
    events.push_back(End(1'100, "b", 1, 1, "stopped"));
    EXPECT_EQ(Find(events), std::vector<std::string>()) << excuse;
  }
}

TEST(SoakChecks, CountsALostTaskAsAwayOnlyAfterTheNotice) {
  std::vector<json> events = LastingHistory();
  events.push_back(Start(1'500, "a", 0, 2, true));
  events.push_back(NamedEvent(2'000, "killed", "process", "process-of-c"));
  std::vector<json> soon = events;
  soon.push_back(End(3'000, "b", 1, 1, "stopped"));
  EXPECT_EQ(Find(soon), std::vector<std::string>());
  ExpectOne(events, End(7'000, "b", 1, 1, "stopped"), "stopped while 1 others");
}

}  // namespace
}  // namespace sumac::stand_ins
