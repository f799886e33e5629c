// SPDX-License-Identifier: Apache-2.0

// Many jobs want the same rack, while the other racks of the service are idle.
// usage: hot_rack REPOSITORY WORK_FOLDER RECORD

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "rig.h"

namespace {

using namespace sumac::review;

constexpr std::size_t kMinions = 12;
constexpr std::size_t kMinionsPerRack = 4;
constexpr int kFillingJobs = 4;
constexpr int kTasksPerJob = 4;
constexpr int kMillicores = 15'600;
// From the rule: a job whose turn has come has nothing running for this long.
constexpr Milliseconds kIdleTime{3'000};
constexpr Milliseconds kWatchTime{25'000};
constexpr int kOk = 200;

std::string MakeNearJob(int count, const std::string& rack) {
  return MakeJob("30000", {{"count", count},
                           {"cpu", kMillicores},
                           {"mem_mb", 16},
                           {"estimate_ms", 30'000},
                           {"affinity", rack}});
}

bool Submit(const Deployment& deployment,
            const std::string& job,
            const std::string& body,
            Record& record) {
  constexpr int kTries = 20;
  for (int turn = 0; turn < kTries; ++turn) {
    const HttpReply reply =
        CallJob(deployment.Address(turn % 2 == 0 ? "n1" : "n2", kCallerPort),
                "POST", job, body);
    std::string line = "POST job ";
    line += job;
    line += " ";
    line += body;
    line += ": ";
    line += std::to_string(reply.status);
    record.Add(line);
    if (reply.status == kOk) {
      return true;
    }
    Sleep(Milliseconds(300));
  }
  return false;
}

// Writes how many work units each minion runs.
void WriteRuns(const std::vector<std::unique_ptr<Minion>>& minions,
               Record& record) {
  std::string text = "work units by minion:";
  for (const auto& minion : minions) {
    text += " " + minion->description().labels.back() + "/" +
            minion->description().machine + "=" +
            std::to_string(minion->RunningTasks().size());
  }
  record.Add(text);
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
  const std::string last_job = MakeJobId(99);
  std::mutex mutex;
  std::optional<Milliseconds> began;
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
        record, [&](const std::string& task) {
          if (task.starts_with(last_job)) {
            const std::lock_guard lock(mutex);
            began = began.value_or(Elapsed());
          }
        }));
    minions.back()->Start();
    platform.Show(*minions.back(), minions.back()->id(), true);
  }
  Sleep(Milliseconds(3'000));
  // These fill the rack r0, a third of the service.
  for (int number = 1; number <= kFillingJobs; ++number) {
    if (!Submit(deployment, MakeJobId(static_cast<std::uint64_t>(number)),
                MakeNearJob(kTasksPerJob, "r0"), record)) {
      return 2;
    }
  }
  Sleep(Milliseconds(1'500));
  WriteRuns(minions, record);
  const std::string rack = has_trouble ? "r0" : "r1";
  if (!Submit(deployment, last_job, MakeNearJob(1, rack), record)) {
    return 2;
  }
  const Milliseconds accepted = Elapsed();
  Milliseconds idle{0};
  while (Elapsed() < accepted + kWatchTime) {
    {
      const std::lock_guard lock(mutex);
      idle = began.value_or(Elapsed()) - accepted;
      if (began) {
        break;
      }
    }
    Sleep(Milliseconds(5));
  }
  WriteRuns(minions, record);
  const bool is_held = idle <= kIdleTime;
  record.Add("the accepted job had nothing running for " +
             std::to_string(idle.count()) + " ms, beside idle minions");
  record.Add(is_held ? "LOST held" : "LOST broken");
  std::cout << "nothing ran for " << idle.count() << " ms\n";
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
