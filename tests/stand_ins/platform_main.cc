// SPDX-License-Identifier: Apache-2.0

// A stand-in for the platform: accepts operations as docs/PROTOCOLS.md
// describes, reboots the stand-in targets that registered, and reports the
// progress of each operation. Ends on SIGTERM.

#include <signal.h>

#include <iostream>
#include <map>
#include <mutex>
#include <string>

#include "libraries/base/text.h"
#include "libraries/codec/json_reader.h"
#include "libraries/http/http_server.h"
#include "tests/stand_ins/target.h"

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::uint64_t kMostBodyBytes = 64U << 10;
constexpr sumac::Milliseconds kCallTimeout{1'000};

// The platform's records of instances and operations.
class PlatformState {
 public:
  void Register(const nlohmann::json& body) {
    const std::lock_guard lock(this->mutex);
    this->addresses[body.value("instance", "")] = body.value("address", "");
  }

  void FinishReboot(const nlohmann::json& body) {
    const std::lock_guard lock(this->mutex);
    this->progress[body.value("operation", "")] = "done";
  }

  // Begins an operation at its first request, and returns its progress.
  nlohmann::json Operate(const nlohmann::json& body) {
    const std::string operation = body.value("operation", "");
    std::string address;
    {
      const std::lock_guard lock(this->mutex);
      ++this->request_counts[operation];
      const auto known = this->progress.find(operation);
      if (known != this->progress.end()) {
        return {{"progress", known->second}};
      }
      const auto found = this->addresses.find(body.value("instance", ""));
      if (found == this->addresses.end()) {
        this->progress[operation] = "failed";
        return {{"progress", "failed"}, {"detail", "no such instance"}};
      }
      this->progress[operation] = "accepted";
      address = found->second;
    }
    const auto reply = sumac::stand_ins::CallHttp(
        address, "POST",
        sumac::StrCat("/platform/reboot?operation=", operation), "",
        kCallTimeout);
    return {{"progress", reply.ok() ? "accepted" : "failed"}};
  }

  nlohmann::json Counts() {
    const std::lock_guard lock(this->mutex);
    return {{"progress", this->progress}, {"times_told", this->request_counts}};
  }

 private:
  std::mutex mutex;
  std::map<std::string, std::string> addresses;
  std::map<std::string, std::string> progress;
  std::map<std::string, std::uint64_t> request_counts;
};

void Dispatch(PlatformState& state,
              HTTPServerRequest& request,
              HTTPServerResponse& response) {
  const auto body = sumac::http::ReadRequestBody(request, kMostBodyBytes);
  const auto json = sumac::ParseJson(body.ok() && !body->empty() ? *body : "{}",
                                     "body", sumac::ResultCode::kBadRequest);
  if (!json.ok()) {
    sumac::http::SendAnswer(response, 400, "text/plain", "not JSON\n");
    return;
  }
  nlohmann::json answer = nlohmann::json::object();
  if (request.getURI() == "/v1/register") {
    state.Register(*json);
  } else if (request.getURI() == "/v1/rebooted") {
    state.FinishReboot(*json);
  } else if (request.getURI() == "/v1/operations" &&
             request.getMethod() == "POST") {
    answer = state.Operate(*json);
  } else {
    answer = state.Counts();
  }
  sumac::http::SendAnswer(response, 200, "application/json",
                          answer.dump() + "\n");
}

}  // namespace

int main(int argument_count, char** argument_values) {
  if (argument_count != 2) {
    std::cerr << "usage: platform_stand_in IP:PORT\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  PlatformState state;
  auto server = sumac::http::HttpServer::Create(
      sumac::http::ServerSettings{.address = argument_values[1]},
      [&state](HTTPServerRequest& request, HTTPServerResponse& response) {
        Dispatch(state, request, response);
      });
  if (!server.ok()) {
    std::cerr << server.status() << "\n";
    return 1;
  }
  sumac::stand_ins::WaitForStop();
  return 0;
}
