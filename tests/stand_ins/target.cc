// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/target.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <signal.h>

#include <iostream>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"

namespace sumac::stand_ins {
namespace {

constexpr Milliseconds kCallTimeout{2'000};
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;

std::uint64_t WallMilliseconds() {
  return static_cast<std::uint64_t>(
      SystemClock().Now().time_since_epoch().count());
}

}  // namespace

absl::StatusOr<std::string> CallHttp(const std::string& address,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     Milliseconds timeout) {
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    const Poco::Timespan wait(timeout.count() * kMicrosecondsPerMillisecond);
    session.setTimeout(wait, wait, wait);
    Poco::Net::HTTPRequest request(method, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return MakeError(ResultCode::kUnreachable, text);
    }
    return text;
  } catch (const Poco::Exception& error) {
    return MakeError(ResultCode::kUnreachable, error.displayText());
  }
}

std::string QueryValue(const Poco::Net::HTTPServerRequest& request,
                       const std::string& name) {
  for (const auto& [key, value] :
       Poco::URI(request.getURI()).getQueryParameters()) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

void WaitForStop() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

Target::Target(TargetOptions initial_options)
    : options(std::move(initial_options)), incarnation(WallMilliseconds()) {}

void Target::Start() {
  auto opened = http::HttpServer::Create(
      http::ServerSettings{
          .address = this->options.description.address,
          .max_connections =
              static_cast<int>(this->options.description.connections) + 4},
      [this](Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response) {
        this->Dispatch(request, response);
      });
  if (!opened.ok()) {
    std::cerr << opened.status() << "\n";
    std::exit(EXIT_FAILURE);
  }
  this->server = *std::move(opened);
  this->NotifyPlatform(
      "/v1/register",
      nlohmann::json{{"instance", this->name()},
                     {"address", this->options.description.address}}
          .dump());
  this->announcer = std::thread([this] { this->AnnounceLoop(); });
}

void Target::Stop() {
  this->is_stopping = true;
  this->wake.notify_all();
  this->announcer.join();
  for (std::thread& rebooter : this->rebooters) {
    rebooter.join();
  }
  this->server->Stop();
}

void Target::Dispatch(Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response) {
  const std::string path = Poco::URI(request.getURI()).getPath();
  if (path == "/control") {
    this->HandleControl(request, response);
    return;
  }
  if (path == "/platform/reboot") {
    this->Reboot(QueryValue(request, "operation"));
    http::SendAnswer(response, 200, "application/json", "{}");
    return;
  }
  if (this->is_down) {
    // A target that is down closes the connection without an answer.
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
        .socket()
        .shutdown();
    response.setKeepAlive(false);
    return;
  }
  this->Handle(request, response);
}

void Target::Reboot(const std::string& operation) {
  const std::lock_guard lock(this->mutex);
  if (operation == this->last_operation) {
    return;
  }
  this->last_operation = operation;
  this->rebooters.emplace_back([this, operation] {
    this->is_down = true;
    this->DiscardState();
    std::this_thread::sleep_for(this->options.reboot_time);
    this->incarnation = WallMilliseconds();
    this->draining = false;
    this->is_down = false;
    this->wake.notify_all();
    this->NotifyPlatform("/v1/rebooted",
                         nlohmann::json{{"operation", operation}}.dump());
  });
}

void Target::NotifyPlatform(const std::string& path, const std::string& body) {
  if (!this->options.platform.empty()) {
    const auto reply =
        CallHttp(this->options.platform, "POST", path, body, kCallTimeout);
    if (!reply.ok()) {
      std::cerr << this->name() << ": platform: " << reply.status() << "\n";
    }
  }
}

void Target::AnnounceLoop() {
  while (!this->is_stopping) {
    const bool is_quiet = this->is_down || this->is_mute;
    if (!is_quiet && !this->AnnounceOnce()) {
      ++this->next_entry;
      this->renew_after = Milliseconds(200);
    }
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, std::max(this->renew_after, Milliseconds(50)),
                        [this] { return this->is_stopping.load(); });
  }
}

bool Target::AnnounceOnce() {
  fleet::Announcement announcement{.target = this->options.description};
  announcement.target.incarnation = Incarnation(this->incarnation);
  announcement.is_leaving = this->is_leaving;
  this->FillAnnouncement(announcement);
  const std::string& entry =
      this->options.entries[this->next_entry % this->options.entries.size()];
  const SteadyTime sent_at = SystemClock().SteadyNow();
  const auto text = CallHttp(entry, "POST", "/v1/announce",
                             ToJson(announcement).dump(), kCallTimeout);
  if (!text.ok()) {
    return false;
  }
  const auto json = ParseJson(*text, "orders", ResultCode::kMalformedMessage);
  if (!json.ok()) {
    return false;
  }
  const auto orders =
      FromJson<fleet::TargetOrders>(*json, "orders", UnknownKeys::kIgnore);
  if (!orders.ok()) {
    return false;
  }
  this->renew_after = orders->renew_after;
  if (orders->is_confirmed && !this->is_down) {
    this->draining = orders->is_draining;
    this->ApplyOrders(*orders, sent_at);
  }
  return orders->is_confirmed;
}

}  // namespace sumac::stand_ins
