// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/worker_health.h"

#include <algorithm>

namespace sumac::scheduler {
namespace {

// Failures and successes count for this long.
constexpr Milliseconds kWindow{6'000};
// A worker that failed tasks of this many jobs that failed nowhere else, and
// more than this share of its runs (in thousandths), is taken for bad.
constexpr std::size_t kBadWorkerFailedJobs = 2;
constexpr std::size_t kBadWorkerFailurePermille = 300;
constexpr std::size_t kPermille = 1'000;
// A bad worker gets no work for the first of these at first, and twice as long
// each time it turns out bad again.
constexpr Milliseconds kShortestQuarantine{2'000};
constexpr Milliseconds kLongestQuarantine{8'000};
// A worker is taken for slow for this long after a run there was.
constexpr Milliseconds kSlowTime{2'500};
// Jobs whose failures are remembered; bounds memory.
constexpr std::size_t kMaxJobs = 2'000;

// Too little time to judge a run by.
constexpr Milliseconds kMinJudgedTime{500};
// A run that did not get on for this long, and for a quarter of what it should
// take, stands still: reports come each second and round to hundredths.
constexpr Milliseconds kShortestStall{1'300};
constexpr int kStallDivisor = 4;
// Tasks of one queue differ by some factor of two, some by more; the second
// factor is beyond what tasks themselves do.
constexpr int kSlowFactor = 3;
constexpr int kVerySlowFactor = 6;
constexpr std::int64_t kWholePercent = 100;

}  // namespace

RunPace ClassifyProgress(const RunProgress& progress) {
  if (progress.percent >= kWholePercent ||
      progress.expected <= Milliseconds(0)) {
    return RunPace::kUnknown;
  }
  if (progress.since_change >
      std::max(kShortestStall, progress.expected / kStallDivisor)) {
    return RunPace::kStalled;
  }
  if (progress.elapsed < kMinJudgedTime) {
    return RunPace::kUnknown;
  }
  // A run that has not shown any progress yet counts with half a hundredth.
  const std::int64_t doubled_percent =
      std::max<std::int64_t>(2 * std::int64_t{progress.percent}, 1);
  const Milliseconds whole =
      progress.elapsed * (2 * kWholePercent) / doubled_percent;
  if (whole <= kSlowFactor * progress.expected) {
    return RunPace::kNormal;
  }
  if (progress.elapsed <= progress.expected) {
    return RunPace::kUnknown;
  }
  return whole > kVerySlowFactor * progress.expected ? RunPace::kVerySlow
                                                     : RunPace::kSlow;
}

void WorkerHealth::DropOld(Record& record, SteadyTime now) {
  while (!record.failures.empty() &&
         now - record.failures.front().at > kWindow) {
    record.failures.pop_front();
  }
  while (!record.successes.empty() &&
         now - record.successes.front() > kWindow) {
    record.successes.pop_front();
  }
}

void WorkerHealth::Quarantine(Record& record, SteadyTime now) {
  const Milliseconds time = std::min(
      kLongestQuarantine, kShortestQuarantine * (1 << record.quarantines));
  constexpr int kMaxDoublings = 8;
  record.quarantines = std::min(record.quarantines + 1, kMaxDoublings);
  record.quarantined_until = now + time;
  this->last_exclusion_ends_at =
      std::max(this->last_exclusion_ends_at, record.quarantined_until);
  record.failures.clear();
  record.successes.clear();
}

bool WorkerHealth::IsBad(const Record& record) const {
  std::set<JobId> jobs;
  std::size_t failures = 0;
  for (const Failure& failure : record.failures) {
    const auto places = this->failed_on.find(failure.job);
    const bool is_jobs_fault =
        places != this->failed_on.end() && places->second.size() > 1;
    if (!is_jobs_fault) {
      jobs.insert(failure.job);
      ++failures;
    }
  }
  // After a quarantine one more job is enough.
  const std::size_t enough = record.quarantines > 0 ? 1 : kBadWorkerFailedJobs;
  const std::size_t runs = failures + record.successes.size();
  return jobs.size() >= enough &&
         failures * kPermille > runs * kBadWorkerFailurePermille;
}

void WorkerHealth::RecordSuccess(const WorkerId& worker, SteadyTime now) {
  Record& record = this->workers[worker];
  this->DropOld(record, now);
  record.successes.push_back(now);
  // One that does its work again is trusted again.
  if (record.failures.empty()) {
    record.quarantines = 0;
  }
}

void WorkerHealth::RecordFailure(const WorkerId& worker,
                                 const JobId& job,
                                 SteadyTime now) {
  if (this->failed_on.size() >= kMaxJobs) {
    this->failed_on.clear();
  }
  this->failed_on[job].insert(worker);
  Record& record = this->workers[worker];
  this->DropOld(record, now);
  record.failures.push_back(Failure{now, job});
  if (this->IsBad(record)) {
    this->Quarantine(record, now);
  }
}

void WorkerHealth::RecordStall(const WorkerId& worker, SteadyTime now) {
  Record& record = this->workers[worker];
  if (now >= record.quarantined_until) {
    this->Quarantine(record, now);
  }
}

void WorkerHealth::RecordSlowness(const WorkerId& worker, SteadyTime now) {
  this->workers[worker].slow_until = now + kSlowTime;
  this->last_exclusion_ends_at =
      std::max(this->last_exclusion_ends_at, now + kSlowTime);
}

bool WorkerHealth::IsQuarantined(const WorkerId& worker, SteadyTime now) const {
  if (!this->MayHaveExclusions(now)) {
    return false;
  }
  const auto found = this->workers.find(worker);
  return found != this->workers.end() && now < found->second.quarantined_until;
}

bool WorkerHealth::IsSlow(const WorkerId& worker, SteadyTime now) const {
  if (!this->MayHaveExclusions(now)) {
    return false;
  }
  const auto found = this->workers.find(worker);
  return found != this->workers.end() && now < found->second.slow_until;
}

}  // namespace sumac::scheduler
