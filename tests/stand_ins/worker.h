// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_WORKER_H_
#define TESTS_STAND_INS_WORKER_H_

#include <cstdint>
#include <map>
#include <string>

#include "tests/stand_ins/target.h"

namespace sumac::stand_ins {

// A stand-in for a worker: simulates the ordered tasks by timers, under a
// lease, and stops them when the lease runs out.
class Worker final : public Target {
 public:
  explicit Worker(TargetOptions options);

 protected:
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) override;
  void HandleControl(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;
  void FillAnnouncement(fleet::Announcement& announcement) override;
  void ApplyOrders(const fleet::TargetOrders& orders,
                   SteadyTime sent_at) override;
  void DiscardState() override;

 private:
  struct Task {
    FencingToken token;
    SteadyTime ends_at;
    fleet::TaskState state = fleet::TaskState::kRunning;
  };

  void StopTasksWithoutLease(SteadyTime now);

  std::mutex tasks_mutex;
  std::map<JobId, Task> tasks;
  SteadyTime lease_until{};
  // The number of starts here by job.
  std::map<std::string, std::uint64_t> begun;
  // The highest token received for each job.
  std::map<JobId, FencingToken> highest_token;
  bool fails_everything = false;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_WORKER_H_
