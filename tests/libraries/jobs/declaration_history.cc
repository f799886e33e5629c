// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/jobs/declaration_history.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "absl/strings/escaping.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/jobs/caller_access.h"
#include "libraries/jobs/job_address.h"
#include "nlohmann/json.hpp"
#include "platform/api_key.h"
#include "platform/wire_codec.h"

namespace sumac::jobs {
namespace {

// A command is written "SERIAL:HEX", since the cluster joins commands by line.
constexpr char kMark = ':';
constexpr std::array kPlaces = {"/clips/", "/clips/deep/", "/marks/"};
constexpr std::array kKeys = {"key-one", "key-two", "key-three"};
constexpr Milliseconds kStep{20};
// A group whose machines are all back decides again within this time.
constexpr Milliseconds kRecoveryTime{10'000};

std::string WriteCommand(const std::string& serial, const Command& command) {
  return StrCat(serial, std::string(1, kMark),
                absl::BytesToHexString(ToCbor(
                    StampedCommand{WallTime(Milliseconds(1)), command})));
}

// Returns the code by which a declaration decides on a caller's request.
ResultCode Decide(const std::string& document, const CallerAddress& address) {
  const auto declaration = platform::ReadDeclaration(document);
  const QueueDeclaration* queue =
      declaration->FindByAddress(address.host, address.path);
  const bool names_a_job =
      queue != nullptr &&
      address.path.find('/', queue->path_prefix.size()) == std::string::npos;
  return !names_a_job ? ResultCode::kUnknownQueue
                      : CodeOf(AuthenticateCaller(*declaration, *queue,
                                                  address.credentials)
                                   .status());
}

}  // namespace

DeclarationHistory::DeclarationHistory(std::uint64_t seed, Plant plant)
    : MachineHistory(seed, 0), plant(plant) {}

std::string DeclarationHistory::Fail(const std::string& what) const {
  return StrCat(what, "\n", this->text());
}

std::string DeclarationHistory::Play(int events) {
  std::string problem = this->Pass(Milliseconds(2'000));
  for (int event = 0; problem.empty() && event < events; ++event) {
    problem = this->Draw(8) == 0 ? this->Disturb() : this->Ask();
    if (problem.empty()) {
      problem = this->Pass(kStep * (1 + static_cast<int>(this->Draw(3))));
    }
    if (problem.empty()) {
      problem = this->Round();
    }
  }
  return problem.empty() ? this->CheckEnd() : problem;
}

std::string DeclarationHistory::Disturb() {
  const std::size_t slot = this->Draw(this->slot_count());
  const Milliseconds time(100 * (1 + this->Draw(20)));
  const std::size_t kind = this->Draw(9);
  if (kind == 7) {
    const auto acting = this->FindActing();
    const std::size_t node = acting ? *acting : this->slots[slot].node;
    if (this->IsRunning(node)) {
      this->cluster.Compact(node);
    }
    return "";
  }
  if (kind == 8) {
    // A snapshot that is written and read back, as at a start or an install.
    Copy& copy = this->CopyOf(this->slots[slot].node);
    JobsRecord record = copy.state.record();
    if (this->plant == Plant::kForgetsInSnapshots && !this->sent.empty()) {
      record.declaration_version = this->sent.begin()->first;
      record.declaration_document = *this->sent.begin()->second.begin();
    }
    const absl::Status loaded = copy.state.Load(ToCbor(record));
    return loaded.ok() ? "" : this->Fail(loaded.ToString());
  }
  if (!this->MayLose(slot)) {
    return "";
  }
  switch (kind) {
    case 0:
      this->Kill(slot, time);
      break;
    case 1:
      this->Wipe(slot, time);
      break;
    case 2:
      this->Freeze(slot, time);
      break;
    case 3:
      this->CutOff(slot, time);
      break;
    case 4:
      this->Restart(slot, time);
      break;
    case 5:
      this->Replace(slot, time);
      break;
    default:
      this->ReplaceAsPlanned(slot, time);
      break;
  }
  return "";
}

std::string DeclarationHistory::Ask() {
  const std::size_t node = this->DrawNode();
  switch (this->Draw(8)) {
    case 0:
      return this->SendDeclaration();
    case 1:
      return this->SendInvalid();
    case 2:
      return this->ReadAt(node);
    case 3:
      return this->Count(node);
    default:
      return this->Submit(node);
  }
}

// Mostly asks the controller that leads, as a search for it ends there.
std::size_t DeclarationHistory::DrawNode() {
  const auto acting = this->FindActing();
  return acting && this->Draw(4) > 0
             ? *acting
             : this->slots[this->Draw(this->slot_count())].node;
}

std::string DeclarationHistory::DrawDocument(std::uint64_t version) {
  nlohmann::json document = {{"version", version},
                             {"services", {{{"name", "s1"}}, {{"name", "s2"}}}},
                             {"routes", nlohmann::json::array()},
                             {"tenants", nlohmann::json::array()}};
  for (const char* place : kPlaces) {
    if (this->Draw(4) > 0) {
      document["routes"].push_back(
          {{"name", StrCat(place, this->Draw(2))},
           {"host", "h"},
           {"path_prefix", place},
           {"service", this->Draw(2) == 0 ? "s1" : "s2"},
           {"timeout_ms", 1'000 + this->Draw(1'000)}});
    }
  }
  nlohmann::json keys = nlohmann::json::array();
  for (const char* key : kKeys) {
    if (this->Draw(3) > 0) {
      keys.push_back(key);
    }
  }
  document["tenants"].push_back(
      {{"name", "ann"}, {"weight", 1}, {"api_keys", std::move(keys)}});
  return document.dump();
}

CallerAddress DeclarationHistory::DrawAddress() {
  return {.host = "h",
          .path = StrCat(kPlaces[this->Draw(kPlaces.size())], "job",
                         this->Draw(20)),
          .credentials = platform::ReadAuthorization(
              StrCat("Bearer ", kKeys[this->Draw(kKeys.size())]))};
}

// Sends a new declaration, two on the same version, other content under an
// earlier version, or one that was sent before.
std::string DeclarationHistory::SendDeclaration() {
  const std::size_t kind = this->Draw(4);
  if (kind < 2 || this->sent.empty()) {
    const std::uint64_t version = this->next_version;
    this->next_version += 1 + this->Draw(3);
    std::string problem;
    for (std::size_t count = 0; problem.empty() && count <= kind; ++count) {
      const std::string document = this->DrawDocument(version);
      this->sent[version].insert(document);
      problem = this->SendTo(this->DrawNode(), document);
    }
    return problem;
  }
  auto version =
      std::next(this->sent.begin(),
                static_cast<std::ptrdiff_t>(this->Draw(this->sent.size())));
  if (kind == 2 && this->confirmed > 0) {
    // Not among those that were sent: it must never hold.
    return this->SendTo(this->DrawNode(), this->DrawDocument(this->confirmed));
  }
  const auto document = std::next(
      version->second.begin(),
      static_cast<std::ptrdiff_t>(this->Draw(version->second.size())));
  return this->SendTo(this->DrawNode(), *document);
}

std::string DeclarationHistory::SendInvalid() {
  nlohmann::json document =
      nlohmann::json::parse(this->DrawDocument(this->next_version));
  document["routes"].push_back({{"name", "bad"},
                                {"host", "h"},
                                {"path_prefix", "/bad/"},
                                {"service", "s1"},
                                {"timeout_ms", 1}});
  nlohmann::json& route = document["routes"].back();
  std::string text;
  switch (this->Draw(6)) {
    case 0:
      route["service"] = "nobody";
      break;
    case 1:
      route["timeout_ms"] = 0;
      break;
    case 2:
      document["routes"].push_back(route);
      document["routes"].back()["name"] = "worse";
      break;
    case 3:
      document["tenants"].push_back(
          {{"name", "bob"}, {"weight", 1}, {"api_keys", {"shared"}}});
      document["tenants"].push_back(
          {{"name", "eve"}, {"weight", 1}, {"api_keys", {"shared"}}});
      break;
    case 4:
      document["tenants"][0].erase("weight");
      break;
    default:
      text = document.dump().substr(0, 40);
      break;
  }
  return this->SendTo(this->DrawNode(), text.empty() ? document.dump() : text);
}

// Does what a controller does with an operator's declaration.
std::string DeclarationHistory::SendTo(std::size_t node,
                                       const std::string& document) {
  const auto read = platform::ReadDeclaration(document);
  const bool is_taken =
      read.ok() || (this->plant == Plant::kTakesInvalid &&
                    platform::ParseDeclaration(document).ok());
  if (!is_taken || !this->MayAct(node)) {
    return "";
  }
  if (!read.ok()) {
    return this->Fail("an invalid declaration was acknowledged");
  }
  Open sent{.node = node,
            .term = this->cluster.nodes[node].replica->term(),
            .command = Declare{read->version(), document}};
  const bool is_repeated = this->confirmed_documents.contains(document);
  if (is_repeated && this->plant == Plant::kRefusesRepetition) {
    return this->Finish(sent, {.code = ResultCode::kRevisionConflict});
  }
  const bool takes_other = this->plant == Plant::kTakesOtherContent &&
                           read->version() == this->confirmed;
  const auto answer = this->CopyOf(node).state.AnswerIfNotNewer(
      std::get<Declare>(sent.command));
  if (answer && !takes_other) {
    return this->Finish(sent, *answer);
  }
  if (takes_other) {
    JobsRecord record = this->CopyOf(node).state.record();
    record.declaration_document = document;
    static_cast<void>(this->CopyOf(node).state.Load(ToCbor(record)));
    return this->ReadAt(node);
  }
  this->open.push_back(std::move(sent));
  return "";
}

std::string DeclarationHistory::ReadAt(std::size_t node) {
  if (!this->MayAct(node)) {
    return "";
  }
  const JobsRecord& record = this->CopyOf(node).state.record();
  if (record.declaration_version == 0) {
    return this->confirmed == 0 ? "" : this->Fail("nothing is declared");
  }
  if (record.declaration_version < this->confirmed) {
    return this->Fail(StrCat("read ", record.declaration_version, " after ",
                             this->confirmed, " was confirmed"));
  }
  const auto known = this->sent.find(record.declaration_version);
  if (known == this->sent.end() ||
      !known->second.contains(record.declaration_document)) {
    return this->Fail("read what nobody sent under that version");
  }
  ++this->seen.reads;
  this->seen.leaders.insert(node);
  const auto [content, is_new] = this->seen_content.try_emplace(
      record.declaration_version, record.declaration_document);
  return content->second == record.declaration_document
             ? ""
             : this->Fail("read other content under the same version");
}

// Does what a controller does with a submission: resolves its address, and
// proposes the command a moment later.
std::string DeclarationHistory::Submit(std::size_t node) {
  if (!this->MayAct(node)) {
    return "";
  }
  const CallerAddress address = this->DrawAddress();
  const JobsState& state = this->CopyOf(node).state;
  auto resolved = ResolveJobAddress(state, address);
  const QueueDeclaration* queue =
      state.declaration().FindByAddress(address.host, address.path);
  if (this->plant == Plant::kTakesAnyId && queue != nullptr) {
    resolved = JobAddress{
        queue, JobId(address.path.substr(queue->path_prefix.size()))};
  }
  if (!resolved.ok()) {
    return this->CheckCaller(address, this->confirmed,
                             CodeOf(resolved.status()));
  }
  this->open.push_back(
      Open{.node = node,
           .term = this->cluster.nodes[node].replica->term(),
           .confirmed = this->confirmed,
           .rounds_to_wait = static_cast<int>(this->Draw(4)),
           .read_under = state.declaration().version(),
           .command = SubmitJob{.job = resolved->job,
                                .queue = resolved->queue->name,
                                .spec = {.steps = {{.count = 1}}},
                                .customer = resolved->customer,
                                .address = address}});
  if (this->plant == Plant::kTakesAnyId) {
    return this->RecordAccepted(address, resolved->job);
  }
  if (this->plant == Plant::kDecidesWhenRead) {
    std::get<SubmitJob>(this->open.back().command).spec.text = address.path;
    std::get<SubmitJob>(this->open.back().command).address.reset();
  }
  return "";
}

std::string DeclarationHistory::Count(std::size_t node) {
  if (!this->MayAct(node)) {
    return "";
  }
  CallerAddress address = this->DrawAddress();
  address.path = kPlaces[this->Draw(kPlaces.size())];
  return this->CheckCaller(
      address, this->confirmed,
      CodeOf(ResolveJobAddress(this->CopyOf(node).state, address).status()));
}

// Checks that one declaration which may be in force gives this code: the newest
// that was confirmed before the request was sent, or a later one.
std::string DeclarationHistory::CheckCaller(const CallerAddress& address,
                                            std::uint64_t confirmed,
                                            ResultCode code) const {
  if (code == ResultCode::kNothingDeclared) {
    return confirmed == 0 ? "" : this->Fail("nothing is declared");
  }
  for (auto version = this->sent.lower_bound(confirmed);
       version != this->sent.end(); ++version) {
    const auto seen = this->seen_content.find(version->first);
    for (const std::string& document : version->second) {
      const bool may_hold =
          seen == this->seen_content.end() || seen->second == document;
      if (may_hold && Decide(document, address) == code) {
        return "";
      }
    }
  }
  return this->Fail(StrCat("code ", static_cast<int>(code), " at ",
                           address.path, ": no version from ", confirmed,
                           " gives it"));
}

bool DeclarationHistory::MayAct(std::size_t node) {
  const replication::Cluster::Node& controller = this->cluster.nodes[node];
  if (!this->IsRunning(node)) {
    return false;
  }
  return this->plant == Plant::kReadsWithoutLease ||
         (controller.replica->is_ready_to_lead() &&
          controller.replica->HoldsLease(this->cluster.now) &&
          controller.applied_index >= controller.replica->leader_start());
}

DeclarationHistory::Copy& DeclarationHistory::CopyOf(std::size_t node) {
  return this->copies
      .try_emplace(node, Copy{JobsState(platform::ParseDeclaration)})
      .first->second;
}

void DeclarationHistory::Propose(Open& open) {
  const bool is_same_term =
      this->IsRunning(open.node) &&
      this->cluster.nodes[open.node].replica->term() == open.term;
  if (is_same_term && this->MayAct(open.node)) {
    open.serial = std::to_string(this->next_serial++);
    if (this->cluster
            .Propose(open.node, WriteCommand(open.serial, open.command))
            .ok()) {
      return;
    }
  }
  // Refused: it has not run.
  open.node = this->cluster.nodes.size();
}

// Proposes what is due, applies what is committed, and gives up requests whose
// leader is deposed.
std::string DeclarationHistory::Round() {
  for (Open& request : this->open) {
    if (request.serial.empty() && request.rounds_to_wait-- <= 0) {
      this->Propose(request);
    }
  }
  if (std::string problem = this->SyncAll(); !problem.empty()) {
    return problem;
  }
  std::erase_if(this->open, [this](const Open& request) {
    return request.node >= this->cluster.nodes.size() ||
           !this->cluster.nodes[request.node].is_up() ||
           this->cluster.nodes[request.node].replica->term() != request.term;
  });
  return "";
}

std::string DeclarationHistory::SyncAll() {
  std::string problem;
  for (std::size_t node = 0;
       problem.empty() && node < this->cluster.nodes.size(); ++node) {
    if (this->cluster.nodes[node].is_up()) {
      problem = this->Sync(node);
    }
  }
  return problem;
}

// Applies to the copy what its replica has applied, and answers the requests
// that wait for it.
std::string DeclarationHistory::Sync(std::size_t node) {
  Copy& copy = this->CopyOf(node);
  const std::vector<std::string>& applied = this->cluster.nodes[node].applied;
  if (applied.size() < copy.applied) {
    copy = Copy{JobsState(platform::ParseDeclaration)};
  }
  for (; copy.applied < applied.size(); ++copy.applied) {
    const std::string& line = applied[copy.applied];
    const std::size_t mark = line.find(kMark);
    if (mark == std::string::npos) {
      continue;
    }
    const auto command = FromCbor<StampedCommand>(
        absl::HexStringToBytes(line.substr(mark + 1)), "log");
    if (!command.ok()) {
      return this->Fail(command.status().ToString());
    }
    const fleet::Answer answer = copy.state.Apply(*command);
    const auto waiting = std::find_if(
        this->open.begin(), this->open.end(), [&](const Open& request) {
          return request.node == node &&
                 request.serial == line.substr(0, mark) &&
                 this->cluster.nodes[node].replica->role() ==
                     replication::Role::kLeader &&
                 this->cluster.nodes[node].replica->term() == request.term;
        });
    if (waiting != this->open.end()) {
      const Open request = std::move(*waiting);
      this->open.erase(waiting);
      if (std::string problem = this->Finish(request, answer);
          !problem.empty()) {
        return problem;
      }
    }
  }
  return "";
}

// Checks the answer that an operator or a caller gets.
std::string DeclarationHistory::Finish(const Open& open,
                                       const fleet::Answer& answer) {
  if (const auto* declare = std::get_if<Declare>(&open.command)) {
    if (!answer.is_ok()) {
      return this->Fail(StrCat("version ", declare->version,
                               " was refused: ", answer.message));
    }
    const bool was_sent =
        this->sent.contains(declare->version) &&
        this->sent[declare->version].contains(declare->document);
    if (was_sent) {
      ++this->seen.confirmed_declarations;
      this->confirmed = std::max(this->confirmed, declare->version);
      this->confirmed_documents.insert(declare->document);
    }
    return "";
  }
  const auto& submission = std::get<SubmitJob>(open.command);
  this->seen.taken_submissions += answer.is_ok() ? 1 : 0;
  this->seen.refusals_by_declaration += answer.is_ok() ? 0 : 1;
  const bool is_decided_later =
      this->CopyOf(open.node).state.declaration().version() != open.read_under;
  this->seen.decided_later += is_decided_later ? 1 : 0;
  CallerAddress address =
      submission.address.value_or(CallerAddress{.host = "h"});
  if (!submission.address) {
    // The plant that forgets the address keeps the path.
    address.path = submission.spec.text;
    return answer.code == ResultCode::kUnknownName
               ? this->CheckCaller(address, open.confirmed,
                                   ResultCode::kUnknownQueue)
               : "";
  }
  if (answer.is_ok()) {
    const auto resolved =
        ResolveJobAddress(this->CopyOf(open.node).state, address);
    if (std::string problem = this->RecordAccepted(address, resolved->job);
        !problem.empty()) {
      return problem;
    }
  }
  return this->CheckCaller(address, open.confirmed, answer.code);
}

// Checks that what a caller sends to one path is one job, however often.
std::string DeclarationHistory::RecordAccepted(const CallerAddress& address,
                                               const JobId& job) {
  const auto [known, is_new] = this->accepted.try_emplace(address.path, job);
  return known->second == job ? ""
                              : this->Fail(StrCat(address.path, " is job ",
                                                  known->second.value(),
                                                  " and job ", job.value()));
}

// All machines lose power at the end. Once they are back, the declaration must
// be read again.
std::string DeclarationHistory::CheckEnd() {
  const std::size_t slot = this->Draw(this->slot_count());
  this->KillAll(Milliseconds(500), this->MayLose(slot)
                                       ? std::vector<std::size_t>{slot}
                                       : std::vector<std::size_t>{});
  const SteadyTime end = this->cluster.now + kRecoveryTime;
  while (this->cluster.now < end) {
    std::string problem = this->Pass(Milliseconds(100));
    if (problem.empty()) {
      problem = this->Round();
    }
    if (!problem.empty()) {
      return problem;
    }
    const auto acting = this->FindActing();
    if (acting && this->MayAct(*acting) &&
        this->plant != Plant::kSilentAtTheEnd) {
      return this->ReadAt(*acting);
    }
  }
  return this->Fail("no declaration was read at the end");
}

}  // namespace sumac::jobs
