// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/jobs_state.h"

#include <gtest/gtest.h>

#include "libraries/base/error.h"
#include "libraries/codec/cbor_writer.h"

namespace sumac::jobs {
namespace {

const QueueName kQueue("clips");

// Decodes a document that holds the name of the queue's service, or "bad".
absl::StatusOr<JobsDeclaration> Decode(std::string_view document) {
  if (document == "bad") {
    return MakeError(ResultCode::kInvalidDeclaration, "bad");
  }
  const ServiceName service{std::string(document)};
  return JobsDeclaration(1,
                         {{.name = kQueue,
                           .host = "h",
                           .path_prefix = "/",
                           .service = service,
                           .most_attempts = 2}},
                         {{.name = service}});
}

class JobsStateTest : public testing::Test {
 protected:
  JobsStateTest() : state(Decode) { this->Do(Declare{1, "previews"}); }

  fleet::Answer Do(Command command) {
    this->at += Milliseconds(1);
    return this->state.Apply({this->at, std::move(command)});
  }
  void Submit(const std::string& id, std::vector<StepSpec> steps) {
    EXPECT_TRUE(
        this->Do(SubmitJob{JobId(id), kQueue, {.steps = std::move(steps)}})
            .is_ok());
  }
  void End(const std::string& id,
           std::uint32_t step,
           std::uint32_t index,
           RunOutcome outcome,
           std::uint64_t run = 1) {
    this->Do(RecordEnds{
        {RunEnd{{{JobId(id), 0, step}, index}, RunNumber(run), outcome}}});
  }
  JobState StateOf(const std::string& id) const {
    return this->state.FindJob(JobId(id))->state;
  }

