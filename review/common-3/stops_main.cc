// SPDX-License-Identifier: Apache-2.0

// Controllers are stopped and started in turn while jobs come; each stop falls
// into the writing of a snapshot.
// usage: stops REPOSITORY WORK_FOLDER RECORD

#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "rig.h"

namespace {

using namespace sumac::review;

constexpr std::size_t kMinions = 12;
constexpr int kCallers = 12;
constexpr Milliseconds kCallerPause{60};
constexpr double kSnapshotEvery = 1'000;
// The bound grace_s of the deployment.
constexpr Milliseconds kGrace{6'000};
constexpr int kStops = 8;
constexpr Milliseconds kRunTime{80'000};

// Returns the index of the last snapshot that a process has logged.
double LastSnapshot(const Deployment& deployment, const std::string& name) {
  std::ifstream log(deployment.LogPath(name));
  std::string line;
  double index = 0;
  while (std::getline(log, line)) {
    const Json event = line.find("\"event\":\"snapshot\"") == std::string::npos
                           ? Json()
                           : Json::parse(line, nullptr, false);
    if (event.is_object()) {
      index = event.value("index", index);
    }
  }
  return index;
}

// Waits until a process takes its next snapshot.
void AwaitSnapshot(const Deployment& deployment,
                   const std::string& name,
                   Milliseconds deadline) {
  const double last = LastSnapshot(deployment, name);
  while (Elapsed() < deadline) {
    const double applied =
        deployment.Metric(name, "sumac_applied_index").value_or(0);
    if (applied >= last + kSnapshotEvery) {
      return;
    }
    Sleep(Milliseconds(applied >= last + kSnapshotEvery * 9 / 10 ? 0 : 10));
  }
}

int Run(const std::string& repository,
        const std::string& folder,
        const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  const std::string network = FreeNetwork();
  Platform platform(network + ".250", kPlatformPort);
  Deployment deployment(repository, folder, network, 5, 2);
  deployment.StartAll();
  if (!deployment.Declare(MakeManifest(1, "desk"), Milliseconds(20'000))) {
    std::cerr << "no manifest was taken\n";
    return 2;
  }
  Record quiet("/dev/null");
  std::vector<std::unique_ptr<Minion>> minions;
  for (std::size_t number = 0; number < kMinions; ++number) {
    minions.push_back(std::make_unique<Minion>(
        Minion::Settings{.machine = "m-" + std::to_string(number),
                         .service = "desk",
                         .ip = network + "." + std::to_string(100 + number),
                         .zone = "zone-a",
                         .labels = {"a", "r" + std::to_string(number / 4)},
                         .controls = deployment.ControlAddresses()},
        quiet, nullptr));
    minions.back()->Start();
    platform.Show(*minions.back(), minions.back()->id(), true);
  }
  Sleep(Milliseconds(2'000));
  std::atomic<bool> is_over = false;
  std::atomic<std::uint64_t> next = 1;
  std::atomic<int> accepted = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      const std::string body = MakeJob(
          "200",
          {{"count", 8}, {"cpu", 300}, {"mem_mb", 16}, {"estimate_ms", 200}});
      while (!is_over) {
        const HttpReply reply = CallJob(
            deployment.Address(caller % 2 == 0 ? "n1" : "n2", kCallerPort),
            "POST", MakeJobId(next++), body);
        accepted += static_cast<int>(reply.status == 200);
        Sleep(kCallerPause);
      }
    });
  }
  int stops = 0;
  int hangs = 0;
  const std::vector<std::string> names = deployment.Names("controller");
  while (stops < kStops && Elapsed() < kRunTime) {
    const std::string& name =
        names[static_cast<std::size_t>(stops) % names.size()];
    Sleep(Milliseconds(1'300));
    AwaitSnapshot(deployment, name, kRunTime);
    if (has_trouble) {
      const Milliseconds sent = Elapsed();
      deployment.Signal(name, SIGTERM);
      const bool has_ended = deployment.AwaitEnd(name, kGrace);
      record.Add("SIGTERM to " + name + ": " +
                 (has_ended ? "ended after " : "still there after ") +
                 std::to_string((Elapsed() - sent).count()) + " ms; " +
                 std::to_string(accepted) + " jobs accepted so far");
      hangs += static_cast<int>(!has_ended);
      if (!has_ended) {
        deployment.Signal(name, SIGKILL);
        deployment.AwaitEnd(name, kGrace);
      }
      deployment.Start(name);
    }
    ++stops;
  }
  is_over = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::cout << hangs << " of " << stops << " stops hang; " << accepted
            << " jobs accepted\n";
  record.Add(std::to_string(hangs) + " of " + std::to_string(stops) +
             " processes did not end within the grace time");
  return hangs == 0 ? 0 : 1;
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 4) {
    return 2;
  }
  try {
    return Run(arguments[1], arguments[2], arguments[3]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
