// SPDX-License-Identifier: Apache-2.0

// A machine is due for upkeep while a work unit that lasts, and that has no
// other place, runs on it.
// usage: wave REPOSITORY WORK_FOLDER RECORD

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "rig.h"

namespace {

using namespace sumac::review;

constexpr std::size_t kMinions = 8;
constexpr int kRampSeconds = 26;
// From the rule: a job whose turn has come has nothing running for this long.
constexpr Milliseconds kIdleTime{3'000};
constexpr Milliseconds kWatchTime{40'000};
constexpr Milliseconds kUpkeepTime{2'000};
constexpr int kOk = 200;

std::string MakeLastingJob() {
  return MakeJob("lasting", {{"count", 1},
                             {"cpu", 4'600},
                             {"mem_mb", 16},
                             {"estimate_ms", 500},
                             {"requires", "b"},
                             {"long_running", true},
                             {"miss_allowance", 1}});
}

std::string MakeShortJob() {
  return MakeJob("500", {{"count", 1},
                         {"cpu", 4'600},
                         {"mem_mb", 16},
                         {"estimate_ms", 500},
                         {"requires", "b"}});
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

// Asks for the upkeep of two machines until that is acknowledged.
bool StartWave(const Deployment& deployment, Record& record) {
  const std::string body = Json({{"wave", 1},
                                 {"machines", {"m-0", "m-1"}},
                                 {"ramp_s", kRampSeconds},
                                 {"max_count", 1}})
                               .dump();
  constexpr Milliseconds kLimit{1'000};
  for (const std::string& control : deployment.ControlAddresses()) {
    const auto reply = Call(control, "POST", "/wave-start", body, kLimit);
    record.Add("POST /wave-start: " +
               std::to_string(reply ? reply->status : 0));
    if (reply && reply->status == kOk) {
      return true;
    }
  }
  return false;
}

int Run(const std::string& repository,
        const std::string& folder,
        const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  const std::string network = FreeNetwork();
  const std::string short_job = MakeJobId(99);
  std::mutex mutex;
  std::optional<Milliseconds> began;
  std::vector<std::unique_ptr<Minion>> minions;
  std::vector<std::thread> upkeeps;
  Platform platform(network + ".250", kPlatformPort);
  Deployment deployment(repository, folder, network, 5, 2);
  deployment.StartAll();
  if (!deployment.Declare(MakeManifest(1, "desk"), Milliseconds(20'000))) {
    std::cerr << "no manifest was taken\n";
    return 2;
  }
  for (std::size_t number = 0; number < kMinions; ++number) {
    minions.push_back(std::make_unique<Minion>(
        Minion::Settings{.machine = "m-" + std::to_string(number),
                         .service = "desk",
                         .ip = network + "." + std::to_string(100 + number),
                         .zone = "zone-a",
                         .labels = {number == 0 ? "b" : "a",
                                    "r" + std::to_string(number / 4)},
                         .controls = deployment.ControlAddresses()},
        record, [&](const std::string& task) {
          if (task.starts_with(short_job)) {
            const std::lock_guard lock(mutex);
            began = began.value_or(Elapsed());
          }
        }));
    minions.back()->Start();
    platform.Show(*minions.back(), minions.back()->id(), true);
  }
  platform.TakeUpkeeps([&](const std::string& machine) {
    record.Add("the platform begins the upkeep of " + machine);
    const auto found =
        std::find_if(minions.begin(), minions.end(), [&](const auto& minion) {
          return minion->description().machine == machine;
        });
    const std::lock_guard lock(mutex);
    upkeeps.emplace_back([&platform, &minion = **found] {
      minion.Crash();
      Sleep(kUpkeepTime);
      minion.Start();
      platform.Show(minion, minion.id(), true);
    });
  });
  Sleep(Milliseconds(3'000));
  if (!Submit(deployment, MakeJobId(1), MakeLastingJob(), record)) {
    return 2;
  }
  Sleep(Milliseconds(3'000));
  if (has_trouble && !StartWave(deployment, record)) {
    return 2;
  }
  Sleep(Milliseconds(3'000));
  if (!Submit(deployment, short_job, MakeShortJob(), record)) {
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
  constexpr Milliseconds kLimit{1'000};
  const auto wave = Call(deployment.ControlAddresses().front(), "GET",
                         "/wave-get/1", "", kLimit);
  record.Add("GET /wave-get/1: " + (wave ? wave->body : "no answer"));
  for (std::thread& upkeep : upkeeps) {
    upkeep.join();
  }
  const bool is_held = idle <= kIdleTime;
  record.Add("the accepted job had nothing running for " +
             std::to_string(idle.count()) +
             " ms; the minion that it requires was up and ran " +
             std::to_string(minions.front()->RunningTasks().size()) +
             " work unit of 4.6 of its 64 cores");
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
