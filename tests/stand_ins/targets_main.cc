// SPDX-License-Identifier: Apache-2.0

// Runs a number of stand-in minions or workers in one process; ends on SIGTERM.

#include <signal.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include "absl/strings/str_split.h"
#include "libraries/base/text.h"
#include "tests/stand_ins/minion.h"
#include "tests/stand_ins/worker.h"

namespace {

namespace options = boost::program_options;
using sumac::Milliseconds;

constexpr std::size_t kInstancesPerRack = 4;

options::options_description DescribeOptions() {
  options::options_description description("Options");
  auto add = description.add_options();
  add("kind", options::value<std::string>()->required(), "minion or worker");
  add("prefix", options::value<std::string>()->required(),
      "names are PREFIX-1, PREFIX-2 ...");
  add("count", options::value<int>()->default_value(1), "how many");
  add("ip", options::value<std::string>()->default_value("127.0.0.1"),
      "where they listen");
  add("first-port", options::value<int>()->required(), "the first one's port");
  add("entries", options::value<std::string>()->required(),
      "targets' doors, by commas");
  add("platform", options::value<std::string>()->default_value(""),
      "the platform's door");
  add("pool", options::value<std::string>()->required(),
      "the pool they join first");
  add("service", options::value<std::string>()->default_value(""),
      "what minions answer for");
  add("data-centres", options::value<int>()->default_value(1),
      "dealt out rack by rack");
  add("work-ms", options::value<int>()->default_value(5),
      "how long a request takes");
  add("reboot-ms", options::value<int>()->default_value(500),
      "how long a reboot takes");
  return description;
}

sumac::stand_ins::TargetOptions MakeTarget(
    const options::variables_map& arguments,
    int number) {
  sumac::stand_ins::TargetOptions target;
  auto& description = target.description;
  const auto text = [&](const char* name) {
    return arguments[name].as<std::string>();
  };
  const auto rack = static_cast<std::size_t>(number) / kInstancesPerRack;
  const auto data_centres =
      static_cast<std::size_t>(arguments["data-centres"].as<int>());
  description.name =
      sumac::InstanceName(sumac::StrCat(text("prefix"), "-", number + 1));
  description.kind = text("kind") == "worker"
                         ? sumac::fleet::TargetKind::kWorker
                         : sumac::fleet::TargetKind::kMinion;
  description.address = sumac::StrCat(
      text("ip"), ":", arguments["first-port"].as<int>() + number);
  description.data_centre =
      sumac::DataCentre(sumac::StrCat("dc-", rack % data_centres + 1));
  description.rack = sumac::Rack(sumac::StrCat("rack-", rack + 1));
  description.pool = sumac::PoolName(text("pool"));
  if (description.kind == sumac::fleet::TargetKind::kMinion) {
    description.services.insert(sumac::ServiceName(text("service")));
    description.slots = 8;
    description.connections = 64;
  } else {
    description.connections = 8;
    description.millicores = 16'000;
    description.memory_mb = 32'768;
  }
  target.entries = absl::StrSplit(text("entries"), ',');
  target.platform = text("platform");
  target.reboot_time = Milliseconds(arguments["reboot-ms"].as<int>());
  return target;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  options::variables_map arguments;
  try {
    options::store(options::parse_command_line(argument_count, argument_values,
                                               DescribeOptions()),
                   arguments);
    options::notify(arguments);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << DescribeOptions();
    return 2;
  }
  std::vector<std::unique_ptr<sumac::stand_ins::Target>> targets;
  for (int number = 0; number < arguments["count"].as<int>(); ++number) {
    auto target = MakeTarget(arguments, number);
    if (target.description.kind == sumac::fleet::TargetKind::kWorker) {
      targets.push_back(
          std::make_unique<sumac::stand_ins::Worker>(std::move(target)));
    } else {
      targets.push_back(std::make_unique<sumac::stand_ins::Minion>(
          std::move(target), Milliseconds(arguments["work-ms"].as<int>())));
    }
    targets.back()->Start();
  }
  sumac::stand_ins::WaitForStop();
  for (auto& target : targets) {
    target->Stop();
  }
  return 0;
}
