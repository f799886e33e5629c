// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_TARGET_H_
#define TESTS_STAND_INS_TARGET_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libraries/fleet/soft_state.h"
#include "libraries/http/http_server.h"

namespace sumac::stand_ins {

// What all stand-in targets have in common.
struct TargetOptions {
  fleet::TargetDescription description;
  // The targets' doors of the entries, as IP:PORT; the next is tried when one
  // doesn't answer.
  std::vector<std::string> entries;
  // The platform's door; empty for none.
  std::string platform;
  Milliseconds reboot_time{500};
};

// A stand-in for a target: announces itself to the entries as docs/PROTOCOLS.md
// says, and can be rebooted through POST /platform/reboot?operation=ID.
class Target {
 public:
  explicit Target(TargetOptions options);
  virtual ~Target() = default;
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  // Opens the door and announces until Stop.
  void Start();
  void Stop();

  const std::string& name() const {
    return this->options.description.name.value();
  }

 protected:
  // One request that is not for the platform's or the control path.
  virtual void Handle(Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response) = 0;
  // POST /control?NAME=VALUE sets a fault; GET /control gives counts as JSON.
  virtual void HandleControl(Poco::Net::HTTPServerRequest& request,
                             Poco::Net::HTTPServerResponse& response) = 0;
  // What goes into the next renewal.
  virtual void FillAnnouncement(fleet::Announcement& announcement) = 0;
  // The answer to a renewal that was sent at `sent_at`.
  virtual void TakeOrders(const fleet::TargetOrders& orders,
                          SteadyTime sent_at) = 0;
  // All that the instance forgets when it is rebooted.
  virtual void Forget() = 0;

  bool is_draining() const { return this->draining; }
  void SetMute(bool value) { this->is_mute = value; }
  void SetLeaving(bool value) { this->is_leaving = value; }
  bool leaving() const { return this->is_leaving; }
  const TargetOptions& target_options() const { return this->options; }

 private:
  void Dispatch(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response);
  void AnnounceLoop();
  bool AnnounceOnce();
  void Reboot(const std::string& operation);
  void TellPlatform(const std::string& path, const std::string& body);

  TargetOptions options;
  std::unique_ptr<http::HttpServer> server;
  std::thread announcer;
  std::mutex mutex;
  std::condition_variable wake;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> is_down = false;
  // Answers requests but announces nothing: a cut towards the system.
  std::atomic<bool> is_mute = false;
  std::atomic<bool> is_leaving = false;
  std::atomic<bool> draining = false;
  std::atomic<std::uint64_t> incarnation;
  std::string last_operation;
  std::vector<std::thread> rebooters;
  std::size_t next_entry = 0;
  Milliseconds renew_after{0};
};

// One HTTP call; the body of the answer, or an error for anything but 200.
absl::StatusOr<std::string> CallHttp(const std::string& address,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     Milliseconds timeout);

// Runs until SIGTERM or SIGINT.
void WaitForStop();

// The value of NAME in a request's query, or "".
std::string QueryValue(const Poco::Net::HTTPServerRequest& request,
                       const std::string& name);

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_TARGET_H_
