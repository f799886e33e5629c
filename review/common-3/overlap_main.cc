// SPDX-License-Identifier: Apache-2.0

// The core is killed and loses two disks while the vote of a machine that
// stands still is passed on. usage: overlap REPOSITORY WORK_FOLDER RECORD

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "rig.h"

namespace {

using namespace sumac::review;

constexpr int kControllers = 6;
constexpr std::size_t kVoters = 5;
constexpr int kAttempts = 3;
// From the first change of members to the loss of power.
constexpr Milliseconds kStrikeDelay{30};
constexpr Milliseconds kDownTime{1'000};
// The bound recovery_s, and as much again.
constexpr Milliseconds kRecoveryTime{24'000};
constexpr int kOk = 200;

using Names = std::vector<std::string>;

// Returns the last change of members that a controller has logged as leader.
Json LastChange(const Deployment& deployment, const std::string& name) {
  std::ifstream log(deployment.LogPath(name));
  std::string line;
  Json last;
  while (std::getline(log, line)) {
    if (line.find("\"event\":\"controllers-change\"") != std::string::npos) {
      const Json event = Json::parse(line, nullptr, false);
      last = event.is_object() ? event : last;
    }
  }
  return last;
}

// Returns the voters after the last change that any controller has logged.
Names FindVoters(const Deployment& deployment) {
  Json newest;
  for (const std::string& name : deployment.Names("controller")) {
    const Json change = LastChange(deployment, name);
    if (change.is_object() &&
        (!newest.is_object() || change["at"] > newest["at"])) {
      newest = change;
    }
  }
  Names voters;
  for (const std::string& name : deployment.Names("controller")) {
    std::string process = deployment.Address(name, kPeerPort);
    process += ".";
    const bool is_voter =
        newest.is_object() &&
        std::any_of(newest["voters"].begin(), newest["voters"].end(),
                    [&](const Json& voter) {
                      return voter.get<std::string>().starts_with(process);
                    });
    if (is_voter) {
      voters.push_back(name);
    }
  }
  return voters;
}

std::string FindLeader(const Deployment& deployment) {
  for (const std::string& name : deployment.Names("controller")) {
    if (deployment.Metric(name, "sumac_is_leading").value_or(0) > 0) {
      return name;
    }
  }
  return "";
}

// Reads the manifest back at every controller; returns the highest version.
int ReadBack(const Deployment& deployment, Record& record) {
  constexpr Milliseconds kLimit{1'000};
  int version = 0;
  std::string line = "GET /config:";
  for (const std::string& control : deployment.ControlAddresses()) {
    const auto reply = Call(control, "GET", "/config", "", kLimit);
    line += " ";
    line += reply ? std::to_string(reply->status) : "none";
    if (reply && reply->status == kOk) {
      const Json body = Json::parse(reply->body, nullptr, false);
      version = std::max(version, body.value("version", 0));
    }
  }
  record.Add(line);
  return version;
}

// Waits for a whole group, with its spare. Returns its voters.
Names AwaitGroup(const Deployment& deployment, Milliseconds limit) {
  const Milliseconds deadline = Elapsed() + limit;
  Names voters;
  while (Elapsed() < deadline) {
    voters = FindVoters(deployment);
    const std::string leader = FindLeader(deployment);
    if (!leader.empty() && voters.size() == kVoters &&
        deployment.Metric(leader, "sumac_voters").value_or(0) == kVoters) {
      return voters;
    }
    Sleep(Milliseconds(200));
  }
  return {};
}

// Returns false if nothing could be struck.
bool Strike(Deployment& deployment,
            const std::string& folder,
            Names voters,
            Record& record) {
  const std::string leader = FindLeader(deployment);
  std::erase(voters, leader);
  if (voters.size() + 1 != kVoters) {
    return false;
  }
  const std::string frozen = voters[0];
  const Names wiped = {voters[1], voters[2]};
  const Json before = LastChange(deployment, leader);
  record.Add("freeze " + frozen);
  record.Add("leader " + leader);
  deployment.Signal(frozen, SIGSTOP);
  const Milliseconds frozen_at = Elapsed();
  constexpr Milliseconds kLongestFreeze{5'000};
  while (LastChange(deployment, leader) == before &&
         Elapsed() < frozen_at + kLongestFreeze) {
    Sleep(Milliseconds(2));
  }
  Sleep(kStrikeDelay);
  const Names all = deployment.Names("controller");
  for (const std::string& name : all) {
    if (name != frozen) {
      deployment.Signal(name, SIGKILL);
    }
  }
  for (const std::string& name : all) {
    if (name != frozen) {
      deployment.AwaitEnd(name, Milliseconds(1'000));
    }
  }
  std::ostringstream line;
  line << "all but " << frozen << " are killed; the disks of " << wiped[0]
       << " and " << wiped[1] << " are lost; the last change of members: "
       << LastChange(deployment, leader).dump();
  record.Add(line.str());
  for (const std::string& name : wiped) {
    std::filesystem::remove_all(std::filesystem::path(folder) / name / "data");
  }
  Sleep(kDownTime);
  for (const std::string& name : all) {
    if (name != frozen) {
      deployment.Start(name);
    }
  }
  deployment.Signal(frozen, SIGCONT);
  record.Add("all are back");
  return true;
}

int Run(const std::string& repository,
        const std::string& folder,
        const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  const std::string network = FreeNetwork();
  Platform platform(network + ".250", kPlatformPort);
  Deployment deployment(repository, folder, network, kControllers, 1);
  deployment.StartAll();
  int version = 1;
  if (!deployment.Declare(MakeManifest(version, "desk"),
                          Milliseconds(20'000))) {
    std::cerr << "no manifest was taken\n";
    return 2;
  }
  for (int attempt = 1; attempt <= kAttempts; ++attempt) {
    const Names voters = AwaitGroup(deployment, Milliseconds(15'000));
    // The spare is to catch up, and nothing is to count as lost any more.
    Sleep(Milliseconds(5'000));
    ++version;
    if (voters.empty() || !deployment.Declare(MakeManifest(version, "desk"),
                                              Milliseconds(5'000))) {
      return 2;
    }
    record.Add("version " + std::to_string(version) + " is acknowledged");
    if (has_trouble && !Strike(deployment, folder, voters, record)) {
      return 2;
    }
    const Milliseconds deadline = Elapsed() + kRecoveryTime;
    int found = 0;
    while (found < version && Elapsed() < deadline) {
      found = ReadBack(deployment, record);
      Sleep(Milliseconds(1'000));
    }
    if (found < version) {
      record.Add("version " + std::to_string(version) +
                 " was acknowledged and can't be read back " +
                 std::to_string(kRecoveryTime.count()) +
                 " ms after all machines are back");
      record.Add("LOST broken");
      std::cout << "no manifest can be read back after attempt " << attempt
                << "\n";
      return 1;
    }
    if (!has_trouble) {
      break;
    }
  }
  record.Add("LOST held");
  std::cout << "the manifest was read back each time\n";
  return 0;
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
