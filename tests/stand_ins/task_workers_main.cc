// SPDX-License-Identifier: Apache-2.0
// Runs a number of stand-in workers for tasks in one process, for tests with
// real processes.
#include <kj/async-io.h>
#include <kj/async-unix.h>
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

constexpr sumac::Milliseconds kClockStep{1'000};
constexpr int kClockSteps = 600;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

using Workers = std::vector<std::unique_ptr<sumac::stand_ins::TaskWorker>>;

// Stalls the tasks of all workers at each SIGWINCH and resumes them at any
// other `signal_number`.
kj::Promise<void> HandleSignal(kj::UnixEventPort& port,
                               int signal_number,
                               Workers& workers) {
  return port.onSignal(signal_number)
      .then([&port, signal_number, &workers](siginfo_t&&) {
        for (const auto& worker : workers) {
          worker->set_stalled(signal_number == SIGWINCH);
        }
        return HandleSignal(port, signal_number, workers);
      });
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
  add("listen-ip", options::value<std::string>()->default_value(""),
      "where they listen, if they announce the address of a proxy");
  add("log", options::value<std::string>()->default_value(""),
      "what happens at them, as JSON lines");
  add("process", options::value<std::string>()->default_value(""),
      "this process's name, for the log and the names of workers");
  add("leave-ms", options::value<int>()->default_value(0),
      "on SIGTERM workers announce that they leave, and go after this");
  add("names-stay", options::bool_switch(),
      "workers keep their names when the process starts again");
  add("data-centre", options::value<std::string>()->default_value("dc-1"));
  add("millicores", options::value<int>()->default_value(16'000));
  options::variables_map arguments;
  options::store(
      options::parse_command_line(argument_count, argument_values, description),
      arguments);
  options::notify(arguments);

  signal(SIGPIPE, SIG_IGN);
  kj::UnixEventPort::captureSignal(SIGWINCH);
  kj::UnixEventPort::captureSignal(SIGURG);
  const sumac::Milliseconds leave_time(arguments["leave-ms"].as<int>());
  if (leave_time > sumac::Milliseconds(0)) {
    kj::UnixEventPort::captureSignal(SIGTERM);
  }
  sumac::stand_ins::EventLog log(arguments["log"].as<std::string>());
  kj::AsyncIoContext io = kj::setupAsyncIo();
  Workers workers;
  std::vector<kj::Promise<void>> running;
  const auto service = arguments["service"].as<std::string>();
  const auto process = arguments["process"].as<std::string>();
  const std::string prefix = process.empty() ? service : process;
  for (int number = 0; number < arguments["count"].as<int>(); ++number) {
    sumac::stand_ins::TaskWorker::Settings settings;
    // The clock of a new incarnation need not continue from the last one's, so
    // the offset depends on the process.
    settings.clock_offset = kClockStep * (getpid() % kClockSteps);
    settings.description = {
        .id = sumac::WorkerId(sumac::StrCat(prefix, "-", number, "-",
                                            static_cast<long>(getpid()))),
        .instance = sumac::InstanceName(sumac::StrCat(prefix, "-", number)),
        .service = sumac::ServiceName(service),
        .data_centre =
            sumac::DataCentre(arguments["data-centre"].as<std::string>()),
        .address = sumac::StrCat(arguments["ip"].as<std::string>(), ":",
                                 arguments["first-port"].as<int>() + number),
        .capacity = {.millicores = arguments["millicores"].as<int>(),
                     .memory_mb = 32'000},
        .labels = {"a", sumac::StrCat("r", number / 4)}};
    if (arguments["names-stay"].as<bool>()) {
      settings.description.name =
          sumac::WorkerName(sumac::StrCat(prefix, "-", number));
      settings.description.born = sumac::SystemClock().Now();
      settings.description.id = sumac::WorkerId(
          sumac::StrCat(prefix, "-", number, "#",
                        settings.description.born.time_since_epoch().count()));
      // The clock of each incarnation starts at zero.
      settings.clock_offset =
          -sumac::SystemClock().SteadyNow().time_since_epoch();
    }
    const auto listen_ip = arguments["listen-ip"].as<std::string>();
    if (!listen_ip.empty()) {
      settings.listen_address = sumac::StrCat(
          listen_ip, ":", arguments["first-port"].as<int>() + number);
    }
    settings.process = process;
    settings.leave_time = leave_time;
    settings.controls = SplitAtCommas(arguments["controls"].as<std::string>());
    settings.work = sumac::Milliseconds(arguments["work-ms"].as<int>());
    workers.push_back(std::make_unique<sumac::stand_ins::TaskWorker>(
        io.provider->getNetwork(), io.provider->getTimer(), settings, log));
    running.push_back(workers.back()->Run().eagerlyEvaluate(nullptr));
  }
  for (const int signal_number : {SIGWINCH, SIGURG}) {
    running.push_back(HandleSignal(io.unixEventPort, signal_number, workers)
                          .eagerlyEvaluate(nullptr));
  }
  std::cout << "ready" << std::endl;
  if (leave_time == sumac::Milliseconds(0)) {
    kj::NEVER_DONE.wait(io.waitScope);
  }
  io.unixEventPort.onSignal(SIGTERM).wait(io.waitScope);
  std::vector<kj::Promise<void>> leaving;
  leaving.reserve(workers.size());
  for (const auto& worker : workers) {
    leaving.push_back(worker->Leave());
  }
  for (kj::Promise<void>& one : leaving) {
    one.wait(io.waitScope);
  }
}
