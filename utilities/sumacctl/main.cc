// SPDX-License-Identifier: Apache-2.0
#include <Poco/Environment.h>
#include <Poco/UUIDGenerator.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/base/version.h"
#include "utilities/sumacctl/commands.h"
#include "utilities/sumacctl/operator_client.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 4;
constexpr std::int64_t kDefaultTimeoutMs = 6'000;

options::options_description DescribeOptions() {
  options::options_description description("Options");
  auto add = description.add_options();
  add("address,a",
      options::value<std::vector<std::string>>()->value_name("IP:PORT"),
      "an operators' door; may be given several times, the next is tried when "
      "one doesn't answer "
      "(default: SUMAC_OPERATORS, separated by commas)");
  add("operator", options::value<std::string>()->value_name("NAME"),
      "who asks (default: USER)");
  add("request-id", options::value<std::string>()->value_name("ID"),
      "the id of this command; a resend with the same id gets the first answer "
      "again");
  add("revision", options::value<std::uint64_t>()->value_name("N"),
      "for apply: the revision that the file was made from");
  add("timeout-ms",
      options::value<std::int64_t>()->default_value(kDefaultTimeoutMs),
      "how long to wait for one process's answer");
  add("wait", "for apply: return once every entry that is alive acts on it");
  add("force", "for evacuate: although nothing, or nothing of a pool, is left");
  add("json", "print the answer as one JSON object");
  add("help", "print this");
  add("version", "print the version");
  add("command", options::value<std::vector<std::string>>(), "");
  return description;
}

void PrintHelp() {
  std::cout << "sumacctl: the operators' command line of sumacstack.\n"
               "Usage: sumacctl [options] COMMAND [ARGUMENT...]\n"
               "Exit codes: 0 done, 1 refused or failed (the code is in "
               "docs/RESULTS.md), 2 wrong "
               "usage, 4 no process answered.\n\nCommands\n";
  for (const auto& info : sumac::ctl::AllCommands()) {
    std::string line = info.name;
    for (const std::string& argument : info.arguments) {
      line += " " + argument;
    }
    constexpr std::size_t kHelpColumn = 26;
    line.resize(std::max(line.size() + 2, kHelpColumn), ' ');
    std::cout << "  " << line << info.help << "\n";
  }
  std::cout << "\n" << DescribeOptions();
}

std::vector<std::string> ReadAddresses(
    const options::variables_map& arguments) {
  if (arguments.contains("address")) {
    return arguments["address"].as<std::vector<std::string>>();
  }
  std::vector<std::string> addresses;
  std::string rest = Poco::Environment::get("SUMAC_OPERATORS", "");
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    addresses.push_back(rest.substr(0, comma));
    rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
  }
  return addresses;
}

sumac::ctl::Invocation ReadInvocation(const options::variables_map& arguments) {
  sumac::ctl::Invocation invocation;
  invocation.words = arguments["command"].as<std::vector<std::string>>();
  invocation.operator_name = arguments.contains("operator")
                                 ? arguments["operator"].as<std::string>()
                                 : Poco::Environment::get("USER", "operator");
  invocation.request_id =
      arguments.contains("request-id")
          ? arguments["request-id"].as<std::string>()
          : Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  invocation.has_expected_revision = arguments.contains("revision");
  if (invocation.has_expected_revision) {
    invocation.expected_revision = arguments["revision"].as<std::uint64_t>();
  }
  invocation.wants_json = arguments.contains("json");
  invocation.wants_wait = arguments.contains("wait");
  invocation.is_forced = arguments.contains("force");
  return invocation;
}

int RunProgram(const options::variables_map& arguments) {
  const std::vector<std::string> addresses = ReadAddresses(arguments);
  const bool is_offline =
      arguments.contains("command") &&
      arguments["command"].as<std::vector<std::string>>().front() == "storage";
  if (!arguments.contains("command") || (addresses.empty() && !is_offline)) {
    std::cerr << "sumacctl: a command and --address (or SUMAC_OPERATORS) are "
                 "required; see "
                 "--help\n";
    return kExitUsage;
  }
  const sumac::ctl::Invocation invocation = ReadInvocation(arguments);
  sumac::ctl::OperatorClient client(
      addresses,
      sumac::Milliseconds(arguments["timeout-ms"].as<std::int64_t>()));
  const sumac::fleet::Answer answer =
      sumac::ctl::RunCommand(client, invocation);
  const std::string text = invocation.wants_json
                               ? sumac::ctl::FormatAnswerAsJson(answer)
                               : sumac::ctl::FormatAnswer(invocation, answer);
  (answer.is_ok() || invocation.wants_json ? std::cout : std::cerr) << text;
  if (answer.is_ok()) {
    return EXIT_SUCCESS;
  }
  return answer.code == sumac::ResultCode::kUnreachable ? kExitUnreachable
                                                        : EXIT_FAILURE;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  const options::options_description description = DescribeOptions();
  options::positional_options_description positional;
  positional.add("command", -1);
  options::variables_map arguments;
  try {
    options::store(options::command_line_parser(argument_count, argument_values)
                       .options(description)
                       .positional(positional)
                       .run(),
                   arguments);
  } catch (const options::error& error) {
    std::cerr << "sumacctl: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (arguments.contains("help")) {
    PrintHelp();
    return EXIT_SUCCESS;
  }
  if (arguments.contains("version")) {
    std::cout << "sumacctl " << sumac::kVersion << "\n";
    return EXIT_SUCCESS;
  }
  return RunProgram(arguments);
}
