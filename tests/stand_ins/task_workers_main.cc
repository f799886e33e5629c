// SPDX-License-Identifier: Apache-2.0
// Workers that run tasks, in one process, for tests with real processes.
#include <kj/async-io.h>
#include <signal.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "libraries/base/text.h"
#include "tests/stand_ins/task_worker.h"

namespace {

namespace options = boost::program_options;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  options::options_description description("Workers that run tasks");
  auto add = description.add_options();
  add("count", options::value<int>()->default_value(4));
  add("ip", options::value<std::string>()->default_value("127.0.0.1"));
  add("first-port", options::value<int>()->default_value(7'101));
  add("controls", options::value<std::string>()->required());
  add("service", options::value<std::string>()->default_value("previews"));
  add("work-ms", options::value<int>()->default_value(200));
  add("millicores", options::value<int>()->default_value(16'000));
  options::variables_map arguments;
  options::store(
      options::parse_command_line(argument_count, argument_values, description),
      arguments);
  options::notify(arguments);

  signal(SIGPIPE, SIG_IGN);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  std::vector<std::unique_ptr<sumac::stand_ins::TaskWorker>> workers;
  std::vector<kj::Promise<void>> running;
  const auto service = arguments["service"].as<std::string>();
  for (int number = 0; number < arguments["count"].as<int>(); ++number) {
    sumac::stand_ins::TaskWorker::Settings settings;
    settings.description = {
        .id = sumac::WorkerId(sumac::StrCat(service, "-", number, "-",
                                            static_cast<long>(getpid()))),
        .instance = sumac::InstanceName(sumac::StrCat(service, "-", number)),
        .service = sumac::ServiceName(service),
        .data_centre = sumac::DataCentre("dc-1"),
        .address = sumac::StrCat(arguments["ip"].as<std::string>(), ":",
                                 arguments["first-port"].as<int>() + number),
        .capacity = {.millicores = arguments["millicores"].as<int>(),
                     .memory_mb = 32'000},
        .labels = {"a", sumac::StrCat("r", number / 4)}};
    settings.controls = SplitAtCommas(arguments["controls"].as<std::string>());
    settings.work = sumac::Milliseconds(arguments["work-ms"].as<int>());
    workers.push_back(std::make_unique<sumac::stand_ins::TaskWorker>(
        io.provider->getNetwork(), io.provider->getTimer(), settings));
    running.push_back(workers.back()->Run().eagerlyEvaluate(nullptr));
  }
  std::cout << "ready" << std::endl;
  kj::NEVER_DONE.wait(io.waitScope);
}
