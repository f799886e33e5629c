// SPDX-License-Identifier: Apache-2.0

// Measures the commit latency of replicas without I/O, over links and disks
// with given delays and on a fake clock: the cost of distance, independent of
// this machine's speed. Prints JSON lines.

#include <iostream>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "benchmarks/percentiles.h"
#include "libraries/base/text.h"
#include "libraries/replication/replica.h"

namespace sumac::benchmarks {
namespace {

using replication::Message;
using replication::NodeId;
using replication::Replica;

// A scheduled event of one replica: the arrival of a message, or without one,
// an iteration of its loop.
struct Event {
  Microseconds at;
  std::uint64_t order = 0;
  std::size_t node = 0;
  std::optional<Message> message;

  bool operator>(const Event& other) const {
    return std::pair(this->at, this->order) > std::pair(other.at, other.order);
  }
};

// A group of replicas on a fake clock. An iteration of a replica's loop with
// writes takes the disk's time; the next iteration handles all messages that
// arrive meanwhile.
class Group {
 public:
  Group(int voters, Microseconds one_way, Microseconds disk)
      : one_way(one_way), disk(disk) {
    replication::Membership membership;
    for (int number = 0; number < voters; ++number) {
      membership.voters.insert(NodeId(StrCat("n", number, ".1")));
    }
    for (const NodeId& voter : membership.voters) {
      replication::StartState start{.self = voter,
                                    .seed = this->replicas.size() + 1};
      start.snapshot.meta.membership = membership;
      this->node_indexes[voter] = this->replicas.size();
      this->replicas.emplace_back(replication::ReplicationSettings(), start,
                                  this->Steady());
      this->busy_until.emplace_back(0);
    }
  }

  // Runs until a replica leads and returns its index.
  std::size_t AwaitLeader() {
    while (true) {
      this->RunUntil(this->now + Microseconds(10'000));
      for (std::size_t node = 0; node < this->replicas.size(); ++node) {
        if (this->replicas[node].is_ready_to_lead()) {
          return node;
        }
      }
    }
  }

  // Makes `count` proposals at `rate` per second and returns the latency of
  // each commit.
  std::vector<Microseconds> ProposeAtRate(std::size_t leader,
                                          double rate,
                                          int count) {
    this->committed_at.clear();
    std::vector<std::pair<LogIndex, Microseconds>> proposed;
    const Microseconds begin = this->now;
    for (int number = 0; number < count; ++number) {
      this->RunUntil(
          begin + Microseconds(static_cast<std::int64_t>(number * 1e6 / rate)));
      const auto index =
          this->replicas[leader].Propose("command", this->Steady());
      if (index.ok()) {
        proposed.emplace_back(*index, this->now);
        this->ScheduleIteration(leader);
      }
    }
    this->RunUntil(this->now + Microseconds(500'000));
    std::vector<Microseconds> latencies;
    for (const auto& [index, at] : proposed) {
      const auto found = this->committed_at.find({leader, index});
      if (found != this->committed_at.end()) {
        latencies.push_back(found->second - at);
      }
    }
    return latencies;
  }

 private:
  static constexpr Microseconds kTick{10'000};

  SteadyTime Steady() const {
    return SteadyTime(std::chrono::duration_cast<Milliseconds>(this->now) +
                      Milliseconds(10'000));
  }

  void Push(Microseconds at, std::size_t node, std::optional<Message> message) {
    this->events.push(Event{at, ++this->order, node, std::move(message)});
  }

  // Schedules the next iteration of the replica's loop: now, or when its disk
  // has finished.
  void ScheduleIteration(std::size_t node) {
    this->Push(std::max(this->now, this->busy_until[node]), node, std::nullopt);
  }

  void RunUntil(Microseconds end) {
    while (true) {
      const bool has_event =
          !this->events.empty() && this->events.top().at <= end;
      if (this->next_tick <= end &&
          (!has_event || this->next_tick <= this->events.top().at)) {
        this->now = std::max(this->now, this->next_tick);
        this->next_tick += kTick;
        for (std::size_t node = 0; node < this->replicas.size(); ++node) {
          this->replicas[node].Tick(this->Steady());
          this->ScheduleIteration(node);
        }
        continue;
      }
      if (!has_event) {
        break;
      }
      Event event = this->events.top();
      this->events.pop();
      this->now = std::max(this->now, event.at);
      this->Handle(std::move(event));
    }
    this->now = std::max(this->now, end);
  }

  void Handle(Event event) {
    const std::size_t node = event.node;
    if (event.message) {
      this->replicas[node].Receive(*std::move(event.message), this->Steady());
      this->ScheduleIteration(node);
      return;
    }
    if (this->busy_until[node] > this->now) {
      this->ScheduleIteration(node);
      return;
    }
    if (!this->replicas[node].has_output()) {
      return;
    }
    replication::Output output = this->replicas[node].TakeOutput();
    const Microseconds done =
        output.has_writes() ? this->now + this->disk : this->now;
    this->busy_until[node] = done;
    // As in the controller, a leader's entries are sent before its own disk has
    // finished.
    const bool is_early =
        this->replicas[node].role() == replication::Role::kLeader &&
        !output.hard_state;
    for (Message& message : output.messages) {
      const std::size_t to = this->node_indexes.at(message.to);
      this->Push((is_early ? this->now : done) + this->one_way, to,
                 std::move(message));
    }
    for (const replication::Entry& entry : output.committed) {
      this->committed_at[{node, entry.index}] = done;
    }
    this->ScheduleIteration(node);
  }

  Microseconds one_way;
  Microseconds disk;
  Microseconds now{0};
  Microseconds next_tick{0};
  std::uint64_t order = 0;
  std::vector<Replica> replicas;
  std::vector<Microseconds> busy_until;
  std::map<NodeId, std::size_t> node_indexes;
  std::map<std::pair<std::size_t, LogIndex>, Microseconds> committed_at;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

void Measure(int voters, Microseconds one_way, Microseconds disk, double rate) {
  Group group(voters, one_way, disk);
  const std::size_t leader = group.AwaitLeader();
  constexpr int kCount = 2'000;
  nlohmann::json line = {
      {"bench", "commit_by_distance"},
      {"voters", voters},
      {"one_way_ms", static_cast<double>(one_way.count()) / 1'000},
      {"disk_ms", static_cast<double>(disk.count()) / 1'000},
      {"rate_per_second", rate}};
  const std::vector<Microseconds> latencies =
      group.ProposeAtRate(leader, rate, kCount);
  line["committed"] = latencies.size();
  AddPercentiles(line, "commit", latencies);
  std::cout << line.dump() << "\n";
}

}  // namespace
}  // namespace sumac::benchmarks

int main(int argument_count, char** argument_values) {
  using sumac::benchmarks::Microseconds;
  // The sync time of this machine's disk, in microseconds.
  const Microseconds disk(argument_count > 1 ? std::stoll(argument_values[1])
                                             : 1'000);
  for (const int voters : {3, 5}) {
    for (const int one_way : {500, 1'000}) {
      for (const double rate : {100.0, 1'000.0, 5'000.0}) {
        sumac::benchmarks::Measure(voters, Microseconds(one_way), disk, rate);
      }
    }
  }
  return 0;
}
