// SPDX-License-Identifier: Apache-2.0

// Measures a running group of controllers from outside, through the listeners
// for entries and operators. Prints JSON lines.

#include <fcntl.h>
#include <kj/async-io.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "benchmarks/percentiles.h"
#include "libraries/base/scope_guard.h"
#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_reader.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/view.h"
#include "libraries/rpc/answer_codec.h"
#include "libraries/rpc/channel.h"
#include "libraries/wire/generated/operator.capnp.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::benchmarks {
namespace {

namespace options = boost::program_options;
using BenchClock = std::chrono::steady_clock;

constexpr Milliseconds kCallLimit{5'000};

Microseconds Since(BenchClock::time_point begin) {
  return std::chrono::duration_cast<Microseconds>(BenchClock::now() - begin);
}

// The benchmarks, and the connections that they share.
class Bench {
 public:
  explicit Bench(const options::variables_map& arguments)
      : arguments(arguments), io(kj::setupAsyncIo()) {
    if (arguments.contains("peers")) {
      for (const std::string& address : std::vector<std::string>(
               absl::StrSplit(arguments["peers"].as<std::string>(), ','))) {
        this->peers.push_back(this->Open(address));
      }
    }
  }

  void MeasureCommits();
  void MeasureLongestGap();
  void MeasureFollowers();
  void MeasureCatchUp();
  void FillLog();

 private:
  std::unique_ptr<rpc::Channel> Open(const std::string& address) {
    return std::make_unique<rpc::Channel>(this->io.provider->getNetwork(),
                                          this->io.provider->getTimer(),
                                          address);
  }

  int IntOption(const char* name) const {
    return this->arguments[name].as<int>();
  }

  // Commits one claim at one controller.
  kj::Promise<fleet::Answer> ProposeAt(rpc::Channel& channel,
                                       Milliseconds limit);
  // Returns the channel to the current leader; retries until there is one.
  rpc::Channel& FindLeader();
  kj::Promise<void> CommitLoop(rpc::Channel& leader,
                               int& left,
                               std::vector<Microseconds>& latencies);
  kj::Promise<void> FollowLoop(rpc::Channel& channel,
                               std::uint64_t have,
                               std::uint64_t until,
                               BenchClock::time_point& reached_at);
  // Applies the next declaration and returns the version of the view in which
  // it is in force.
  std::uint64_t ApplyNext(rpc::Channel& operator_channel);

  const options::variables_map& arguments;
  kj::AsyncIoContext io;
  std::vector<std::unique_ptr<rpc::Channel>> peers;
  std::uint64_t next_key = 0;
  std::uint64_t revision = 0;
};

kj::Promise<fleet::Answer> Bench::ProposeAt(rpc::Channel& channel,
                                            Milliseconds limit) {
  const auto now = SystemClock().Now().time_since_epoch().count();
  const fleet::Command command = fleet::ClaimRequest{
      IdempotencyKey(StrCat(now, "-bench", ++this->next_key, "_", ::getpid())),
      std::string(64, 'd'), ProcessName("bench"), this->next_key,
      Milliseconds(1'000)};
  auto request = channel.Get<wire::Peer>().proposeRequest();
  request.setCommand(wire::ToData(ToCbor(command)));
  return channel.Guard(limit, request.send().then([](auto&& response) {
    return rpc::ReadAnswer(response.getResult());
  }));
}

rpc::Channel& Bench::FindLeader() {
  while (true) {
    for (auto& peer : this->peers) {
      try {
        if (this->ProposeAt(*peer, Milliseconds(500))
                .wait(this->io.waitScope)
                .is_ok()) {
          return *peer;
        }
      } catch (const kj::Exception&) {
        // The peer is not the leader or not reachable, so the next one is
        // tried.
      }
    }
  }
}

kj::Promise<void> Bench::CommitLoop(rpc::Channel& leader,
                                    int& left,
                                    std::vector<Microseconds>& latencies) {
  if (left <= 0) {
    return kj::READY_NOW;
  }
  --left;
  const auto begin = BenchClock::now();
  return this->ProposeAt(leader, kCallLimit)
      .then([this, &leader, &left, &latencies,
             begin](const fleet::Answer& answer) {
        VERIFY(answer.is_ok());
        latencies.push_back(Since(begin));
        return this->CommitLoop(leader, left, latencies);
      });
}

// Measures the latency and rate of commits of claims from 1, 16 and 128
// concurrent loops.
void Bench::MeasureCommits() {
  rpc::Channel& leader = this->FindLeader();
  for (const int loops : {1, 16, 128}) {
    int left = this->IntOption("count");
    std::vector<Microseconds> latencies;
    auto running = kj::heapArrayBuilder<kj::Promise<void>>(loops);
    const auto begin = BenchClock::now();
    for (int loop = 0; loop < loops; ++loop) {
      running.add(this->CommitLoop(leader, left, latencies));
    }
    kj::joinPromises(running.finish()).wait(this->io.waitScope);
    const double seconds = static_cast<double>(Since(begin).count()) / 1e6;
    nlohmann::json line = {
        {"bench", "commit"},
        {"voters", this->peers.size()},
        {"in_flight", loops},
        {"commits", latencies.size()},
        {"commits_per_second",
         std::lround(static_cast<double>(latencies.size()) / seconds)}};
    AddPercentiles(line, "commit", latencies);
    std::cout << line.dump() << std::endl;
  }
}

// Commits claims one after the other at any controller that leads, and measures
// the longest time without a commit.
void Bench::MeasureLongestGap() {
  const auto end =
      BenchClock::now() + std::chrono::seconds(this->IntOption("seconds"));
  auto last = BenchClock::now();
  Microseconds longest{0};
  std::size_t commits = 0;
  std::size_t place = 0;
  while (BenchClock::now() < end) {
    bool is_done = false;
    try {
      is_done = this->ProposeAt(*this->peers[place % this->peers.size()],
                                Milliseconds(200))
                    .wait(this->io.waitScope)
                    .is_ok();
    } catch (const kj::Exception&) {
      // The peer is not reachable, so the next one is tried.
    }
    if (is_done) {
      longest = std::max(longest, Since(last));
      last = BenchClock::now();
      ++commits;
    } else {
      ++place;
    }
    this->io.provider->getTimer()
        .afterDelay(2 * kj::MILLISECONDS)
        .wait(this->io.waitScope);
  }
  std::cout << nlohmann::json{{"bench", "without_leader"},
                              {"cause",
                               this->arguments["label"].as<std::string>()},
                              {"commits", commits},
                              {"longest_gap_ms",
                               static_cast<double>(longest.count()) / 1'000}}
                   .dump()
            << std::endl;
}

std::uint64_t Bench::ApplyNext(rpc::Channel& operator_channel) {
  auto request = operator_channel.Get<wire::Operator>().applyRequest();
  auto identity = request.initIdentity();
  identity.setOperatorName("bench");
  identity.setRequestId(StrCat("bench-", ::getpid(), "-", ++this->next_key));
  request.setExpectedRevision(this->revision);
  request.setDeclaration(StrCat(R"({"pools":[{"name":"p","capacity":)",
                                this->next_key % 1'000 + 1, "}]}"));
  const fleet::Answer answer =
      operator_channel
          .Guard(kCallLimit, request.send().then([](auto&& response) {
            return rpc::ReadAnswer(response.getResult());
          }))
          .wait(this->io.waitScope);
  if (!answer.is_ok()) {
    std::cerr << "apply: " << answer.message << "\n";
    std::exit(EXIT_FAILURE);
  }
  this->revision = answer.document["revision"];
  return answer.document["view_version"];
}

// Follows the views of one controller until their version is at least `until`,
// and sets `reached_at` to that time.
kj::Promise<void> Bench::FollowLoop(rpc::Channel& channel,
                                    std::uint64_t have,
                                    std::uint64_t until,
                                    BenchClock::time_point& reached_at) {
  auto request = channel.Get<wire::Peer>().followRequest();
  request.setProcess("bench");
  request.setHave(have);
  request.setWaitMs(5'000);
  return request.send().then([this, &channel, until, &reached_at](
                                 auto&& response) -> kj::Promise<void> {
    if (response.getVersion() >= until) {
      reached_at = BenchClock::now();
      return kj::READY_NOW;
    }
    return this->FollowLoop(channel, response.getVersion(), until, reached_at);
  });
}

// Applies declarations one after the other and measures the time from the
// acceptance of each until the last of a number of followers has received it.
void Bench::MeasureFollowers() {
  const auto operator_channel =
      this->Open(this->arguments["operators"].as<std::string>());
  std::vector<std::unique_ptr<rpc::Channel>> channels;
  const int count = this->IntOption("followers");
  channels.reserve(count);
  for (int number = 0; number < count; ++number) {
    channels.push_back(
        this->Open(this->peers[number % this->peers.size()]->address()));
  }
  std::uint64_t version = this->ApplyNext(*operator_channel);
  std::vector<Microseconds> to_last;
  std::vector<Microseconds> apply_times;
  for (int change = 0; change < this->IntOption("count"); ++change) {
    std::vector<BenchClock::time_point> reached(count);
    auto following = kj::heapArrayBuilder<kj::Promise<void>>(count);
    for (int number = 0; number < count; ++number) {
      following.add(this->FollowLoop(*channels[number], version, version + 1,
                                     reached[number])
                        .eagerlyEvaluate(nullptr));
    }
    const auto begin = BenchClock::now();
    const std::uint64_t accepted_version = this->ApplyNext(*operator_channel);
    const auto accepted = BenchClock::now();
    kj::joinPromises(following.finish()).wait(this->io.waitScope);
    const auto last = *std::max_element(reached.begin(), reached.end());
    apply_times.push_back(
        std::chrono::duration_cast<Microseconds>(accepted - begin));
    to_last.push_back(
        std::max(Microseconds(0),
                 std::chrono::duration_cast<Microseconds>(last - accepted)));
    version = accepted_version;
  }
  nlohmann::json line = {{"bench", "change_in_force"},
                         {"followers", count},
                         {"controllers", this->peers.size()},
                         {"changes", to_last.size()}};
  AddPercentiles(line, "apply", apply_times);
  AddPercentiles(line, "accepted_to_last", to_last);
  std::cout << line.dump() << std::endl;
}

// Measures the time and the bytes that a follower needs to catch up on a number
// of missed changes.
void Bench::MeasureCatchUp() {
  const auto operator_channel =
      this->Open(this->arguments["operators"].as<std::string>());
  const std::uint64_t missed_from = this->ApplyNext(*operator_channel);
  for (int change = 0; change < this->IntOption("count"); ++change) {
    this->ApplyNext(*operator_channel);
  }
  const auto begin = BenchClock::now();
  auto request = this->peers.front()->Get<wire::Peer>().followRequest();
  request.setHave(missed_from);
  request.setWaitMs(0);
  const auto response = request.send().wait(this->io.waitScope);
  std::cout << nlohmann::json{{"bench", "catch_up"},
                              {"missed_changes", this->IntOption("count")},
                              {"is_delta", response.getIsDelta()},
                              {"bytes", response.getView().size()},
                              {"ms", static_cast<double>(Since(begin).count()) /
                                         1'000}}
                   .dump()
            << std::endl;
}

// Commits a number of claims as fast as possible, to make the log long.
void Bench::FillLog() {
  constexpr int kLoops = 128;
  rpc::Channel& leader = this->FindLeader();
  int left = this->IntOption("count");
  std::vector<Microseconds> latencies;
  auto running = kj::heapArrayBuilder<kj::Promise<void>>(kLoops);
  for (int loop = 0; loop < kLoops; ++loop) {
    running.add(this->CommitLoop(leader, left, latencies));
  }
  kj::joinPromises(running.finish()).wait(this->io.waitScope);
}

// Measures the time of one small append with fdatasync on this disk.
void MeasureDisk(const std::string& folder) {
  constexpr int kWrites = 300;
  const std::string path = folder + "/bench-disk";
  const FileDescriptor file(
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600));
  const ScopeGuard remove([&path] { ::unlink(path.c_str()); });
  const std::string record(512, 'x');
  std::vector<Microseconds> times;
  for (int number = 0; number < kWrites; ++number) {
    const auto begin = BenchClock::now();
    VERIFY(::write(file.get(), record.data(), record.size()) ==
           static_cast<ssize_t>(record.size()));
    VERIFY(::fdatasync(file.get()) == 0);
    times.push_back(Since(begin));
  }
  nlohmann::json line = {
      {"bench", "disk"}, {"writes", kWrites}, {"bytes", record.size()}};
  AddPercentiles(line, "write_and_sync", times);
  std::cout << line.dump() << std::endl;
}

options::options_description DescribeOptions() {
  options::options_description description("Options");
  auto add = description.add_options();
  add("what", options::value<std::string>()->required(),
      "commit, gap, followers, catch-up, fill or disk");
  add("peers", options::value<std::string>(),
      "the controllers' peer addresses, by commas");
  add("operators", options::value<std::string>(), "one operators' door");
  add("count", options::value<int>()->default_value(1'000),
      "commits or changes");
  add("followers", options::value<int>()->default_value(9), "how many follow");
  add("seconds", options::value<int>()->default_value(5), "how long");
  add("label", options::value<std::string>()->default_value(""),
      "goes into the line");
  add("folder", options::value<std::string>()->default_value("."), "for disk");
  return description;
}

}  // namespace

int RunBench(int argument_count, char** argument_values) {
  options::variables_map arguments;
  options::positional_options_description positional;
  positional.add("what", 1);
  options::store(options::command_line_parser(argument_count, argument_values)
                     .options(DescribeOptions())
                     .positional(positional)
                     .run(),
                 arguments);
  options::notify(arguments);
  const std::string what = arguments["what"].as<std::string>();
  if (what == "disk") {
    MeasureDisk(arguments["folder"].as<std::string>());
    return EXIT_SUCCESS;
  }
  Bench bench(arguments);
  if (what == "commit") {
    bench.MeasureCommits();
  } else if (what == "gap") {
    bench.MeasureLongestGap();
  } else if (what == "followers") {
    bench.MeasureFollowers();
  } else if (what == "catch-up") {
    bench.MeasureCatchUp();
  } else if (what == "fill") {
    bench.FillLog();
  } else {
    std::cerr << DescribeOptions();
    return 2;
  }
  return EXIT_SUCCESS;
}

}  // namespace sumac::benchmarks

int main(int argument_count, char** argument_values) {
  try {
    return sumac::benchmarks::RunBench(argument_count, argument_values);
  } catch (const boost::program_options::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
