// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/replica_host.h"

#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/jobs/jobs_state.h"
#include "services/sumacd/serve_replicate.h"
#include "tests/libraries/storage/switched_disk.h"
#include "tests/stand_ins/relay.h"

namespace sumac::daemon {
namespace {

using storage::SwitchedDisk;

constexpr const char* kFolder = "data";
constexpr std::size_t kVoters = 3;
constexpr kj::Duration kTick = 10 * kj::MILLISECONDS;
// Long compared to a hand-over on a busy computer, so that an election timeout
// and a hand-over can be told apart.
constexpr Milliseconds kElectionTimeout{2'000};
// The others notice a silent leader one heartbeat before the election timeout
// at the earliest.
constexpr Milliseconds kHandOverBound{1'200};
constexpr Milliseconds kMaxWait{10'000};

// Passes the messages of Peer.replicate calls to a host.
class ReplicateService final : public wire::Peer::Server {
 public:
  explicit ReplicateService(std::unique_ptr<ReplicaHost>& host) : host(host) {}

  kj::Promise<void> replicate(ReplicateContext context) override {
    return ServeReplicate(*this->host, context);
  }

 private:
  std::unique_ptr<ReplicaHost>& host;
};

// A replica with its disk, its state machine and its listener.
struct Member {
  std::string address;
  std::shared_ptr<SwitchedDisk> disk = std::make_shared<SwitchedDisk>();
  // True while its snapshots can't be read back.
  std::atomic<bool> garbles_snapshots = false;
  std::vector<std::string> applied;
  std::unique_ptr<Peers> peers;
  std::unique_ptr<ReplicaHost> host;
  kj::Own<kj::ConnectionReceiver> receiver;
  std::unique_ptr<capnp::TwoPartyServer> server;
  // The relay through which the other members connect.
  std::unique_ptr<stand_ins::Relay> path;
  kj::Promise<void> listening = nullptr;
  kj::Promise<void> ticking = nullptr;
};

// A group of voters on loopback, all in this process.
class ReplicaHostTest : public testing::Test {
 protected:
  ReplicaHostTest() {
    for (std::size_t number = 0; number < kVoters; ++number) {
      this->parts->members.push_back(std::make_unique<Member>());
      this->Listen(*this->parts->members.back());
    }
    for (const auto& member : this->parts->members) {
      this->Start(*member);
    }
  }
  // NOTE: kj's destructors may throw; a test's may not.
  ~ReplicaHostTest() noexcept override {}

  void Listen(Member& member) {
    auto address =
        this->network().parseAddress("127.0.0.1").wait(this->scope());
    member.receiver = address->listen();
    member.path = std::make_unique<stand_ins::Relay>(
        this->parts->io, StrCat("127.0.0.1:", member.receiver->getPort()));
    member.address = member.path->address();
    member.server = std::make_unique<capnp::TwoPartyServer>(
        kj::heap<ReplicateService>(member.host));
  }

  void Start(Member& member) {
    storage::Identity identity{.node = NodeOf(member)};
    std::vector<ProcessName> names;
    for (const auto& other : this->parts->members) {
      identity.first_voters.insert(NodeOf(*other));
      names.emplace_back(other->address);
    }
    using Folder = storage::DataFolder<SwitchedDisk>;
    ASSERT_TRUE(Folder::Format(*member.disk, kFolder, identity).ok());
    auto store = OpenReplicaStore(member.disk, kFolder);
    ASSERT_TRUE(store.ok()) << store.status();
    store->save_snapshot = [&member, save = store->save_snapshot](
                               const replication::Snapshot& snapshot) {
      return member.garbles_snapshots
                 ? MakeError(ResultCode::kStorageUnreadable, "garbled")
                 : save(snapshot);
    };
    member.peers = std::make_unique<Peers>(
        this->network(), this->parts->io.provider->getTimer(), names);
    ReplicaHostSettings settings{.process = ProcessName(member.address)};
    settings.group.election_timeout = kElectionTimeout;
    auto host = ReplicaHost::CreateWithStore(
        *std::move(store), settings, *member.peers,
        this->parts->io.provider->getTimer(), CallbacksOf(member));
    ASSERT_TRUE(host.ok()) << host.status();
    member.host = *std::move(host);
    member.listening =
        member.server->listen(*member.receiver).eagerlyEvaluate(nullptr);
    member.ticking = this->Tick(member).eagerlyEvaluate(nullptr);
  }

  static replication::NodeId NodeOf(const Member& member) {
    return replication::NodeId(StrCat(member.address, ".1"));
  }

  static ReplicaCallbacks CallbacksOf(Member& member) {
    return ReplicaCallbacks{
        .load_snapshot = [](const std::string&) { return absl::OkStatus(); },
        .check_snapshot = [](const std::string&) { return absl::OkStatus(); },
        .apply =
            [&member](const std::string& payload) {
              member.applied.push_back(payload);
              return fleet::Answer::Success("applied");
            },
        .after_pump = [] {},
        .begin_snapshot = [](LogIndex) {}};
  }

  kj::Promise<void> Tick(Member& member) {
    return this->parts->io.provider->getTimer().afterDelay(kTick).then(
        [this, &member] {
          member.host->Tick(this->clock.SteadyNow());
          return this->Tick(member);
        });
  }

  // Waits until `holds` returns true. Returns how long that took, or nothing if
  // it took longer than kMaxWait.
  std::optional<Milliseconds> Await(const std::function<bool()>& holds) {
    const SteadyTime began_at = this->clock.SteadyNow();
    while (!holds()) {
      if (this->clock.SteadyNow() - began_at > kMaxWait) {
        return std::nullopt;
      }
      this->parts->io.provider->getTimer()
          .afterDelay(1 * kj::MILLISECONDS)
          .wait(this->scope());
    }
    return this->clock.SteadyNow() - began_at;
  }

  // Waits for a member other than `other` that may act as the leader and
  // returns it; null if there is none within kMaxWait.
  Member* AwaitLeader(const Member* other = nullptr) {
    Member* leader = nullptr;
    this->Await([&] {
      for (const auto& member : this->parts->members) {
        if (member.get() != other && member->host->MayAct()) {
          leader = member.get();
        }
      }
      return leader != nullptr;
    });
    return leader;
  }

  // Returns true if the command was acknowledged.
  bool Propose(Member& member, const std::string& command) {
    return member.host->Propose(command).wait(this->scope()).is_ok();
  }

  // Proposes commands to whoever leads until one is acknowledged, and returns
  // it; empty if none is within kMaxWait. A leader may be deposed, or hand
  // over, at any time, and refuses what it is asked meanwhile. Adds the
  // commands that were not run according to their answers to `not_run`.
  std::string ProposeUntilAcknowledged(std::vector<std::string>& not_run) {
    std::string acknowledged;
    int attempts = 0;
    this->Await([&] {
      Member* leader = this->AwaitLeader();
      if (leader == nullptr) {
        return false;
      }
      const replication::Replica& replica = leader->host->replica();
      const Term term = replica.term();
      const std::string command = StrCat("c", attempts++);
      const fleet::Answer answer =
          leader->host->Propose(command).wait(this->scope());
      if (answer.is_ok()) {
        acknowledged = command;
        return true;
      }
      if (answer.code == ResultCode::kTimeout) {
        EXPECT_TRUE(replica.role() != replication::Role::kLeader ||
                    replica.term() > term)
            << answer.message;
      } else {
        EXPECT_TRUE(answer.code == ResultCode::kNotLeader ||
                    answer.code == ResultCode::kNoLeader)
            << answer.message;
        not_run.push_back(command);
      }
      return false;
    });
    RecordProperty("refused", attempts - 1);
    return acknowledged;
  }

  bool HaveAllAppliedTheSame() {
    const auto& members = this->parts->members;
    return std::all_of(members.begin(), members.end(), [&](const auto& member) {
      return member->applied == members.front()->applied;
    });
  }

  kj::Network& network() { return this->parts->io.provider->getNetwork(); }
  kj::WaitScope& scope() { return this->parts->io.waitScope; }

  struct Parts {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    std::vector<std::unique_ptr<Member>> members;
  };

  SystemClock clock;
  std::unique_ptr<Parts> parts = std::make_unique<Parts>();
};

// Guards against a leader with a full disk that falls silent, so that the
// others wait for their election timeout and the open proposals fail.
TEST_F(ReplicaHostTest, ALeaderWhoseDiskIsFullHandsOver) {
  Member* first = this->AwaitLeader();
  ASSERT_NE(first, nullptr);
  ASSERT_TRUE(this->Propose(*first, "a"));
  first->disk->is_full = true;
  const SteadyTime filled_at = this->clock.SteadyNow();
  std::optional<fleet::Answer> answer;
  auto open = first->host->Propose("b")
                  .then([&](const fleet::Answer& given) { answer = given; })
                  .eagerlyEvaluate(nullptr);
  Member* next = this->AwaitLeader(first);
  ASSERT_NE(next, nullptr);
  const Milliseconds took = this->clock.SteadyNow() - filled_at;
  RecordProperty("hand_over_ms", static_cast<int>(took.count()));
  EXPECT_LT(took, kHandOverBound);
  EXPECT_TRUE(first->host->is_disk_full());
  EXPECT_FALSE(first->host->MayAct());
  ASSERT_TRUE(this->Propose(*next, "c"));
  // The open proposal gets an answer before there is space again.
  ASSERT_TRUE(this->Await([&] { return answer.has_value(); }));
  first->disk->is_full = false;
  EXPECT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  EXPECT_FALSE(first->host->is_disk_full());
  const std::vector<std::string> whole{"a", "b", "c"};
  if (answer->is_ok()) {
    EXPECT_EQ(first->applied, whole);
  }
  EXPECT_EQ(next->applied.front(), "a");
  EXPECT_EQ(next->applied.back(), "c");
}

TEST_F(ReplicaHostTest, AVoterWhoseDiskIsFullCatchesUpOnceThereIsRoom) {
  Member* leader = this->AwaitLeader();
  ASSERT_NE(leader, nullptr);
  Member* voter = this->parts->members.front().get() == leader
                      ? this->parts->members.back().get()
                      : this->parts->members.front().get();
  voter->disk->is_full = true;
  for (const char* command : {"a", "b", "c"}) {
    EXPECT_TRUE(this->Propose(*leader, command));
  }
  EXPECT_TRUE(this->Await([&] { return voter->host->is_disk_full(); }));
  EXPECT_TRUE(leader->host->MayAct());
  voter->disk->is_full = false;
  EXPECT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  EXPECT_FALSE(voter->host->is_disk_full());
  EXPECT_EQ(voter->applied, (std::vector<std::string>{"a", "b", "c"}));
}

// Guards against a controller that exits because it could not open a snapshot
// file ("snapshot ...: open: Too many open files [4002]") while its log could
// still be written. The shortage is temporary: the next snapshot is stored.
TEST_F(ReplicaHostTest, ASnapshotWithoutADescriptorIsNoReasonToEnd) {
  Member* leader = this->AwaitLeader();
  ASSERT_NE(leader, nullptr);
  leader->disk->is_out_of_descriptors = true;
  ASSERT_TRUE(this->Propose(*leader, "a"));
  leader->host->FinishSnapshot(leader->host->applied_index(), "state");
  ASSERT_TRUE(this->Propose(*leader, "b"));
  leader->disk->is_out_of_descriptors = false;
  ASSERT_TRUE(this->Propose(*leader, "c"));
  leader->host->FinishSnapshot(leader->host->applied_index(), "state");
  ASSERT_TRUE(this->Propose(*leader, "d"));
  EXPECT_TRUE(leader->host->MayAct());
}

// Guards against a controller that ends, or drops its log, since a snapshot of
// its own can't be read back.
TEST_F(ReplicaHostTest, TheLogGoesOnWithoutASnapshotThatCannotBeReadBack) {
  Member* leader = this->AwaitLeader();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(this->Propose(*leader, "a"));
  leader->host->FinishSnapshot(
      leader->host->applied_index(),
      MakeError(ResultCode::kStorageUnreadable, "no such name"));
  EXPECT_EQ(leader->host->unreadable_snapshots(), 1U);
  leader->garbles_snapshots = true;
  ASSERT_TRUE(this->Propose(*leader, "b"));
  leader->host->FinishSnapshot(leader->host->applied_index(), "state");
  ASSERT_TRUE(
      this->Await([&] { return leader->host->unreadable_snapshots() == 2U; }));
  EXPECT_EQ(leader->host->replica().snapshot_index(), LogIndex(0));
  leader->garbles_snapshots = false;
  ASSERT_TRUE(this->Propose(*leader, "c"));
  const LogIndex applied = leader->host->applied_index();
  leader->host->FinishSnapshot(applied, "state");
  EXPECT_TRUE(this->Await(
      [&] { return leader->host->replica().snapshot_index() == applied; }));
  EXPECT_TRUE(leader->host->MayAct());
}

// While all disks are full nothing is acknowledged. Once there is space again
// commands are committed, and what was acknowledged survives a loss of power of
// the whole group. The silence of the full disks is as long as an election
// timeout, so a voter may stand for election while the leader goes on.
TEST_F(ReplicaHostTest, WithoutRoomAnywhereNothingAcknowledgedIsLost) {
  Member* leader = this->AwaitLeader();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(this->Propose(*leader, "a"));
  for (const auto& member : this->parts->members) {
    member->disk->is_full = true;
  }
  bool is_acknowledged = false;
  auto open = leader->host->Propose("b")
                  .then([&](const fleet::Answer& answer) {
                    is_acknowledged = answer.is_ok();
                  })
                  .eagerlyEvaluate(nullptr);
  this->parts->io.provider->getTimer()
      .afterDelay(ToKj(kElectionTimeout))
      .wait(this->scope());
  EXPECT_FALSE(is_acknowledged);
  for (const auto& member : this->parts->members) {
    EXPECT_FALSE(member->host->MayAct());
    member->disk->is_full = false;
  }
  std::vector<std::string> not_run;
  const std::string acknowledged = this->ProposeUntilAcknowledged(not_run);
  ASSERT_NE(acknowledged, "");
  EXPECT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  std::vector<std::shared_ptr<SwitchedDisk>> disks;
  for (const auto& member : this->parts->members) {
    disks.push_back(member->disk);
    for (const std::string& command : not_run) {
      EXPECT_EQ(
          std::count(member->applied.begin(), member->applied.end(), command),
          0);
    }
  }
  open = nullptr;
  this->parts.reset();
  std::size_t holders = 0;
  for (const auto& disk : disks) {
    disk->inner.Crash();
    auto store = OpenReplicaStore(disk, kFolder);
    ASSERT_TRUE(store.ok()) << store.status();
    const auto& entries = store->start.entries;
    const auto holds = [&](const std::string& command) {
      return std::any_of(
          entries.begin(), entries.end(),
          [&](const auto& entry) { return entry.payload == command; });
    };
    holders += static_cast<std::size_t>(holds("a") && holds(acknowledged));
  }
  EXPECT_GT(holders, kVoters / 2);
}

// Returns the entry of an operator's order about a data centre.
std::string EncodeOrder(const char* name,
                        jobs::DataCentreUse use,
                        std::uint64_t version) {
  return ToCbor(jobs::StampedCommand{
      WallTime{}, jobs::ChangeDataCentre{.data_centre = DataCentre(name),
                                         .use = use,
                                         .expected_version = version}});
}

jobs::JobsState EmptyState() {
  return jobs::JobsState(
      [](std::string_view) { return jobs::JobsDeclaration(); });
}

void ApplyAll(jobs::JobsState& state, const std::vector<std::string>& entries) {
  for (const std::string& entry : entries) {
    const auto command = FromCbor<jobs::StampedCommand>(entry, "log");
    if (command.ok()) {
      state.Apply(*command);
    }
  }
}

// One evacuation is in the snapshot of one member, another one is only in the
// logs, and a third one was withdrawn.
TEST_F(ReplicaHostTest, AnEvacuationSurvivesALossOfPowerOfAll) {
  using enum jobs::DataCentreUse;
  Member* leader = this->AwaitLeader();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(this->Propose(*leader, EncodeOrder("dc-a", kEvacuated, 0)));
  ASSERT_TRUE(this->Propose(*leader, EncodeOrder("dc-c", kEvacuated, 0)));
  // A member that lags behind the snapshot would get it instead of the entries.
  ASSERT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  jobs::JobsState snapshot = EmptyState();
  ApplyAll(snapshot, leader->applied);
  leader->host->FinishSnapshot(leader->host->applied_index(),
                               ToCbor(snapshot.record()));
  ASSERT_TRUE(this->Propose(*leader, EncodeOrder("dc-b", kEvacuated, 0)));
  ASSERT_TRUE(this->Propose(*leader, EncodeOrder("dc-c", kInUse, 1)));
  ASSERT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  std::vector<std::shared_ptr<SwitchedDisk>> disks;
  for (const auto& member : this->parts->members) {
    disks.push_back(member->disk);
  }
  this->parts.reset();
  std::size_t snapshots = 0;
  for (const auto& disk : disks) {
    disk->inner.Crash();
    auto store = OpenReplicaStore(disk, kFolder);
    ASSERT_TRUE(store.ok()) << store.status();
    jobs::JobsState state = EmptyState();
    const replication::Snapshot& stored = store->start.snapshot;
    if (!stored.state.empty()) {
      ++snapshots;
      ASSERT_TRUE(state.Load(stored.state).ok());
    }
    std::vector<std::string> entries;
    for (const replication::Entry& entry : store->start.entries) {
      entries.push_back(entry.payload);
    }
    ApplyAll(state, entries);
    EXPECT_EQ(state.evacuated_data_centres(),
              (std::set<DataCentre>{DataCentre("dc-a"), DataCentre("dc-b")}));
    EXPECT_EQ(state.FindDataCentre(DataCentre("dc-c")).version, 2U);
  }
  EXPECT_EQ(snapshots, 1U);
}

// All connections fall silent at once and only new ones work. The group detects
// this by its own timeouts, each pair opens one new connection, and nothing
// acknowledged is lost.
TEST_F(ReplicaHostTest, AGroupWhoseConnectionsFallSilentDecidesAgain) {
  Member* leader = this->AwaitLeader();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(this->Propose(*leader, "a"));
  ASSERT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  std::size_t opened = 0;
  for (const auto& member : this->parts->members) {
    opened += member->path->accepted();
    member->path->SilenceOpen();
  }
  const SteadyTime silent_from = this->clock.SteadyNow();
  bool is_decided = false;
  while (!is_decided && this->clock.SteadyNow() - silent_from < kMaxWait) {
    Member* next = this->AwaitLeader();
    is_decided = next != nullptr && this->Propose(*next, "b");
  }
  const Milliseconds took = this->clock.SteadyNow() - silent_from;
  RecordProperty("decides_again_ms", static_cast<int>(took.count()));
  ASSERT_TRUE(is_decided);
  EXPECT_TRUE(this->Await([&] { return this->HaveAllAppliedTheSame(); }));
  EXPECT_EQ(this->parts->members.front()->applied.front(), "a");
  std::size_t opened_again = 0;
  for (const auto& member : this->parts->members) {
    opened_again += member->path->accepted();
  }
  RecordProperty("connections_before", static_cast<int>(opened));
  RecordProperty("connections_after", static_cast<int>(opened_again - opened));
  EXPECT_LE(opened_again - opened, kVoters * (kVoters - 1));
}

}  // namespace
}  // namespace sumac::daemon
