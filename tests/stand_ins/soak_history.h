// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_SOAK_HISTORY_H_
#define TESTS_STAND_INS_SOAK_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/jobs/task_id.h"
#include "nlohmann/json.hpp"

namespace sumac::stand_ins {

// One run of a task, as its worker logged it.
struct SeenRun {
  jobs::TaskId task;
  std::uint64_t number = 0;
  std::string worker;
  bool is_lasting = false;
  WallTime began_at;
  // WallTime::max() while the run has not ended.
  WallTime ended_at = WallTime::max();
  // The cause of the end; "died" if the run ended with its worker.
  std::string cause;
  // The time at which the system acknowledged the end, unless the lease expired
  // meanwhile.
  std::optional<WallTime> acknowledged_at;
};

// One incarnation of a worker.
struct SeenIncarnation {
  std::string process;
  std::string address;
  std::optional<WallTime> leaves_at;
  std::optional<WallTime> lease_expired_at;
  std::optional<WallTime> gone_at;
  // Indexes into the runs of the history: of running ones by their task, and of
  // ended but unacknowledged ones by the number of the end.
  std::map<jobs::TaskId, std::size_t> running;
  std::map<std::uint64_t, std::size_t> ended;
};

// One call by a caller, and its answer.
struct SeenCall {
  WallTime sent_at;
  WallTime answered_at;
  int status = 0;
  std::string state;
  std::string error;
};

// One job, as callers logged it.
struct SeenJob {
  std::vector<std::uint32_t> counts;
  std::vector<SeenCall> submits;
  std::vector<SeenCall> shows;
  std::vector<SeenCall> cancels;
};

// The history of one soak test, assembled from the events that workers and
// callers logged.
class SoakHistory {
 public:
  // Sorts the events by time and applies them; they may be in any order. Throws
  // on an event that can't be read, which is an error of the soak test itself.
  explicit SoakHistory(std::vector<nlohmann::json> events);

  const std::vector<SeenRun>& runs() const { return this->all_runs; }
  const std::map<std::string, SeenIncarnation>& incarnations() const {
    return this->all_incarnations;
  }
  const std::map<std::string, SeenJob>& jobs() const { return this->all_jobs; }
  // The times at which faults were injected into the connections to each
  // address.
  const std::multimap<std::string, WallTime>& injected_faults() const {
    return this->all_injected_faults;
  }
  // The processes of the product that ended without being stopped.
  const std::vector<std::string>& unexpected_exits() const {
    return this->all_unexpected_exits;
  }

 private:
  void Add(const nlohmann::json& event);
  void AddStart(const nlohmann::json& event, WallTime at);
  void AddEnd(const nlohmann::json& event, WallTime at);
  void AddAcknowledgement(const nlohmann::json& event, WallTime at);
  void AddCall(const nlohmann::json& event, WallTime at);
  void EndIncarnation(SeenIncarnation& incarnation, WallTime at);
  void EndProcess(const std::string& process, WallTime at);

  std::vector<SeenRun> all_runs;
  std::map<std::string, SeenIncarnation> all_incarnations;
  std::map<std::string, SeenJob> all_jobs;
  std::multimap<std::string, WallTime> all_injected_faults;
  std::vector<std::string> all_unexpected_exits;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_SOAK_HISTORY_H_
