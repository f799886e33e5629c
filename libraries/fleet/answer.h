// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_ANSWER_H_
#define LIBRARIES_FLEET_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/status.h"
#include "libraries/base/error.h"
#include "libraries/base/names.h"
#include "libraries/base/result_code.h"
#include "nlohmann/json.hpp"

namespace sumac::fleet {

// The answer to one command or query.
struct Answer {
  ResultCode code = ResultCode::kOk;
  std::string message;
  DecisionId decision;
  nlohmann::json document;

  bool is_ok() const { return this->code == ResultCode::kOk; }

  // Returns an answer that carries the error `status`.
  static Answer FromStatus(const absl::Status& status) {
    return Answer{CodeOf(status), std::string(status.message()), {}, {}};
  }

  // Returns an error answer if `status` is an error, and otherwise a success
  // whose message is the sentence `message`.
  static Answer FromOutcome(const absl::Status& status, std::string message) {
    return status.ok() ? Success(std::move(message)) : FromStatus(status);
  }

  // Returns a success whose message is one sentence.
  static Answer Success(std::string message) {
    return Answer{.message = std::move(message)};
  }
};

// The stored answer to an operator's command, which resends of the command
// receive again.
struct KeptOperatorAnswer {
  std::string command_digest;
  std::uint16_t code = 0;
  std::string message;
  DecisionId decision;
  nlohmann::json document;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("command_digest", self.command_digest);
    visitor.Field("code", self.code);
    visitor.Field("message", self.message);
    visitor.Field("decision", self.decision);
    visitor.Field("document", self.document);
  }
};

}  // namespace sumac::fleet

// Evaluates an absl::Status; on an error the enclosing function returns it as
// an Answer.
#define TRY_OR_ANSWER(...)                                   \
  do {                                                       \
    const absl::Status try_status = (__VA_ARGS__);           \
    if (!try_status.ok()) {                                  \
      return ::sumac::fleet::Answer::FromStatus(try_status); \
    }                                                        \
  } while (false)

#endif  // LIBRARIES_FLEET_ANSWER_H_