  JobsState state;
  WallTime at{Milliseconds(1'000'000)};
};

TEST_F(JobsStateTest, OnlyAHigherVersionComesIntoForce) {
  EXPECT_TRUE(this->Do(Declare{5, "other"}).is_ok());
  EXPECT_EQ(this->state.record().declaration_document, "other");
  // The same version and older ones are accepted and change nothing.
  EXPECT_TRUE(this->Do(Declare{5, "third"}).is_ok());
  EXPECT_TRUE(this->Do(Declare{4, "third"}).is_ok());
  EXPECT_EQ(this->state.record().declaration_document, "other");
  EXPECT_EQ(this->Do(Declare{9, "bad"}).code, ResultCode::kInvalidDeclaration);
  EXPECT_EQ(this->state.record().declaration_version, 5U);
}

// Operators send a declaration again until they have its answer. A copy that
// arrives once the declaration is in force needs no further commit.
TEST_F(JobsStateTest, ADeclarationThatIsInForceNeedsNoCommit) {
  this->Do(Declare{5, "other"});
  EXPECT_TRUE(this->state.AnswerIfNotNewer(Declare{5, "other"}).has_value());
  EXPECT_TRUE(this->state.AnswerIfNotNewer(Declare{4, "third"})->is_ok());
  EXPECT_FALSE(this->state.AnswerIfNotNewer(Declare{6, "third"}).has_value());
}

TEST_F(JobsStateTest, AJobIsAcceptedOnce) {
  this->Submit("a", {{.count = 1}});
  this->Submit("a", {{.count = 7}});
  EXPECT_EQ(this->state.FindJob(JobId("a"))->spec.steps[0].count, 1U);
  EXPECT_EQ(this->state.active_jobs().size(), 1U);
  EXPECT_EQ(this->Do(SubmitJob{JobId("b"), QueueName("none"), {}}).code,
            ResultCode::kUnknownName);
}

TEST_F(JobsStateTest, AJobIsDoneOnceAllItsTasksAre) {
  this->Submit("a", {{.count = 2}, {.count = 1, .after = {0}}});
  EXPECT_FALSE(this->state.FindJob(JobId("a"))->IsStepReady(0, 1));
  this->End("a", 0, 0, RunOutcome::kDone);
  this->End("a", 0, 0, RunOutcome::kDone);
  this->End("a", 0, 1, RunOutcome::kDone);
  EXPECT_TRUE(this->state.FindJob(JobId("a"))->IsStepReady(0, 1));
  EXPECT_EQ(this->StateOf("a"), JobState::kActive);
  this->End("a", 1, 0, RunOutcome::kDone);
  EXPECT_EQ(this->StateOf("a"), JobState::kDone);
  EXPECT_TRUE(this->state.active_jobs().empty());
}

TEST_F(JobsStateTest, AnEndThatIsReportedAgainCountsOnce) {
  this->Submit("a", {{.count = 1}});
  this->End("a", 0, 0, RunOutcome::kFailed, 1);
  this->End("a", 0, 0, RunOutcome::kFailed, 1);
  EXPECT_EQ(this->StateOf("a"), JobState::kActive);
  this->End("a", 0, 0, RunOutcome::kFailed, 2);
  EXPECT_EQ(this->StateOf("a"), JobState::kFailed);
}

TEST_F(JobsStateTest, EndsOfUnknownTasksChangeNothing) {
  this->Submit("a", {{.count = 1}});
  this->End("a", 0, 7, RunOutcome::kDone);
  this->End("a", 3, 0, RunOutcome::kDone);
  this->End("unknown", 0, 0, RunOutcome::kDone);
  EXPECT_EQ(this->StateOf("a"), JobState::kActive);
}

TEST_F(JobsStateTest, ALongRunningTaskNeitherEndsNorFailsItsJob) {
  this->Submit("a", {{.count = 1, .is_long_running = true}});
  for (std::uint64_t run = 1; run < 9; ++run) {
    this->End("a", 0, 0, run % 2 == 0 ? RunOutcome::kDone : RunOutcome::kFailed,
              run);
  }
  EXPECT_EQ(this->StateOf("a"), JobState::kActive);
}

TEST_F(JobsStateTest, ACancelledJobStaysCancelled) {
  this->Submit("a", {{.count = 1}});
  EXPECT_TRUE(this->Do(CancelJob{JobId("a")}).is_ok());
  this->End("a", 0, 0, RunOutcome::kDone);
  EXPECT_EQ(this->StateOf("a"), JobState::kCancelled);
  EXPECT_EQ(this->Do(CancelJob{JobId("none")}).code, ResultCode::kUnknownName);
}

TEST_F(JobsStateTest, AFinishedJobIsKeptForAWhile) {
  this->Submit("a", {{.count = 1}});
  this->End("a", 0, 0, RunOutcome::kDone);
  this->at += Milliseconds(120'000);
  this->Do(BeginEpoch{});
  EXPECT_NE(this->state.FindJob(JobId("a")), nullptr);
  this->at += Milliseconds(120'000);
  this->Do(BeginEpoch{});
  EXPECT_EQ(this->state.FindJob(JobId("a")), nullptr);
}

TEST_F(JobsStateTest, AJobFollowsItsQueueToAnotherService) {
  this->Submit("a", {{.count = 1}});
  this->Do(Declare{2, "other"});
  EXPECT_EQ(this->state.FindJob(JobId("a"))->service.value(), "other");
}

TEST_F(JobsStateTest, AnEndedWorkerDoesNotComeBack) {
  this->Do(RecordWorker{{.id = WorkerId("w"), .sequence = 3}});
  this->Do(
      RecordWorker{{.id = WorkerId("w"), .is_draining = true, .sequence = 4}});
  this->Do(RecordWorker{{.id = WorkerId("w"), .sequence = 2}});
  EXPECT_TRUE(this->state.FindWorker(WorkerId("w"))->is_draining);
  this->Do(ForgetWorker{WorkerId("w"), true});
  this->Do(RecordWorker{{.id = WorkerId("w"), .sequence = 9}});
  EXPECT_EQ(this->state.FindWorker(WorkerId("w")), nullptr);
  // A worker that was only silent may come back.
  this->Do(RecordWorker{{.id = WorkerId("v"), .sequence = 1}});
  this->Do(ForgetWorker{WorkerId("v"), false, 1});
  EXPECT_EQ(this->state.FindWorker(WorkerId("v")), nullptr);
  this->Do(RecordWorker{{.id = WorkerId("v"), .sequence = 2}});
  EXPECT_NE(this->state.FindWorker(WorkerId("v")), nullptr);
  // A removal that was proposed before the worker came back has no effect.
  this->Do(ForgetWorker{WorkerId("v"), false, 1});
  EXPECT_NE(this->state.FindWorker(WorkerId("v")), nullptr);
}

TEST_F(JobsStateTest, MaintenanceGoesOnlyForwardUnlessAnOrderIsWithdrawn) {
  this->Do(StartWave{WaveId("1"), {InstanceName("m")}, Milliseconds(1), 1});
  const auto step = [&](MaintenanceState next) {
    this->Do(RecordMaintenance{WaveId("1"), InstanceName("m"), next, {}});
    return this->state.waves()
        .at(WaveId("1"))
        .instances.at(InstanceName("m"))
        .state;
  };
  using enum MaintenanceState;
  EXPECT_EQ(step(kOrdered), kOrdered);
  EXPECT_EQ(step(kWaiting), kWaiting);
  EXPECT_EQ(step(kOrdered), kOrdered);
  EXPECT_EQ(step(kBegun), kBegun);
  EXPECT_EQ(step(kWaiting), kBegun);
  EXPECT_EQ(step(kOver), kOver);
  EXPECT_TRUE(this->state.waves().at(WaveId("1")).is_done());
}

TEST_F(JobsStateTest, ASnapshotHoldsTheWholeState) {
  this->Submit("a", {{.count = 2}});
  this->Submit("b", {{.count = 1}});
  this->End("a", 0, 1, RunOutcome::kDone, 5);
  this->End("b", 0, 0, RunOutcome::kDone);
  this->Do(RecordWorker{{.id = WorkerId("w"), .sequence = 3}});
  this->Do(BeginEpoch{});
  const std::string bytes = ToCbor(this->state.record());
  JobsState loaded(Decode);
  ASSERT_TRUE(loaded.Load(bytes).ok());
  EXPECT_EQ(ToCbor(loaded.record()), bytes);
  EXPECT_EQ(loaded.active_jobs().size(), 1U);
  EXPECT_EQ(loaded.epoch(), LeaderEpoch(1));
  EXPECT_EQ(loaded.FindJob(JobId("a"))
                ->ProgressOf({{JobId("a"), 0, 0}, 1})
                .last_ended_run,
            RunNumber(5));
  EXPECT_NE(loaded.declaration().FindQueue(kQueue), nullptr);
}

// Guards against large snapshots: a controller that restarts with an empty disk
// has to load one, and with the working state of all finished jobs in it this
// took too long at peak load.
TEST_F(JobsStateTest, AFinishedJobDropsItsWorkingState) {
  constexpr std::uint32_t kTasks = 32;
  constexpr std::size_t kSmall = 700;
  const std::size_t before = ToCbor(this->state.record()).size();
  const JobSpec spec{.text = std::string(2'400, 'x'),
                     .steps = {{.count = kTasks}}};
  this->Do(SubmitJob{JobId("a"), kQueue, spec});
  for (std::uint32_t index = 0; index < kTasks; ++index) {
    this->End("a", 0, index, RunOutcome::kDone);
  }
  EXPECT_EQ(this->StateOf("a"), JobState::kDone);
  EXPECT_EQ(this->state.FindJob(JobId("a"))->CountAllDone(), kTasks);
  EXPECT_LT(ToCbor(this->state.record()).size(), before + kSmall);
  // A late end and a repeated submission change nothing.
  this->End("a", 0, 1, RunOutcome::kFailed, 9);
  this->Do(SubmitJob{JobId("a"), kQueue, spec});
  EXPECT_EQ(this->StateOf("a"), JobState::kDone);
  EXPECT_TRUE(this->state.active_jobs().empty());
}

TEST_F(JobsStateTest, OneEndAsDoneCountsForAWholeGang) {
  this->Submit("gang", {{.count = 3, .is_gang = true}, {.after = {0}}});
  this->End("gang", 0, 1, RunOutcome::kDone);
  EXPECT_TRUE(this->state.FindJob(JobId("gang"))->IsStepDone(0, 0));
  EXPECT_EQ(this->StateOf("gang"), JobState::kActive);
  this->End("gang", 0, 0, RunOutcome::kDone);
  this->End("gang", 1, 0, RunOutcome::kDone);
  EXPECT_EQ(this->StateOf("gang"), JobState::kDone);
}

TEST_F(JobsStateTest, AFailedRunOfAGangCountsOnceForAllMembers) {
  this->Submit("gang", {{.count = 3, .is_gang = true}});
  this->End("gang", 0, 0, RunOutcome::kFailed, 1);
  this->End("gang", 0, 1, RunOutcome::kFailed, 1);
  EXPECT_EQ(this->StateOf("gang"), JobState::kActive);
  EXPECT_EQ(this->state.FindJob(JobId("gang"))
                ->ProgressOf({{JobId("gang"), 0, 0}, 2})
                .last_ended_run,
            RunNumber(1));
  // Another member fails the next run, which reaches the limit of two failed
  // runs.
  this->End("gang", 0, 2, RunOutcome::kFailed, 2);
  EXPECT_EQ(this->StateOf("gang"), JobState::kFailed);
}

// Replicas that applied the same commands must hold the same records of ended
// workers and moves, including a replica that started from a snapshot between
// two sweeps.
TEST_F(JobsStateTest, OldRecordsAreDroppedAlikeAfterASnapshot) {
  this->Do(RecordMoves{{InstanceName("m1")}});
  this->Do(ForgetWorker{WorkerId("w1"), true});
  this->at += Milliseconds(29'600);
  this->Do(RecordMoves{{InstanceName("m2")}});
  JobsState copy(Decode);
  ASSERT_TRUE(copy.Load(ToCbor(this->state.record())).ok());
  for (int command = 0; command < 400; ++command) {
    this->at += Milliseconds(499);
    this->Do(RecordMoves{{}});
    copy.Apply({this->at, RecordMoves{{}}});
    ASSERT_EQ(ToCbor(this->state.record()), ToCbor(copy.record())) << command;
  }
  EXPECT_TRUE(this->state.record().moves.empty());
  EXPECT_TRUE(this->state.record().ended_workers.empty());
}

TEST(TaskIdTest, IsReadBackFromItsText) {
  const TaskId task{{JobId("5c0e7a21d94b36f8"), 2, 1}, 17};
  EXPECT_EQ(task.ToText(), "5c0e7a21d94b36f8.2.1.17");
  EXPECT_EQ(TaskId::Parse(task.ToText()), task);
  for (const char* text : {"", "a", "a.1", "a.1.2", ".1.2.3", "a.1.2.x"}) {
    EXPECT_FALSE(TaskId::Parse(text)) << text;
  }
}

// Returns a command that records the crash of a worker that ran the first task
// of a job.
ForgetWorker CrashOf(const std::string& job,
                     std::uint64_t run,
                     bool is_only_suspect) {
  return ForgetWorker{
      .worker = WorkerId("w" + std::to_string(run)),
      .is_over = true,
      .crashed_runs = {CrashedRun{.task = {{JobId(job), 0, 0}, 0},
                                  .run = RunNumber(run),
                                  .has_begun = true,
                                  .is_only_suspect = is_only_suspect}}};
}

TEST_F(JobsStateTest, ACrashThatIsRecordedAgainCountsOnce) {
  this->Submit("j", {{.count = 2}});
  for (int time = 0; time < 5; ++time) {
    this->Do(CrashOf("j", 1, true));
  }
  EXPECT_EQ(this->StateOf("j"), JobState::kActive);
  EXPECT_EQ(this->state.FindJob(JobId("j"))->crashes.front().crashes.size(), 1);
}

TEST_F(JobsStateTest, ATaskUnderWhichThreeWorkersCrashedFailsItsJob) {
  this->Submit("j", {{.count = 2}});
  this->Do(CrashOf("j", 1, false));
  this->Do(CrashOf("j", 2, false));
  EXPECT_EQ(this->StateOf("j"), JobState::kActive);
  this->Do(CrashOf("j", 3, false));
  EXPECT_EQ(this->StateOf("j"), JobState::kFailed);
  EXPECT_EQ(
      this->state.FindJob(JobId("j"))->reason,
      "3 workers crashed under task j.0.0.0: worker w1 at 1000003, worker "
      "w2 at 1000004, worker w3 at 1000005");
}

TEST_F(JobsStateTest, AnOnlySuspectFailsItsJobAfterTwoCrashes) {
  this->Submit("j", {{.count = 2}});
  this->Do(CrashOf("j", 1, false));
  this->Do(CrashOf("j", 2, true));
  EXPECT_EQ(this->StateOf("j"), JobState::kFailed);
}

TEST_F(JobsStateTest, TwoCrashesDoNotFailAJobIfAStartWasUnanswered) {
  this->Submit("j", {{.count = 2}});
  this->Do(CrashOf("j", 1, true));
  ForgetWorker unanswered = CrashOf("j", 2, true);
  unanswered.crashed_runs.front().has_begun = false;
  this->Do(unanswered);
  EXPECT_EQ(this->StateOf("j"), JobState::kActive);
}

TEST_F(JobsStateTest, UnansweredStartsFailAJobAfterFourCrashes) {
  this->Submit("j", {{.count = 2}});
  for (std::uint64_t run = 1; run <= 4; ++run) {
    EXPECT_EQ(this->StateOf("j"), JobState::kActive);
    ForgetWorker unanswered = CrashOf("j", run, true);
    unanswered.crashed_runs.front().has_begun = run == 1;
    this->Do(unanswered);
  }
  EXPECT_EQ(this->StateOf("j"), JobState::kFailed);
}

// Crashes in which the task had long been at work are no failures of the task.
TEST_F(JobsStateTest, ABystanderOfManyCrashesDoesNotFailItsJob) {
  this->Submit("j", {{.count = 2}});
  for (std::uint64_t run = 1; run <= 20; ++run) {
    ForgetWorker command = CrashOf("j", run, false);
    command.crashed_runs.front().survived = Milliseconds(1'000);
    this->Do(command);
    ASSERT_EQ(this->StateOf("j"), JobState::kActive)
        << this->state.FindJob(JobId("j"))->reason;
    EXPECT_TRUE(this->state.IsCrashSettled(command.crashed_runs.front()));
  }
}

TEST_F(JobsStateTest, CrashesSurviveASnapshot) {
  this->Submit("j", {{.count = 2}});
  this->Do(CrashOf("j", 1, false));
  this->Do(CrashOf("j", 2, false));
  ASSERT_TRUE(this->state.Load(ToCbor(this->state.record())).ok());
  this->Do(CrashOf("j", 2, false));
  EXPECT_EQ(this->StateOf("j"), JobState::kActive);
  this->Do(CrashOf("j", 3, false));
  EXPECT_EQ(this->StateOf("j"), JobState::kFailed);
}

TEST_F(JobsStateTest, ACrashUnderADoneTaskIsNotCounted) {
  this->Submit("j", {{.count = 2}});
  this->End("j", 0, 0, RunOutcome::kDone);
  this->Do(CrashOf("j", 2, true));
  EXPECT_TRUE(this->state.FindJob(JobId("j"))->crashes.empty());
  EXPECT_FALSE(this->state.IsCrashSettled(
      CrashedRun{.task = {{JobId("j"), 0, 0}, 1}, .run = RunNumber(1)}));
}

// Returns an order that was received while the data centre had that version.
ChangeDataCentre OrderFor(DataCentreUse use, std::uint64_t version) {
  return {.data_centre = DataCentre("dc-a"),
          .use = use,
          .expected_version = version};
}

TEST_F(JobsStateTest, AnEvacuationHoldsUntilItIsWithdrawn) {
  EXPECT_TRUE(this->state.IsInUse(DataCentre("dc-a")));
  EXPECT_TRUE(this->Do(OrderFor(DataCentreUse::kEvacuated, 0)).is_ok());
  EXPECT_FALSE(this->state.IsInUse(DataCentre("dc-a")));
  EXPECT_TRUE(this->state.IsInUse(DataCentre("dc-b")));
  // The same order again changes nothing.
  EXPECT_TRUE(this->Do(OrderFor(DataCentreUse::kEvacuated, 0)).is_ok());
  EXPECT_EQ(this->state.FindDataCentre(DataCentre("dc-a")).version, 1U);
  EXPECT_TRUE(this->Do(OrderFor(DataCentreUse::kInUse, 1)).is_ok());
  EXPECT_TRUE(this->state.IsInUse(DataCentre("dc-a")));
}

// The operator withdrew the evacuation while a copy of its order was delayed,
// for example in a process that was suspended.
TEST_F(JobsStateTest, ADelayedEvacuationDoesNotUndoItsWithdrawal) {
  this->Do(OrderFor(DataCentreUse::kEvacuated, 0));
  this->Do(OrderFor(DataCentreUse::kInUse, 1));
  EXPECT_EQ(this->Do(OrderFor(DataCentreUse::kEvacuated, 0)).code,
            ResultCode::kDataCentreChanged);
  EXPECT_TRUE(this->state.IsInUse(DataCentre("dc-a")));
}

TEST_F(JobsStateTest, ADelayedWithdrawalDoesNotUndoTheNextEvacuation) {
  this->Do(OrderFor(DataCentreUse::kEvacuated, 0));
  this->Do(OrderFor(DataCentreUse::kInUse, 1));
  this->Do(OrderFor(DataCentreUse::kEvacuated, 2));
  EXPECT_EQ(this->Do(OrderFor(DataCentreUse::kInUse, 1)).code,
            ResultCode::kDataCentreChanged);
  EXPECT_FALSE(this->state.IsInUse(DataCentre("dc-a")));
}

TEST_F(JobsStateTest, AnEvacuationSurvivesASnapshot) {
  this->Do(OrderFor(DataCentreUse::kEvacuated, 0));
  ASSERT_TRUE(this->state.Load(ToCbor(this->state.record())).ok());
  EXPECT_FALSE(this->state.IsInUse(DataCentre("dc-a")));
  EXPECT_EQ(this->state.FindDataCentre(DataCentre("dc-a")).version, 1U);
}

}  // namespace
}  // namespace sumac::jobs
