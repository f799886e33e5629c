// SPDX-License-Identifier: Apache-2.0
#include <malloc.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "libraries/base/error.h"
#include "libraries/base/version.h"
#include "libraries/log/abnormal_ends.h"
#include "libraries/log/json_log.h"
#include "services/sumacd/build_info.h"
#include "services/sumacd/daemon.h"
#include "services/sumacd/node_daemon.h"
#include "services/sumacd/node_settings.h"
#include "services/sumacd/settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kMaxHeaps = 4;

options::options_description DescribeOptions() {
  options::options_description description(
      "sumacd: the daemon of sumacstack; takes callers' requests and keeps the "
      "fleet's state.\n"
      "Usage: sumacd --settings FILE [--check | --format]\n"
      "Exit codes: 0 ended in order, 1 failed while running, 2 wrong usage, 3 "
      "wrong settings.\n\n"
      "Options");
  auto add = description.add_options();
  add("settings", options::value<std::string>()->value_name("FILE"),
      "the settings, in JSON");
  add("check", "check the settings and end");
  add("format", "make the data folder of a controller of a new group and end");
  add("help", "print this");
  add("version", "print the version");
  return description;
}

int Report(const absl::Status& status, int exit_code) {
  if (status.ok()) {
    return EXIT_SUCCESS;
  }
  std::cerr << "sumacd: error " << static_cast<int>(sumac::CodeOf(status))
            << ": " << status.message() << "\n";
  sumac::LogLastEvent("ended-with-error",
                      {{"code", static_cast<int>(sumac::CodeOf(status))},
                       {"error", std::string(status.message())},
                       {"exit_code", exit_code}});
  return exit_code;
}

// Runs a process that discovers the others from seeds.
int RunNode(const std::string& path, bool is_check) {
  const auto settings = sumac::daemon::NodeSettings::Load(path);
  if (!settings.ok()) {
    return Report(settings.status(), kExitSettings);
  }
  if (is_check) {
    std::cout << "the settings are good\n";
    return EXIT_SUCCESS;
  }
  return Report(sumac::daemon::RunNodeDaemon(*settings, path), EXIT_FAILURE);
}

int RunProgram(const options::variables_map& arguments) {
  if (!arguments.contains("settings")) {
    std::cerr << "sumacd: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  const auto& path = arguments["settings"].as<std::string>();
  if (sumac::daemon::IsNodeSettingsFile(path)) {
    return RunNode(path, arguments.contains("check"));
  }
  const auto settings = sumac::daemon::Settings::Load(path);
  if (!settings.ok()) {
    return Report(settings.status(), kExitSettings);
  }
  if (arguments.contains("check")) {
    std::cout << "the settings are good\n";
    return EXIT_SUCCESS;
  }
  if (arguments.contains("format")) {
    return Report(sumac::daemon::FormatDataFolder(*settings), kExitSettings);
  }
  return Report(sumac::daemon::RunDaemon(*settings), EXIT_FAILURE);
}

}  // namespace

int main(int argument_count, char** argument_values) {
  // One heap per thread would cost about 100 KB for each open connection.
  mallopt(M_ARENA_MAX, kMaxHeaps);
  const options::options_description description = DescribeOptions();
  options::variables_map arguments;
  try {
    options::store(options::parse_command_line(argument_count, argument_values,
                                               description),
                   arguments);
  } catch (const options::error& error) {
    std::cerr << "sumacd: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (arguments.contains("help")) {
    std::cout << description;
    return EXIT_SUCCESS;
  }
  if (arguments.contains("version")) {
    std::cout << "sumacd " << sumac::kVersion << " of sources "
              << sumac::daemon::SourceDigest() << "\n";
    return EXIT_SUCCESS;
  }
  sumac::LogAbnormalEnds();
  return RunProgram(arguments);
}
