// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_MINION_H_
#define TESTS_STAND_INS_MINION_H_

#include <cstdint>
#include <map>
#include <string>

#include "tests/stand_ins/target.h"

namespace sumac::stand_ins {

// A fault that a test makes a minion commit; each occurrence uses up one of the
// requested count.
enum class MinionFault {
  kNone,
  // Runs the request and closes the connection without an answer.
  kCloseAfterRun,
  // Sends half of the body that Content-Length declares, and closes.
  kTruncate,
  // Answers with the number of another request.
  kMismatch,
  // Sends an answer that is larger than allowed.
  kOversize,
  // Answers after any deadline.
  kLate,
  // Sends no Content-Length and closes the connection after the body.
  kNoLength,
};

// A stand-in for a minion: answers POST /PATH after `work_time` with the body
// {"minion":..., "run":N,"echo":...}, declines requests beyond its slots, and
// counts the requests that it ran.
class Minion final : public Target {
 public:
  Minion(TargetOptions options, Milliseconds work_time);

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
  MinionFault TakeFault();
  bool TakeSlot();
  void Run(Poco::Net::HTTPServerRequest& request,
           Poco::Net::HTTPServerResponse& response,
           const std::string& body);

  std::atomic<std::int64_t> work_ms;
  std::atomic<std::uint32_t> in_flight = 0;
  std::mutex counts_mutex;
  // The number of runs by request body; tests use bodies as keys.
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t declined = 0;
  std::uint64_t cut_by_reboot = 0;
  MinionFault fault = MinionFault::kNone;
  std::uint64_t faults_left = 0;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_MINION_H_
