// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/fleet_machine.h"

#include <algorithm>
#include <optional>
#include <string>
#include <variant>

#include "libraries/codec/json_writer.h"

namespace sumac::fleet {
namespace {

// Commands that an operator sends carry an identity; the first answer is kept
// under its id.
template <typename Command>
concept OperatorCommand = requires(const Command& command) {
  { command.identity } -> std::convertible_to<const OperatorIdentity&>;
};

// What tells two commands under one request id apart.
template <OperatorCommand Command>
std::string DigestOf(const Command& command) {
  Command without_identity = command;
  without_identity.identity = OperatorIdentity{};
  // NOTE: By way of a tree, which sorts the keys: digests are kept in snapshots
  // and compared by replicas of other versions.
  std::string digest;
  nlohmann::json::to_cbor(ToJson(without_identity), digest);
  return digest;
}

// The kept answer for a resend, or the error for an id that another command
// used.
std::optional<Answer> FindKeptAnswer(const FleetState& state,
                                     const OperatorRequestId& request_id,
                                     const std::string& digest) {
  const auto found = state.record().operator_answers.find(request_id);
  if (found == state.record().operator_answers.end()) {
    return std::nullopt;
  }
  const KeptOperatorAnswer& kept = found->second;
  if (kept.command_digest != digest) {
    return Answer{
        .code = ResultCode::kRequestIdReused,
        .message = "this request id was used before with another command"};
  }
  return Answer{static_cast<ResultCode>(kept.code), kept.message, kept.decision,
                kept.document};
}

void KeepAnswer(FleetState& state,
                const OperatorRequestId& request_id,
                std::string digest,
                const Answer& answer) {
  FleetRecord& record = state.mutable_record();
  std::vector<OperatorRequestId>& order = record.operator_answer_order;
  if (order.size() >= FleetState::kMaxOperatorAnswers) {
    const auto cut =
        order.begin() + static_cast<std::ptrdiff_t>(order.size() / 4);
    std::for_each(order.begin(), cut, [&](const OperatorRequestId& old) {
      record.operator_answers.erase(old);
    });
    order.erase(order.begin(), cut);
  }
  order.push_back(request_id);
  record.operator_answers[request_id] = KeptOperatorAnswer{
      std::move(digest), static_cast<std::uint16_t>(answer.code),
      answer.message, answer.decision, answer.document};
}

}  // namespace

Answer FleetMachine::Apply(const StampedCommand& stamped) {
  FleetRecord& record = this->fleet.mutable_record();
  // A new leader's clock may lie behind the last one's; time only goes on.
  record.now = std::max(record.now, stamped.at);
  return std::visit(
      [this]<typename Command>(const Command& command) {
        if constexpr (OperatorCommand<Command>) {
          const OperatorRequestId& request_id = command.identity.request_id;
          if (request_id.value().empty()) {
            return Answer{.code = ResultCode::kBadArgument,
                          .message = "a request id is required"};
          }
          std::string digest = DigestOf(command);
          if (std::optional<Answer> kept =
                  FindKeptAnswer(this->fleet, request_id, digest)) {
            return *std::move(kept);
          }
          Answer answer = fleet::Apply(this->fleet, command);
          KeepAnswer(this->fleet, request_id, std::move(digest), answer);
          return answer;
        } else {
          return fleet::Apply(this->fleet, command);
        }
      },
      stamped.command);
}

}  // namespace sumac::fleet
