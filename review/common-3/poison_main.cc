// SPDX-License-Identifier: Apache-2.0

// Jobs that can never be done come, and need the same kind of minion as a sound
// job.
// usage: poison REPOSITORY WORK_FOLDER RECORD

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "rig.h"

namespace {

using namespace sumac::review;

constexpr std::size_t kMinions = 8;
constexpr int kPoisonJobs = 2;
// The sound job comes after this many runs of the poison.
constexpr int kPoisonRuns = 4;
constexpr Milliseconds kLongestPoison{15'000};
// From the rule: a job whose turn has come has nothing running for this long.
constexpr Milliseconds kIdleTime{3'000};
constexpr Milliseconds kWatchTime{15'000};
constexpr int kOk = 200;

std::string MakeKindJob(const std::string& spec) {
  return MakeJob(spec, {{"count", 1},
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
  const std::string sound_job = MakeJobId(99);
  std::mutex mutex;
  std::optional<Milliseconds> began;
  std::vector<std::unique_ptr<Minion>> minions;
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
          if (task.starts_with(sound_job)) {
            const std::lock_guard lock(mutex);
            began = began.value_or(Elapsed());
          }
        }));
    minions.back()->Start();
    platform.Show(*minions.back(), minions.back()->id(), true);
  }
  Sleep(Milliseconds(3'000));
  for (int number = 1; has_trouble && number <= kPoisonJobs; ++number) {
    if (!Submit(deployment, MakeJobId(static_cast<std::uint64_t>(number)),
                MakeKindJob("failing"), record)) {
      return 2;
    }
  }
  const Milliseconds deadline = Elapsed() + kLongestPoison;
  while (has_trouble && minions.front()->failed_ends() < kPoisonRuns &&
         Elapsed() < deadline) {
    Sleep(Milliseconds(5));
  }
  Sleep(Milliseconds(100));
  if (!Submit(deployment, sound_job, MakeKindJob("500"), record)) {
    return 2;
  }
  const Milliseconds accepted = Elapsed();
  Milliseconds idle{0};
  std::size_t most_running = 0;
  while (Elapsed() < accepted + kWatchTime) {
    {
      const std::lock_guard lock(mutex);
      idle = began.value_or(Elapsed()) - accepted;
      if (began) {
        break;
      }
    }
    std::size_t running = 0;
    for (const auto& minion : minions) {
      running += minion->RunningTasks().size();
    }
    most_running = std::max(most_running, running);
    Sleep(Milliseconds(5));
  }
  const bool is_held = idle <= kIdleTime;
  record.Add("the accepted job had nothing running for " +
             std::to_string(idle.count()) + " ms; meanwhile " +
             std::to_string(most_running) +
             " work units at most ran on all 8 minions, the one that it "
             "requires included");
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
