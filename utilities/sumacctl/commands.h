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

// The parsed command line of one call of sumacctl.
struct Invocation {
  // The command's words, e.g. {"jobs", "cancel", "job-7"}.
  std::vector<std::string> words;
  std::string operator_name;
  std::string request_id;
  std::uint64_t expected_revision = 0;
  bool has_expected_revision = false;
  bool wants_json = false;
  // For apply: whether to return only once every live entry uses the new
  // declaration.
  bool wants_wait = false;
  // For evacuate: whether to do it although nothing would be left in use.
  bool is_forced = false;
};

// The name, arguments and help text of one command of sumacctl.
struct CommandInfo {
  // The words that select the command, e.g. "jobs cancel".
  std::string name;
  // The names of the arguments, e.g. "JOB"; optional arguments are in brackets.
  std::vector<std::string> arguments;
  std::string help;
};

// Returns all commands, for --help and shell completion.
const std::vector<CommandInfo>& AllCommands();

// Runs one command. Returns kBadArgument if there is no such command or the
// number of its arguments is wrong.
fleet::Answer RunCommand(OperatorClient& client, const Invocation& invocation);

// Formats the answer as text for people.
std::string FormatAnswer(const Invocation& invocation,
                         const fleet::Answer& answer);

// Formats the answer as one JSON object, for scripts.
std::string FormatAnswerAsJson(const fleet::Answer& answer);

}  // namespace sumac::ctl

#endif  // UTILITIES_SUMACCTL_COMMANDS_H_
