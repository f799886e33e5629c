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

// One run of a task, as the worker saw it.
struct SeenRun {
  jobs::TaskId task;
  std::uint64_t number = 0;
  std::string worker;
  bool is_lasting = false;
  WallTime began_at;
  // The latest possible time while it has not ended.
  WallTime ended_at = WallTime::max();
  // How it ended; "died" with its worker.
  std::string cause;
  // When the system acknowledged the end, unless the lease lapsed meanwhile.
  std::optional<WallTime> acknowledged_at;
};

// One life of a worker.
struct SeenLife {
  std::string process;
  std::string address;
  std::optional<WallTime> leaves_at;
  std::optional<WallTime> lapsed_at;
  std::optional<WallTime> gone_at;
  // Its runs by the task, and by the number of their end.
  std::map<jobs::TaskId, std::size_t> running;
  std::map<std::uint64_t, std::size_t> ended;
};

// One call of a caller with its answer.
struct SeenCall {
  WallTime sent_at;
  WallTime answered_at;
  int status = 0;
  std::string state;
  std::string error;
};

// One job, as callers saw it.
struct SeenJob {
  std::vector<std::uint32_t> counts;
  std::vector<SeenCall> submits;
  std::vector<SeenCall> shows;
  std::vector<SeenCall> cancels;
};

// What workers and callers saw in one soak, put together from their events.
class SoakHistory {
 public:
  // Reads events of any order; lines that can't be read are an error of the
  // soak itself and reported as such.
  explicit SoakHistory(std::vector<nlohmann::json> events);

  const std::vector<SeenRun>& runs() const { return this->all_runs; }
  const std::map<std::string, SeenLife>& lives() const {
    return this->all_lives;
  }
  const std::map<std::string, SeenJob>& jobs() const { return this->all_jobs; }
  // Times at which the connections to an address were harmed.
  const std::multimap<std::string, WallTime>& harms() const {
    return this->all_harms;
  }
  // Processes of the product that ended without being told to.
  const std::vector<std::string>& own_ends() const {
    return this->all_own_ends;
  }

 private:
  void Add(const nlohmann::json& event);
  void AddStart(const nlohmann::json& event, WallTime at);
  void AddEnd(const nlohmann::json& event, WallTime at);
  void AddAcknowledgement(const nlohmann::json& event, WallTime at);
  void AddCall(const nlohmann::json& event, WallTime at);
  void EndLife(SeenLife& life, WallTime at);
  void EndProcess(const std::string& process, WallTime at);

  std::vector<SeenRun> all_runs;
  std::map<std::string, SeenLife> all_lives;
  std::map<std::string, SeenJob> all_jobs;
  std::multimap<std::string, WallTime> all_harms;
  std::vector<std::string> all_own_ends;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_SOAK_HISTORY_H_
