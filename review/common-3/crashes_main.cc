// SPDX-License-Identifier: Apache-2.0

// Four minions crash one after the other, each shortly after a work unit of a
// sound job began there.
// usage: crashes REPOSITORY WORK_FOLDER RECORD

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "rig.h"

namespace {

using namespace sumac::review;

constexpr std::size_t kMinions = 8;
constexpr std::size_t kMinionsPerRack = 4;
constexpr int kCrashes = 4;
// From the start of the work unit to the crash.
constexpr Milliseconds kCrashDelay{100};
constexpr Milliseconds kDownTime{4'000};
constexpr Milliseconds kQuietTime{20'000};
constexpr int kOk = 200;

// The minion on which the work unit began last.
class LastStart {
 public:
  void Set(std::size_t minion) {
    const std::lock_guard lock(this->mutex);
    this->minion = minion;
    this->changed.notify_all();
  }
  // Waits for the next start.
  std::optional<std::size_t> Await(Milliseconds limit) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, limit,
                           [this] { return this->minion.has_value(); });
    return std::exchange(this->minion, std::nullopt);
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<std::size_t> minion;
};

// Hands the job in until it is accepted.
bool Submit(const Deployment& deployment,
            const std::string& job,
            Record& record) {
  constexpr int kTries = 20;
  constexpr int kMillicores = 4'600;
  const std::string body = MakeJob("lasting", {{"count", 1},
                                               {"cpu", kMillicores},
                                               {"mem_mb", 16},
                                               {"estimate_ms", 700},
                                               {"long_running", true}});
  for (int turn = 0; turn < kTries; ++turn) {
    const HttpReply reply =
        CallJob(deployment.Address(turn % 2 == 0 ? "n1" : "n2", kCallerPort),
                "POST", job, body);
    record.Add("POST job " + job + ": " + std::to_string(reply.status));
    if (reply.status == kOk) {
      return true;
    }
    Sleep(Milliseconds(500));
  }
  return false;
}

std::string ShowState(const Deployment& deployment,
                      const std::string& job,
                      Record& record) {
  const HttpReply shown =
      CallJob(deployment.Address("n1", kCallerPort), "GET", job);
  std::string state = shown.status == kOk
                          ? Json::parse(shown.body).value("state", "")
                          : std::to_string(shown.status);
  record.Add("GET job " + job + ": " + state);
  return state;
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
  LastStart last_start;
  std::vector<std::unique_ptr<Minion>> minions;
  for (std::size_t number = 0; number < kMinions; ++number) {
    minions.push_back(std::make_unique<Minion>(
        Minion::Settings{
            .machine = "m-" + std::to_string(number),
            .service = "desk",
            .ip = network + "." + std::to_string(100 + number),
            .zone = "zone-a",
            .labels = {"a", "r" + std::to_string(number / kMinionsPerRack)},
            .controls = deployment.ControlAddresses()},
        record, [&last_start, number](const std::string& /*task*/) {
          last_start.Set(number);
        }));
    minions.back()->Start();
    platform.Show(*minions.back(), minions.back()->id(), true);
  }
  Sleep(Milliseconds(3'000));
  const std::string job = MakeJobId(1);
  if (!Submit(deployment, job, record)) {
    return 2;
  }
  std::vector<std::size_t> crashed;
  for (int crash = 0; crash < (has_trouble ? kCrashes : 0); ++crash) {
    const auto victim = last_start.Await(Milliseconds(12'000));
    if (!victim) {
      break;
    }
    Sleep(kCrashDelay);
    minions[*victim]->Crash();
    platform.Show(*minions[*victim], "", false);
    crashed.push_back(*victim);
  }
  Sleep(kDownTime);
  for (const std::size_t victim : crashed) {
    if (!minions[victim]->is_up()) {
      minions[victim]->Start();
      platform.Show(*minions[victim], minions[victim]->id(), true);
    }
  }
  Sleep(kQuietTime);
  const std::string state = ShowState(deployment, job, record);
  std::size_t running = 0;
  for (const auto& minion : minions) {
    running += minion->RunningTasks().size();
  }
  const bool is_held = state == "running" && running == 1;
  record.Add(
      std::to_string(crashed.size()) +
      " crashes; no run has ended failed; the accepted job is shown as " +
      state + ", and " + std::to_string(running) + " of its 1 work units run");
  record.Add(is_held ? "LOST held" : "LOST broken");
  std::cout << "the job is shown as " << state << ", " << running
            << " work units run\n";
  return is_held ? 0 : 1;
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
