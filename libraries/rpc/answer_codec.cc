// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/answer_codec.h"

#include <utility>

#include "libraries/codec/json_reader.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::rpc {
namespace {

template <typename Reader>
fleet::Answer ReadCommon(Reader reader) {
  return fleet::Answer{static_cast<ResultCode>(reader.getCode()),
                       wire::ToString(reader.getMessage()),
                       DecisionId(wire::ToString(reader.getDecisionId())),
                       {}};
}

template <typename Builder>
void WriteCommon(const fleet::Answer& answer, Builder& builder) {
  builder.setCode(static_cast<std::uint16_t>(answer.code));
  builder.setMessage(answer.message);
  builder.setDecisionId(answer.decision.value());
}

}  // namespace

void WriteAnswer(const fleet::Answer& answer, wire::Result::Builder builder) {
  WriteCommon(answer, builder);
  builder.setDocument(answer.document.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

fleet::Answer ReadAnswer(wire::Result::Reader reader) {
  fleet::Answer answer = ReadCommon(reader);
  absl::StatusOr<nlohmann::json> document =
      ParseJson(wire::ToString(reader.getDocument()), "answer",
                ResultCode::kMalformedMessage);
  if (document.ok()) {
    answer.document = *std::move(document);
  }
  return answer;
}

void WriteAnswer(const fleet::Answer& answer,
                 wire::PeerResult::Builder builder) {
  WriteCommon(answer, builder);
  if (!answer.document.is_null()) {
    std::string bytes;
    nlohmann::json::to_cbor(answer.document, bytes);
    builder.setDocument(wire::ToData(bytes));
  }
}

fleet::Answer ReadAnswer(wire::PeerResult::Reader reader) {
  fleet::Answer answer = ReadCommon(reader);
  if (reader.hasDocument()) {
    absl::StatusOr<nlohmann::json> document =
        ParseCbor(wire::ToString(reader.getDocument()), "answer");
    if (document.ok()) {
      answer.document = *std::move(document);
    }
  }
  return answer;
}

fleet::OperatorIdentity ReadIdentity(wire::Identity::Reader reader) {
  return fleet::OperatorIdentity{
      wire::ToString(reader.getOperatorName()),
      OperatorRequestId(wire::ToString(reader.getRequestId()))};
}

}  // namespace sumac::rpc
