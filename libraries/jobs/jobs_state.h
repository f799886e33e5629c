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
#include "libraries/jobs/job_address.h"
#include "libraries/jobs/job_tombstones.h"
#include "libraries/jobs/wave.h"
#include "libraries/jobs/worker.h"

namespace sumac::jobs {

// Parses the operators' document. Returns kInvalidDeclaration if it can't be
// read. Whether it may come into force is for JobsDeclaration::Check to tell:
// an earlier version may have put a document in force that fails the present
// check, and its state must still load.
using DeclarationDecoder =
    std::function<absl::StatusOr<JobsDeclaration>(std::string_view document)>;

// The last time at which a leader was about to send an order to move or
// maintain an instance, and the epoch of that leader.
struct MoveRecord {
  LeaderEpoch epoch;
  WallTime at{};
  // The worker that ends when the order is carried out; empty if none is known.
  WorkerId worker;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("epoch", self.epoch);
    visitor.Field("at", self.at);
    visitor.Field("worker", self.worker);
  }
};

// The replicated data about jobs, as a snapshot stores it.
struct JobsRecord {
  LeaderEpoch epoch;
  std::uint64_t declaration_version = 0;
  std::string declaration_document;
  std::uint64_t next_sequence = 1;
  std::map<JobId, Job> jobs;
  JobTombstones cancelled_jobs;
  std::map<WorkerId, Worker> workers;
  // Incarnations of workers that are over, with the last time at which their
  // end was confirmed; kept as long as a late announcement of them may arrive.
  std::map<WorkerId, WallTime> ended_workers;
  std::map<WaveId, Wave> waves;
  // Recent moves; older ones are removed.
  std::map<InstanceName, MoveRecord> moves;
  // The time of the last sweep for cancelled jobs, old moves and ended workers.
  WallTime swept_at{};
  // The data centres whose state operators have changed.
  std::map<DataCentre, DataCentreRecord> data_centres;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("epoch", self.epoch);
    visitor.Field("declaration_version", self.declaration_version);
    visitor.Field("declaration_document", self.declaration_document);
    visitor.Field("next_sequence", self.next_sequence);
    visitor.Field("jobs", self.jobs);
    visitor.Field("cancelled_jobs", self.cancelled_jobs);
    visitor.Field("workers", self.workers);
    visitor.Field("ended_workers", self.ended_workers);
    visitor.Field("waves", self.waves);
    visitor.Field("moves", self.moves);
    visitor.Field("swept_at", self.swept_at);
    visitor.Field("data_centres", self.data_centres);
  }
};

// The replicated state of jobs: the accepted jobs and their ended runs, the
// workers, and the declaration in force. It does not hold which worker runs
// which task; a leader learns that from the workers. Pure and deterministic:
// the same commands give the same state on every replica.
class JobsState {
 public:
  explicit JobsState(DeclarationDecoder decoder);

  // Applies one committed command.
  fleet::Answer Apply(const StampedCommand& command);

  // Returns the answer to a declaration that changes nothing because its
  // version or a higher one is in force. Returns nothing for a declaration that
  // has to be committed.
  std::optional<fleet::Answer> AnswerIfNotNewer(const Declare& command) const;

  // Returns the answer to a cancel that needs no commit, because a record
  // confirms it for long enough. Returns nothing for a cancel that has to be
  // committed.
  std::optional<fleet::Answer> AnswerIfCancelled(const CancelJob& command,
                                                 WallTime now) const;

  // Returns the refusal of a cancel that would have to be recorded and for
  // which there is no room; nothing if it may be committed.
  std::optional<fleet::Answer> RefuseCancel(const CancelJob& command,
                                            WallTime now) const;

  // Returns the refusal of a submission whose job was cancelled before it
  // arrived; nothing if it may be accepted.
  std::optional<fleet::Answer> RefuseIfCancelled(
      const JobId& job,
      const RequestOrigin& origin) const;

