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

// The options that all stand-in targets have in common.
struct TargetOptions {
  fleet::TargetDescription description;
  // The entries' listeners for targets, as IP:PORT; if one doesn't answer, the
  // next is tried.
  std::vector<std::string> entries;
  // The platform's address; empty for none.
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

  // Listens and sends announcements until Stop().
  void Start();
  void Stop();

  const std::string& name() const {
    return this->options.description.name.value();
  }

 protected:
  // Handles a request to any path but the platform's and the control path.
  virtual void Handle(Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response) = 0;
  // Handles POST /control?NAME=VALUE, which sets a fault, and GET /control,
  // which returns counts as JSON.
  virtual void HandleControl(Poco::Net::HTTPServerRequest& request,
                             Poco::Net::HTTPServerResponse& response) = 0;
  // Adds this kind of target's state to the next renewal.
  virtual void FillAnnouncement(fleet::Announcement& announcement) = 0;
  // Applies the orders in the answer to a renewal that was sent at `sent_at`.
  virtual void ApplyOrders(const fleet::TargetOrders& orders,
                           SteadyTime sent_at) = 0;
  // Discards all state that a reboot of the instance loses.
  virtual void DiscardState() = 0;

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
  void NotifyPlatform(const std::string& path, const std::string& body);

  TargetOptions options;
  std::unique_ptr<http::HttpServer> server;
  std::thread announcer;
  std::mutex mutex;
  std::condition_variable wake;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> is_down = false;
  // Whether it sends no announcements but still answers requests: a network cut
  // in the direction to the system.
  std::atomic<bool> is_mute = false;
  std::atomic<bool> is_leaving = false;
  std::atomic<bool> draining = false;
  std::atomic<std::uint64_t> incarnation;
  std::string last_operation;
  std::vector<std::thread> rebooters;
  std::size_t next_entry = 0;
  Milliseconds renew_after{0};
};

// Makes one HTTP call and returns the body of the answer, or an error for any
// status but 200.
absl::StatusOr<std::string> CallHttp(const std::string& address,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     Milliseconds timeout);

// Blocks until SIGTERM or SIGINT.
void WaitForStop();

// Returns the value of the parameter `name` in a request's query, or "".
std::string QueryValue(const Poco::Net::HTTPServerRequest& request,
                       const std::string& name);

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_TARGET_H_
