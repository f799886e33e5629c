// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_JOBS_STATE_H_
#define LIBRARIES_JOBS_JOBS_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/fleet/answer.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/job.h"
#include "libraries/jobs/wave.h"
#include "libraries/jobs/worker.h"

namespace sumac::jobs {

// Reads the operators' document; kInvalidDeclaration for one that must not come
// into force.
using DeclarationDecoder =
    std::function<absl::StatusOr<JobsDeclaration>(std::string_view document)>;

// When an order about an instance, to move or to maintain it, was last about to
// go out, and by which leadership.
struct MoveRecord {
  LeaderEpoch epoch;
  WallTime at{};
  // The worker that ends with the order; empty if none is known.
  WorkerId worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("epoch", self.epoch);
    visitor.Field("at", self.at);
    visitor.Field("worker", self.worker);
  }
};

// All that is replicated about jobs, as a snapshot holds it.
struct JobsRecord {
  LeaderEpoch epoch;
  std::uint64_t declaration_version = 0;
  std::string declaration_document;
  std::uint64_t next_sequence = 1;
  std::map<JobId, Job> jobs;
  std::map<WorkerId, Worker> workers;
  // Lives that are over, by the time of their end; kept while a late
  // announcement may still come.
  std::map<WorkerId, WallTime> ended_workers;
  std::map<WaveId, Wave> waves;
  // Recent moves; older ones are dropped.
  std::map<InstanceName, MoveRecord> moves;
  // When old moves and ended workers were last looked for.
  WallTime swept_at{};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("epoch", self.epoch);
    visitor.Field("declaration_version", self.declaration_version);
    visitor.Field("declaration_document", self.declaration_document);
    visitor.Field("next_sequence", self.next_sequence);
    visitor.Field("jobs", self.jobs);
    visitor.Field("workers", self.workers);
    visitor.Field("ended_workers", self.ended_workers);
    visitor.Field("waves", self.waves);
    visitor.Field("moves", self.moves);
    visitor.Field("swept_at", self.swept_at);
  }
};

// The replicated state of jobs: which were accepted, what of them has ended,
// which workers there are, what is declared. Where tasks run now is not part of
// it; a leader learns that from the workers. Pure and deterministic: the same
// commands give the same state everywhere.
class JobsState {
 public:
  explicit JobsState(DeclarationDecoder decoder);

  // Applies one committed command.
  fleet::Answer Apply(const StampedCommand& command);

  // The answer to a declaration that changes nothing, since one of its version
  // or a higher one is in force; nothing for one that has to be committed.
  std::optional<fleet::Answer> AnswerIfNotNewer(const Declare& command) const;

  // Replaces the whole state with a snapshot's bytes.
  absl::Status Load(const std::string& bytes);
  // The whole state as a snapshot holds it.
  const JobsRecord& record() const { return this->own_record; }

  LeaderEpoch epoch() const { return this->own_record.epoch; }
  const JobsDeclaration& declaration() const { return this->declared; }
  const std::map<WorkerId, Worker>& workers() const {
    return this->own_record.workers;
  }
  const std::map<WaveId, Wave>& waves() const { return this->own_record.waves; }
  // Grows whenever a job is finished for good.
  std::uint64_t finish_count() const { return this->finishes; }
  const Job* FindJob(const JobId& id) const;
  // What was asked of a task's step; nothing if there is no such task.
  const StepSpec* FindStep(const TaskId& task) const;
  const Worker* FindWorker(const WorkerId& id) const;
  // The present life of this name; nothing if none is known.
  const Worker* FindCurrentIncarnation(const WorkerName& name) const;
  // The workers that a command records, ends or replaces; to be asked before it
  // is applied.
  std::set<WorkerId> FindAffectedWorkers(const Command& command) const;
  // True if this crash needs no record any more: it is on record, or its job
  // has finished.
  bool IsCrashSettled(const CrashedRun& run) const;
  // The jobs that are active, in the order in which they were accepted.
  const std::map<std::uint64_t, const Job*>& active_jobs() const {
    return this->active;
  }

 private:
  fleet::Answer ApplyCommand(const BeginEpoch& command, WallTime at);
  fleet::Answer ApplyCommand(const Declare& command, WallTime at);
  fleet::Answer ApplyCommand(const RecordWorker& command, WallTime at);
  fleet::Answer ApplyCommand(const ForgetWorker& command, WallTime at);
  fleet::Answer ApplyCommand(const SubmitJob& command, WallTime at);
  fleet::Answer ApplyCommand(const CancelJob& command, WallTime at);
  fleet::Answer ApplyCommand(const RecordEnds& command, WallTime at);
  fleet::Answer ApplyCommand(const RecordBegun& command, WallTime at);
  fleet::Answer ApplyCommand(const StartWave& command, WallTime at);
  fleet::Answer ApplyCommand(const RecordMaintenance& command, WallTime at);
  fleet::Answer ApplyCommand(const RecordMoves& command, WallTime at);

  void ApplyRunEnd(const RunEnd& end, WallTime at);
  void ApplyCrash(const WorkerId& worker, const CrashedRun& run, WallTime at);
  void ApplyGangEnd(Job& job,
                    const RunEnd& end,
                    StepProgress& step,
                    WallTime at);
  void FinishIfAllDone(Job& job, const TaskId& task, WallTime at);
  void Finish(Job& job, JobState state, std::string reason, WallTime at);
  void UpdateFromDeclaration(Job& job) const;
  void DropOldRecords(WallTime now);
  void SweepInstanceRecords(WallTime now);
  const Worker* FindIncarnationToForget(const ForgetWorker& command) const;
  void EndIncarnation(const WorkerId& worker, WallTime at);
  void Reindex();

  DeclarationDecoder decoder;
  JobsRecord own_record;
  JobsDeclaration declared;
  std::uint64_t finishes = 1;
  std::map<std::uint64_t, const Job*> active;
  // The present life of each worker, by its name.
  std::unordered_map<WorkerName, WorkerId> current_incarnations;
  // Every job; a lookup by name is frequent.
  std::unordered_map<JobId, const Job*> by_id;
  // Finished jobs by the time of their end, to be dropped in that order.
  std::set<std::pair<WallTime, JobId>> finished;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_JOBS_STATE_H_