  // Replaces the whole state with that of an encoded snapshot.
  absl::Status Load(const std::string& bytes);
  // Returns the error that Load would return, and changes nothing.
  absl::Status CheckLoadable(const std::string& bytes) const {
    return JobsState(this->decoder).Load(bytes);
  }
  // Returns the whole state as a snapshot stores it.
  const JobsRecord& record() const { return this->own_record; }

  LeaderEpoch epoch() const { return this->own_record.epoch; }
  const JobsDeclaration& declaration() const { return this->declared; }
  const std::map<WorkerId, Worker>& workers() const {
    return this->own_record.workers;
  }
  const JobTombstones& cancelled_jobs() const {
    return this->own_record.cancelled_jobs;
  }
  const std::map<WaveId, Wave>& waves() const { return this->own_record.waves; }
  // Returns the state of a data centre; that of one in use if operators never
  // changed it.
  DataCentreRecord FindDataCentre(const DataCentre& name) const;
  // Returns true if tasks may be started in the data centre: it is not
  // evacuated.
  bool IsInUse(const DataCentre& name) const {
    return !this->evacuated.contains(name);
  }
  const std::set<DataCentre>& evacuated_data_centres() const {
    return this->evacuated;
  }
  // Returns a count that grows whenever a job finishes or a snapshot is loaded.
  std::uint64_t finish_count() const { return this->finishes; }
  const Job* FindJob(const JobId& id) const;
  // Returns the specification of a task's step, or null if there is no such
  // task.
  const StepSpec* FindStep(const TaskId& task) const;
  const Worker* FindWorker(const WorkerId& id) const;
  // Returns the current incarnation of the worker with this name, or null if
  // none is known.
  const Worker* FindCurrentIncarnation(const WorkerName& name) const;
  // Returns the workers that a command would record, end or replace. Must be
  // called before the command is applied.
  std::set<WorkerId> FindAffectedWorkers(const Command& command) const;
  // True if this crash needs no record any more: it is recorded already, or its
  // task is done, or its job has finished.
  bool IsCrashSettled(const CrashedRun& run) const;
  // Returns the active jobs, in the order in which they were accepted.
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
  fleet::Answer ApplyCommand(const ChangeDataCentre& command, WallTime at);

  // Applies the command of a caller as the declaration in force decides on its
  // address; returns the refusal if that does not allow it.
  template <typename CallerCommand>
  fleet::Answer ApplyAt(const CallerAddress& address,
                        const CallerCommand& command,
                        WallTime at);
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
  void SweepRecords(WallTime now);
  const Worker* FindIncarnationToForget(const ForgetWorker& command) const;
  // Returns true if the end of a worker that isn't known may be recorded.
  bool HasRoomForEnd(const WorkerId& unknown) const;
  void EndIncarnation(const WorkerId& worker, WallTime at);
  void Reindex();

  DeclarationDecoder decoder;
  JobsRecord own_record;
  JobsDeclaration declared;
  std::uint64_t finishes = 1;
  std::map<std::uint64_t, const Job*> active;
  // The current incarnation of each worker, by the worker's name.
  std::unordered_map<WorkerName, WorkerId> current_incarnations;
  // Every job by its id; lookups by id are frequent.
  std::unordered_map<JobId, const Job*> by_id;
  std::set<DataCentre> evacuated;
  // Finished jobs by the time of their end; they are removed in that order.
  std::set<std::pair<WallTime, JobId>> finished;
};

template <typename CallerCommand>
fleet::Answer JobsState::ApplyAt(const CallerAddress& address,
                                 const CallerCommand& command,
                                 WallTime at) {
  const absl::StatusOr<JobAddress> resolved = ResolveJobAddress(*this, address);
  if (!resolved.ok()) {
    return fleet::Answer::FromStatus(resolved.status());
  }
  if (resolved->job.value().empty()) {
    return fleet::Answer{.code = ResultCode::kBadRequest,
                         .message = "the path holds no job id"};
  }
  CallerCommand decided = command;
  decided.job = resolved->job;
  decided.queue = resolved->queue->name;
  decided.customer = resolved->customer;
  decided.address.reset();
  return this->ApplyCommand(decided, at);
}

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_JOBS_STATE_H_
