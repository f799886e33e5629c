// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/minion.h"

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <algorithm>
#include <thread>

#include "libraries/base/scope_guard.h"
#include "libraries/base/text.h"
#include "libraries/http/headers.h"

namespace sumac::stand_ins {
namespace {

constexpr std::uint64_t kMostBodyBytes = 64U << 20;
constexpr Milliseconds kVeryLate{30'000};

const std::map<std::string, MinionFault>& FaultNames() {
  static const std::map<std::string, MinionFault> kNames = {
      {"close_after_run", MinionFault::kCloseAfterRun},
      {"truncate", MinionFault::kTruncate},
      {"mismatch", MinionFault::kMismatch},
      {"oversize", MinionFault::kOversize},
      {"late", MinionFault::kLate},
      {"no_length", MinionFault::kNoLength}};
  return kNames;
}

void CloseConnection(Poco::Net::HTTPServerRequest& request) {
  dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
}

}  // namespace

Minion::Minion(TargetOptions options, Milliseconds work_time)
    : Target(std::move(options)), work_ms(work_time.count()) {}

bool Minion::TakeSlot() {
  std::uint32_t present = this->in_flight;
  while (present < this->target_options().description.slots) {
    if (this->in_flight.compare_exchange_weak(present, present + 1)) {
      return true;
    }
  }
  return false;
}

MinionFault Minion::TakeFault() {
  const std::lock_guard lock(this->counts_mutex);
  if (this->faults_left == 0) {
    return MinionFault::kNone;
  }
  --this->faults_left;
  return this->fault;
}

void Minion::Handle(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response) {
  response.set(http::kRequestHeader, request.get(http::kRequestHeader, ""));
  response.set(http::kInFlightHeader, StrCat(this->in_flight.load()));
  const bool refuses_new_requests = this->is_draining() || this->leaving();
  if (refuses_new_requests) {
    response.set(http::kLeavingHeader, "1");
  }
  if (request.getURI() == "/sumac/health") {
    http::SendAnswer(response, 200, "text/plain", "ok\n");
    return;
  }
  const auto body = http::ReadRequestBody(request, kMostBodyBytes);
  if (!body.ok()) {
    response.setKeepAlive(false);
    http::SendAnswer(response, 400, "text/plain", "bad body\n");
    return;
  }
  if (refuses_new_requests || !this->TakeSlot()) {
    const std::lock_guard lock(this->counts_mutex);
    ++this->declined;
    response.set(http::kNotRunHeader,
                 refuses_new_requests ? "leaving" : "full");
    http::SendAnswer(response, 503, "text/plain", "not run\n");
    return;
  }
  const ScopeGuard free_slot([this] { --this->in_flight; });
  this->Run(request, response, *body);
}

void Minion::Run(Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response,
                 const std::string& body) {
  std::uint64_t run = 0;
  {
    const std::lock_guard lock(this->counts_mutex);
    run = ++this->runs[body];
  }
  std::this_thread::sleep_for(Milliseconds(this->work_ms));
  std::string answer = nlohmann::json{
      {"minion", this->name()},
      {"run", run},
      {"echo", body}}.dump();
  switch (this->TakeFault()) {
    case MinionFault::kNone:
      break;
    case MinionFault::kCloseAfterRun:
      response.setKeepAlive(false);
      CloseConnection(request);
      return;
    case MinionFault::kTruncate:
      response.setKeepAlive(false);
      response.setContentLength64(static_cast<Poco::Int64>(answer.size()));
      response.send() << answer.substr(0, answer.size() / 2) << std::flush;
      CloseConnection(request);
      return;
    case MinionFault::kMismatch:
      response.set(http::kRequestHeader, "another-request");
      break;
    case MinionFault::kOversize:
      answer.resize(kMostBodyBytes, 'x');
      break;
    case MinionFault::kLate:
      std::this_thread::sleep_for(kVeryLate);
      break;
    case MinionFault::kNoLength:
      response.setKeepAlive(false);
      response.send() << answer << std::flush;
      return;
  }
  http::SendAnswer(response, 200, "application/json", answer);
}

void Minion::HandleControl(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) {
  const std::string fault_name = QueryValue(request, "fault");
  const std::string leaving_text = QueryValue(request, "leaving");
  const std::string mute_text = QueryValue(request, "mute");
  const std::string work_text = QueryValue(request, "work_ms");
  const std::lock_guard lock(this->counts_mutex);
  if (!fault_name.empty()) {
    this->fault = FaultNames().at(fault_name);
    this->faults_left = 1;
    ParseNumber(QueryValue(request, "count"), &this->faults_left);
  }
  if (!leaving_text.empty()) {
    this->SetLeaving(leaving_text == "1");
  }
  if (!mute_text.empty()) {
    this->SetMute(mute_text == "1");
  }
  if (!work_text.empty()) {
    this->work_ms = std::stoll(work_text);
  }
  const nlohmann::json counts = {{"minion", this->name()},
                                 {"in_flight", this->in_flight.load()},
                                 {"declined", this->declined},
                                 {"cut_by_reboot", this->cut_by_reboot},
                                 {"runs", this->runs}};
  http::SendAnswer(response, 200, "application/json", counts.dump() + "\n");
}

void Minion::FillAnnouncement(fleet::Announcement& announcement) {
  announcement.in_flight = this->in_flight;
}

void Minion::ApplyOrders(const fleet::TargetOrders& /*orders*/,
                         SteadyTime /*sent_at*/) {}

void Minion::DiscardState() {
  const std::lock_guard lock(this->counts_mutex);
  this->cut_by_reboot += this->in_flight;
}

}  // namespace sumac::stand_ins
