// SPDX-License-Identifier: Apache-2.0
#ifndef UTILITIES_SUMACCTL_COMMANDS_H_
#define UTILITIES_SUMACCTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/fleet/answer.h"
#include "utilities/sumacctl/operator_client.h"

namespace sumac::ctl {

// One call of sumacctl, parsed.
struct Invocation {
  // The command's words, e.g. {"jobs", "cancel", "job-7"}.
  std::vector<std::string> words;
  std::string operator_name;
  std::string request_id;
  std::uint64_t expected_revision = 0;
  bool has_expected_revision = false;
  bool wants_json = false;
  // For apply: answer only once every entry that is alive acts on it.
  bool wants_wait = false;
};

// One command of sumacctl.
struct CommandInfo {
  // The words that choose it, e.g. "jobs cancel".
  std::string name;
  // What follows them, e.g. "JOB"; each word is one argument, in brackets if it
  // may be left out.
  std::vector<std::string> arguments;
  std::string help;
};

// All commands, for --help and shell completion.
const std::vector<CommandInfo>& AllCommands();

// Runs one command. kBadArgument when there is no such command or its arguments
// don't fit.
fleet::Answer RunCommand(OperatorClient& client, const Invocation& invocation);

// The answer as people read it.
std::string FormatAnswer(const Invocation& invocation,
                         const fleet::Answer& answer);

// The answer as one JSON object, for scripts.
std::string FormatAnswerAsJson(const fleet::Answer& answer);

}  // namespace sumac::ctl

#endif  // UTILITIES_SUMACCTL_COMMANDS_H_
