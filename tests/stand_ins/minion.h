// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_MINION_H_
#define TESTS_STAND_INS_MINION_H_

#include <cstdint>
#include <map>
#include <string>

#include "tests/stand_ins/target.h"

namespace sumac::stand_ins {

// What a minion does wrong, once per count, for the tests.
enum class MinionFault {
  kNone,
  // Runs the request and closes the connection without an answer.
  kCloseAfterRun,
  // Sends half of the declared body.
  kTruncate,
  // Answers under another request's number.
  kMismatch,
  // Declares more than is allowed.
  kOversize,
  // Answers later than any deadline.
  kLate,
  // Declares no length and ends by closing.
  kNoLength,
};

// A stand-in for a minion: answers POST /PATH after `work_time` with the body
// {"minion":..., "run":N,"echo":...}, declines what exceeds its slots, and
// counts what it ran.
class Minion final : public Target {
 public:
  Minion(TargetOptions options, Milliseconds work_time);

 protected:
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) override;
  void HandleControl(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;
  void FillAnnouncement(fleet::Announcement& announcement) override;
  void TakeOrders(const fleet::TargetOrders& orders,
                  SteadyTime sent_at) override;
  void Forget() override;

 private:
  MinionFault TakeFault();
  bool TakeSlot();
  void Run(Poco::Net::HTTPServerRequest& request,
           Poco::Net::HTTPServerResponse& response,
           const std::string& body);

  std::atomic<std::int64_t> work_ms;
  std::atomic<std::uint32_t> in_flight = 0;
  std::mutex counts_mutex;
  // How often each body was run; bodies are the tests' own keys.
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t declined = 0;
  std::uint64_t cut_by_reboot = 0;
  MinionFault fault = MinionFault::kNone;
  std::uint64_t faults_left = 0;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_MINION_H_
