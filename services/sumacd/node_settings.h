// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_NODE_SETTINGS_H_
#define SERVICES_SUMACD_NODE_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"
#include "services/sumacd/settings.h"

namespace sumac::daemon {

// Times that the platform promises or asks for.
struct PlatformTimes {
  // A worker's lease is at most this long.
  Milliseconds longest_lease{6'000};
  // A worker carries a stop out within this.
  Milliseconds longest_stop{1'000};
  // A process that was told to stop is killed after this.
  Milliseconds stop_grace{6'000};
  // Two leaders' orders about one instance keep this apart.
  Milliseconds instance_lease{3'000};
  // How long maintenance of an instance and a move take, in seconds: the
  // platform fills them in as fractions.
  double maintenance_seconds = 2;
  double move_seconds = 1.5;

  Milliseconds maintenance_time() const {
    return ToMilliseconds(this->maintenance_seconds);
  }
  Milliseconds move_time() const { return ToMilliseconds(this->move_seconds); }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("longest_lease_ms", self.longest_lease, Limits{100, 600'000});
    visitor.Field("longest_stop_ms", self.longest_stop, Limits{0, 600'000});
    visitor.Field("stop_grace_ms", self.stop_grace, Limits{100, 600'000});
    visitor.Field("instance_lease_ms", self.instance_lease, Limits{0, 600'000});
    visitor.Field("maintenance_seconds", self.maintenance_seconds,
                  Limits{0, 600});
    visitor.Field("move_seconds", self.move_seconds, Limits{0, 600});
  }

 private:
  static Milliseconds ToMilliseconds(double seconds) {
    return std::chrono::round<Milliseconds>(
        std::chrono::duration<double>(seconds));
  }
};

// Policies that can be switched off, so that one run compares them with the
// plain way.
struct PolicySettings {
  // Instances follow demand from pool to pool.
  bool moves = true;
  // A leader has the other controllers make its calls to workers.
  bool relays = true;
  // It makes them itself while it has fewer workers: with few, the way by a
  // relay costs answers more time than the leader gains.
  std::size_t relays_from_workers = 100;
  // Jobs that can still be in time go first, the most pressing before the
  // others.
  bool order_by_slack = true;
  // Growth of a queue's arrivals is carried on for as long as an instance needs
  // to move.
  bool forecast = true;
  // Tasks leave workers that fail, stand still or are slow.
  bool leave_bad_workers = true;
  // Room that a pool should have beyond what it needs, in thousandths. An
  // instance for a second costs a fiftieth of what a late job does in the worst
  // seconds of a day: 400 to 700 earned more than 150 (docs/WORTH.md).
  std::int64_t reserve_permille = 500;
  // Further jobs are refused while so many are accepted and not finished;
  // bounds a controller's memory.
  std::uint64_t most_active_jobs = 20'000;
  // How long a pool keeps instances that it does not need any more.
  Milliseconds surplus_time{2'500};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("moves", self.moves);
    visitor.Field("relays", self.relays);
    visitor.Field("relays_from_workers", self.relays_from_workers,
                  Limits{0, 1'000'000});
    visitor.Field("order_by_slack", self.order_by_slack);
    visitor.Field("forecast", self.forecast);
    visitor.Field("leave_bad_workers", self.leave_bad_workers);
    visitor.Field("reserve_permille", self.reserve_permille, Limits{0, 10'000});
    visitor.Field("most_active_jobs", self.most_active_jobs,
                  Limits{1, 10'000'000});
    visitor.Field("surplus_ms", self.surplus_time, Limits{0, 600'000});
  }
};

// The settings of a process that has no list of the others and finds them from
// seeds. docs/SETTINGS.md describes each key.
struct NodeSettings {
  // For logs.
  std::string label;
  DataCentre data_centre;
  ProcessRole role = ProcessRole::kEntry;
  // This process's own address without a port.
  std::string ip;
  // The port at which processes reach each other; the same everywhere.
  std::uint16_t peer_port = 0;
  // Addresses of some controllers; their ports are not used.
  std::vector<std::string> seeds;
  // True only at the first start of the whole system, on empty disks.
  bool is_first_start = false;
  // Controllers that may be lost at once, with their disks.
  std::uint32_t tolerated_losses = 1;
  // Controllers only.
  std::string data_folder;
  std::string control_door;
  // Entries only.
  std::string caller_door;
  std::string health_door;
  // Where operators reach this process, as IP:PORT; empty for nowhere.
  std::string operators_door;
  // Where this process gives out its metrics, as IP:PORT; empty for nowhere.
  std::string metrics_door;
  // File descriptors that this process may hold; 0 for as many as the operating
  // system allows it.
  std::size_t most_descriptors = 0;
  // The platform's door for instances, as IP:PORT; empty if there is none.
  std::string instances_door;
  // The placement policy's door, as IP:PORT; empty if there is none.
  std::string advice_door;
  PlatformTimes platform_times;
  PolicySettings policy;
  GroupSettings group;
  LogSettings log;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("label", self.label);
    visitor.Required("data_centre", self.data_centre);
    visitor.Required("role", self.role);
    visitor.Required("ip", self.ip);
    visitor.Required("peer_port", self.peer_port, Limits{1, 65'535});
    visitor.Required("seeds", self.seeds);
    visitor.Field("is_first_start", self.is_first_start);
    visitor.Field("tolerated_losses", self.tolerated_losses, Limits{0, 100});
    visitor.Field("data_folder", self.data_folder);
    visitor.Field("control_door", self.control_door);
    visitor.Field("caller_door", self.caller_door);
    visitor.Field("health_door", self.health_door);
    visitor.Field("operators_door", self.operators_door);
    visitor.Field("metrics_door", self.metrics_door);
    visitor.Field("most_descriptors", self.most_descriptors,
                  Limits{0, 1'048'576});
    visitor.Field("instances_door", self.instances_door);
    visitor.Field("advice_door", self.advice_door);
    visitor.Field("platform_times", self.platform_times);
    visitor.Field("policy", self.policy);
    visitor.Field("group", self.group);
    visitor.Field("log", self.log);
  }

  bool is_controller() const { return this->role == ProcessRole::kController; }
  // The name of this process among the others: where they reach it.
  ProcessName process() const;
  // The seeds by the same kind of name.
  std::vector<ProcessName> SeedProcesses() const;
  // Voters that the group should have.
  std::size_t wanted_voters() const { return 2 * this->tolerated_losses + 1; }

  // Reads and checks a file. Errors name the file, the key, what was found and
  // what is allowed.
  static absl::StatusOr<NodeSettings> Load(const std::string& path);
};

// True if the file at `path` holds settings of this kind: it names seeds.
bool IsNodeSettingsFile(const std::string& path);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_NODE_SETTINGS_H_
