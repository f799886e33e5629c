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

// Time limits that the platform guarantees or requires.
struct PlatformTimes {
  // The maximum duration of a worker's lease.
  Milliseconds longest_lease{6'000};
  // The maximum time in which a worker carries out a stop.
  Milliseconds longest_stop{1'000};
  // The platform kills a process this long after it asked it to stop.
  Milliseconds stop_grace{6'000};
  // The minimum time between the orders of two leaders about one instance.
  Milliseconds instance_lease{3'000};
  // The duration of an instance's maintenance and of a move, in seconds: the
  // platform gives them as fractions.
  double maintenance_seconds = 2;
  double move_seconds = 1.5;
  // The time within which an acknowledged evacuation of a data centre must be
  // in force; 0 if operators can't order one.
  Milliseconds evacuation{0};

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
    visitor.Field("evacuation_ms", self.evacuation, Limits{0, 600'000});
  }

 private:
  static Milliseconds ToMilliseconds(double seconds) {
    return std::chrono::round<Milliseconds>(
        std::chrono::duration<double>(seconds));
  }
};

// Policies that can be switched off, so that a run can compare them with the
// simple alternative.
struct PolicySettings {
  // Moves instances between pools as demand changes.
  bool moves = true;
  // The leader makes its calls to workers through the other controllers.
  bool relays = true;
  // The leader calls workers directly while it has fewer workers than this:
  // with few workers, the detour through a relay delays answers more than it
  // saves the leader.
  std::size_t relays_from_workers = 100;
  // Runs jobs that can still meet their deadline first, the most urgent before
  // the others.
  bool order_by_slack = true;
  // Extrapolates the growth of a queue's arrivals over the time that an
  // instance needs to move.
  bool forecast = true;
  // Moves tasks away from workers that fail, are stalled or are slow.
  bool leave_bad_workers = true;
  // Spare capacity that a pool should have beyond what it needs, in
  // thousandths. An instance for a second costs a fiftieth of what a late job
  // does in the worst seconds of a day: 400 to 700 earned more than 150
  // (docs/WORTH.md).
  std::int64_t reserve_permille = 500;
  // The maximum number of jobs that are accepted and not finished; further jobs
  // are refused. Bounds a controller's memory.
  std::uint64_t most_active_jobs = 20'000;
  // Shares a full fleet between customers by the work that they ask for;
  // otherwise by the number of their jobs.
  bool shares_by_work = true;
  // How long a pool keeps instances that it no longer needs.
  Milliseconds surplus_time{2'500};
  // Moves long-running tasks out of evacuated data centres. If false, they stay
  // until something else ends their runs, and lose nothing.
  bool move_evacuated_tasks = false;
  // Reserves workers for large tasks also where no customers are declared, any
  // of whom may flood a pool with small tasks.
  bool reserve_workers = false;

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
    visitor.Field("shares_by_work", self.shares_by_work);
    visitor.Field("surplus_ms", self.surplus_time, Limits{0, 600'000});
    visitor.Field("move_evacuated_tasks", self.move_evacuated_tasks);
    visitor.Field("reserve_workers", self.reserve_workers);
  }
};

// The settings of a process that has no list of the others and discovers them
// from seeds. docs/SETTINGS.md describes each key.
struct NodeSettings {
  // The name of this process in logs.
  std::string label;
  DataCentre data_centre;
  ProcessRole role = ProcessRole::kEntry;
  // This process's own IP address, without a port.
  std::string ip;
  // The port on which processes listen for each other; the same for all
  // processes.
  std::uint16_t peer_port = 0;
  // Addresses of some controllers. Their ports are ignored.
  std::vector<std::string> seeds;
  // True only at the first start of the whole system, when all disks are empty.
  bool is_first_start = false;
  // The number of controllers that may be lost at the same time, together with
  // their disks.
  std::uint32_t tolerated_losses = 1;
  // The number of whole data centres that may be lost at the same time.
  std::uint32_t tolerated_data_centres = 0;
  // The names of all data centres; empty if the settings don't tell.
  std::vector<DataCentre> data_centres;
  // Only for controllers.
  std::string data_folder;
  std::string control_door;
  // Only for entries.
  std::string caller_door;
  std::string health_door;
  // The address at which this process listens for operators, as IP:PORT; empty
  // for none.
  std::string operators_door;
  // The address at which this process serves its metrics, as IP:PORT; empty for
  // none.
  std::string metrics_door;
  // The maximum number of file descriptors of this process; 0 for the operating
  // system's limit.
  std::size_t most_descriptors = 0;
  // The address of the platform's interface for instances, as IP:PORT; empty if
  // there is none.
  std::string instances_door;
  // The address of the placement policy, as IP:PORT; empty if there is none.
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
    visitor.Field("tolerated_data_centres", self.tolerated_data_centres,
                  Limits{0, 100});
    visitor.Field("data_centres", self.data_centres);
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
  // Returns the name of this process: the address at which the others reach it.
  ProcessName process() const;
  // Returns the names of the seeds, in the same form.
  std::vector<ProcessName> SeedProcesses() const;
  // Returns the number of voters that the group should have.
  std::size_t wanted_voters() const { return 2 * this->tolerated_losses + 1; }

  // Reads and validates a settings file. Errors name the file, the key, the
  // value found and the values allowed.
  static absl::StatusOr<NodeSettings> Load(const std::string& path);
};

// Returns true if the file at `path` contains settings of this kind, i.e. has
// the key "seeds".
bool IsNodeSettingsFile(const std::string& path);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_NODE_SETTINGS_H_
