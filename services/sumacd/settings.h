// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_SETTINGS_H_
#define SERVICES_SUMACD_SETTINGS_H_

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::daemon {

// What a process does for the system.
enum class ProcessRole { kEntry, kController };

// One process of the system as all settings files list it.
struct ProcessSettings {
  ProcessName name;
  DataCentre data_centre;
  std::set<ProcessRole> roles;
  // Where the other processes reach it, as IP:PORT.
  std::string peer_address;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("name", self.name);
    visitor.Required("data_centre", self.data_centre);
    visitor.Required("roles", self.roles);
    visitor.Required("peer_address", self.peer_address);
  }
};

// Where this process listens, as IP:PORT.
struct ListenSettings {
  std::string callers;
  std::string targets;
  std::string operators;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("callers", self.callers);
    visitor.Required("targets", self.targets);
    visitor.Required("operators", self.operators);
  }
};

// Times of the controllers' group; the same in all files.
struct GroupSettings {
  Milliseconds heartbeat{250};
  Milliseconds election_timeout{800};
  // Entries after which a snapshot is taken.
  std::uint64_t snapshot_every = 10'000;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("heartbeat_ms", self.heartbeat, Limits{10, 10'000});
    visitor.Field("election_timeout_ms", self.election_timeout,
                  Limits{50, 60'000});
    visitor.Field("snapshot_every", self.snapshot_every,
                  Limits{10, 10'000'000});
  }
};

// Limits of the doors that HTTP comes through.
struct HttpListenerSettings {
  std::uint32_t most_caller_connections = 1'024;
  std::uint32_t most_target_connections = 128;
  // A request body's bytes at most, whatever its service declares.
  std::uint32_t most_body_bytes = 1U << 20;
  Milliseconds idle_time{15'000};
  Milliseconds io_time{10'000};
  // On a planned stop, how long the health check says so before listening ends.
  Milliseconds stop_notice{2'000};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("most_caller_connections", self.most_caller_connections,
                  Limits{1, 10'000});
    visitor.Field("most_target_connections", self.most_target_connections,
                  Limits{1, 10'000});
    visitor.Field("most_body_bytes", self.most_body_bytes, Limits{1, 64 << 20});
    visitor.Field("idle_ms", self.idle_time, Limits{100, 3'600'000});
    visitor.Field("io_ms", self.io_time, Limits{100, 3'600'000});
    visitor.Field("stop_notice_ms", self.stop_notice, Limits{0, 600'000});
  }
};

// How an entry shares minions with the others.
struct RoutingSettings {
  double slot_overcommit = 2;
  // How often a minion without traffic is asked how it is; 0 never.
  Milliseconds probe_interval{1'000};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("slot_overcommit", self.slot_overcommit, Limits{1, 64});
    visitor.Field("probe_interval_ms", self.probe_interval, Limits{0, 60'000});
  }
};

// Log lines.
struct LogSettings {
  std::string level = "info";
  // Empty for standard output.
  std::string file;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("level", self.level);
    visitor.Field("file", self.file);
  }
};

// The settings of one process; docs/SETTINGS.md describes each key.
struct Settings {
  ProcessName process;
  ListenSettings listen;
  std::vector<ProcessSettings> processes;
  // Controllers only.
  std::string data_folder;
  std::string charts_folder = "charts";
  // The platform's door as IP:PORT; empty if there is none.
  std::string platform_address;
  GroupSettings group;
  HttpListenerSettings doors;
  RoutingSettings routing;
  // How long a draining instance gets before it may count as drained.
  Milliseconds drain_grace{3'000};
  LogSettings log;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("process", self.process);
    visitor.Required("listen", self.listen);
    visitor.Required("processes", self.processes);
    visitor.Field("data_folder", self.data_folder);
    visitor.Field("charts_folder", self.charts_folder);
    visitor.Field("platform_address", self.platform_address);
    visitor.Field("group", self.group);
    visitor.Field("doors", self.doors);
    visitor.Field("routing", self.routing);
    visitor.Field("drain_grace_ms", self.drain_grace, Limits{0, 600'000});
    visitor.Field("log", self.log);
  }

  // This process's own row of `processes`.
  const ProcessSettings& self() const;
  bool has_role(ProcessRole role) const {
    return this->self().roles.contains(role);
  }
  // The controllers, in the order of the file.
  std::vector<ProcessSettings> Controllers() const;
  // How many processes have the entry role.
  std::uint32_t CountEntries() const;

  // Reads and checks a file. Errors name the file, the key, what was found and
  // what is allowed.
  static absl::StatusOr<Settings> Load(const std::string& path);
};

}  // namespace sumac::daemon

namespace sumac {

template <>
struct EnumNames<daemon::ProcessRole> {
  static constexpr std::array kNames = {
      EnumName<daemon::ProcessRole>{daemon::ProcessRole::kEntry, "entry"},
      EnumName<daemon::ProcessRole>{daemon::ProcessRole::kController,
                                    "controller"},
  };
};

}  // namespace sumac

#endif  // SERVICES_SUMACD_SETTINGS_H_
