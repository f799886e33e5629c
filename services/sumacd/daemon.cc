// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/daemon.h"

#include <capnp/capability.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <signal.h>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/fleet/charts.h"
#include "libraries/http/metrics.h"
#include "libraries/log/json_log.h"
#include "libraries/log/library_messages.h"
#include "libraries/rpc/rpc_server.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/posix_disk.h"
#include "services/sumacd/build_info.h"
#include "services/sumacd/controller.h"
#include "services/sumacd/core_link.h"
#include "services/sumacd/entry.h"
#include "services/sumacd/http_listeners.h"
#include "services/sumacd/leader_link.h"
#include "services/sumacd/operator_service.h"
#include "services/sumacd/peer_service.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/unreadable_data.h"
#include "services/sumacd/view_follower.h"

namespace sumac::daemon {
namespace {

// The maximum numbers of connections of other processes, which keep one each,
// and of operators.
constexpr std::size_t kMaxPeerConnections = 256;
constexpr std::size_t kMaxOperatorConnections = 32;

constexpr std::uint64_t kFirstIncarnation = 1;
// The maximum time to wait for the hand-over during a planned stop.
constexpr Milliseconds kHandOverWait{1'500};
constexpr Milliseconds kHandOverPoll{10};

replication::NodeId FirstNodeOf(const ProcessName& process) {
  return replication::NodeId(StrCat(process.value(), ".", kFirstIncarnation));
}

// Runs one process: owns its parts, its listeners and its loops.
class Daemon {
 public:
  Daemon(const Settings& settings, kj::AsyncIoContext& io)
      : settings(settings), io(io) {}

  // Creates all parts and opens the listeners. After an error nothing listens.
  absl::Status Start();

  // Runs until the planned stop is complete.
  void Run();

  // Returns true once this process was asked to stop.
  bool is_asked_to_stop() const { return this->is_stopping; }

 private:
  absl::Status StartController();
  absl::Status CreateController();
  absl::Status ReplaceUnreadableData(const absl::Status& error);
  absl::Status Listen(const std::string& address,
                      std::size_t max_connections,
                      capnp::Capability::Client bootstrap);
  absl::Status OpenListeners();
  kj::Promise<void> AwaitSignal();
  void Stop();
  void HandOverBeforeStop();
  void AddGauges();

  const Settings& settings;
  kj::AsyncIoContext& io;
  std::atomic<bool> is_stopping = false;
  http::Metrics metrics;
  std::optional<fleet::Charts> charts;
  std::unique_ptr<Peers> peers;
  std::unique_ptr<Controller> controller;
  std::unique_ptr<LeaderLink> leader;
  std::unique_ptr<CoreLink> core;
  std::unique_ptr<Entry> entry;
  std::unique_ptr<ViewFollower> follower;
  std::vector<std::unique_ptr<rpc::RpcServer>> rpc_listeners;
  std::vector<kj::Promise<void>> background_loops;
  std::unique_ptr<http::HttpServer> caller_listener;
  std::unique_ptr<http::HttpServer> target_listener;
};

absl::Status Daemon::StartController() {
  if (!this->settings.has_role(ProcessRole::kController)) {
    return absl::OkStatus();
  }
  this->charts = TRY(fleet::Charts::Load(this->settings.charts_folder));
  storage::PosixDisk disk;
  if (!storage::DataFolder<storage::PosixDisk>::HasIdentity(
          disk, this->settings.data_folder)) {
    // NOTE: This disk is new or was lost. The votes and acknowledgements of the
    // process before are lost, so it must not use its old name again: it joins
    // as another replica.
    LogEvent(LogLevel::kWarning, "joins-with-empty-disk",
             {{"data_folder", this->settings.data_folder}});
    TRY(FormatForJoining(this->settings));
  }
  absl::Status created = this->CreateController();
  if (storage::IsUnreadable(created)) {
    TRY(this->ReplaceUnreadableData(created));
    created = this->CreateController();
  }
  TRY(created);
  this->background_loops.push_back(
      this->controller->Run().eagerlyEvaluate(nullptr));
  return absl::OkStatus();
}

absl::Status Daemon::CreateController() {
  this->controller =
      TRY(Controller::Create(this->settings, *this->charts, *this->peers,
                             this->io.provider->getTimer()));
  return absl::OkStatus();
}

// Replaces the data of this controller, which can't be read; see
// UnreadableData. Returns an error if this process was asked to stop before.
absl::Status Daemon::ReplaceUnreadableData(const absl::Status& error) {
  UnreadableData data(this->io.provider->getTimer(), *this->peers,
                      this->settings.process, this->settings.data_folder);
  std::optional<absl::Status> replaced;
  data.Replace(error)
      .then([&replaced](absl::Status&& status) { replaced = status; })
      .exclusiveJoin(this->AwaitSignal())
      .wait(this->io.waitScope);
  this->is_stopping = !replaced;
  return replaced.value_or(
      MakeError(ResultCode::kStopping, "stopped before the data was replaced"));
}

absl::Status Daemon::Listen(const std::string& address,
                            std::size_t max_connections,
                            capnp::Capability::Client bootstrap) {
  this->rpc_listeners.push_back(TRY(rpc::RpcServer::Create(
      this->io, address, kj::mv(bootstrap), max_connections)));
  return absl::OkStatus();
}

absl::Status Daemon::Start() {
  kj::Network& network = this->io.provider->getNetwork();
  kj::Timer& timer = this->io.provider->getTimer();
  this->peers = std::make_unique<Peers>(network, timer, this->settings);
  TRY(this->StartController());
  this->leader = std::make_unique<LeaderLink>(this->settings, *this->peers,
                                              timer, this->controller.get());
  this->core =
      std::make_unique<CoreLink>(kj::getCurrentThreadExecutor(), *this->leader);
  if (this->settings.has_role(ProcessRole::kEntry)) {
    this->entry =
        std::make_unique<Entry>(this->settings, *this->core, this->metrics);
    this->follower = std::make_unique<ViewFollower>(
        this->settings, *this->peers, timer, this->controller.get(),
        [this](const fleet::View& view, bool is_delta) {
          return this->entry->UpdateView(view, is_delta);
        });
    this->background_loops.push_back(
        this->follower->Run().eagerlyEvaluate(nullptr));
  }
  TRY(this->Listen(
      this->settings.self().peer_address, kMaxPeerConnections,
      kj::heap<PeerService>(this->controller.get(), this->entry.get(),
                            this->follower.get())));
  TRY(this->Listen(
      this->settings.listen.operators, kMaxOperatorConnections,
      kj::heap<OperatorService>(OperatorParts{
          this->settings, *this->peers, *this->leader, timer,
          this->controller.get(), this->entry.get(), this->follower.get()})));
  this->AddGauges();
  return this->OpenListeners();
}

absl::Status Daemon::OpenListeners() {
  this->target_listener = TRY(OpenTargetListener(
      this->settings, *this->core, this->metrics, this->is_stopping));
  if (this->entry) {
    this->caller_listener = TRY(
        OpenCallerListener(this->settings, *this->entry, this->is_stopping));
  }
  return absl::OkStatus();
}

void Daemon::AddGauges() {
  if (!this->entry) {
    return;
  }
  this->metrics.SetGauge("sumac_requests_open", [this] {
    return static_cast<double>(this->entry->CountOpen());
  });
  this->metrics.SetGauge("sumac_view_version", [this] {
    return static_cast<double>(this->follower->current_version());
  });
  this->metrics.SetGauge("sumac_view_age_ms", [this] {
    return static_cast<double>(this->follower->Age().count());
  });
}

kj::Promise<void> Daemon::AwaitSignal() {
  return this->io.unixEventPort.onSignal(SIGTERM)
      .exclusiveJoin(this->io.unixEventPort.onSignal(SIGINT))
      .ignoreResult();
}

void Daemon::Run() {
  LogEvent(LogLevel::kInfo, "started",
           {{"callers", this->settings.listen.callers},
            {"targets", this->settings.listen.targets},
            {"operators", this->settings.listen.operators},
            {"build", DescribeBuild()}});
  this->AwaitSignal().wait(this->io.waitScope);
  this->Stop();
}

// Carries out a planned stop: fails the health check so that the load balancer
// removes this process, hands leadership over, answers open requests, and only
// then returns.
void Daemon::Stop() {
  LogEvent(LogLevel::kInfo, "stopping", nlohmann::json::object());
  this->is_stopping = true;
  this->HandOverBeforeStop();
  kj::Timer& timer = this->io.provider->getTimer();
  timer.afterDelay(ToKj(this->settings.doors.stop_notice))
      .wait(this->io.waitScope);
  // The listeners' threads need the event loop to finish, so another thread
  // waits for them.
  auto stopped = kj::newPromiseAndFulfiller<void>();
  const kj::Executor& executor = kj::getCurrentThreadExecutor();
  std::thread stopper([this, &executor, &stopped] {
    if (this->caller_listener) {
      this->caller_listener->Stop();
    }
    this->target_listener->Stop();
    if (this->controller) {
      this->controller->StopThreads();
    }
    executor.executeSync([&stopped] { stopped.fulfiller->fulfill(); });
  });
  stopped.promise.wait(this->io.waitScope);
  stopper.join();
  LogEvent(LogLevel::kInfo, "stopped", nlohmann::json::object());
}

void Daemon::HandOverBeforeStop() {
  if (!this->controller || !this->controller->MayAct() ||
      !this->controller->HandOver().ok()) {
    return;
  }
  kj::Timer& timer = this->io.provider->getTimer();
  for (Milliseconds waited{0}; waited < kHandOverWait;
       waited += kHandOverPoll) {
    if (this->controller->replica().role() != replication::Role::kLeader) {
      return;
    }
    timer.afterDelay(ToKj(kHandOverPoll)).wait(this->io.waitScope);
  }
}

}  // namespace

absl::Status FormatDataFolder(const Settings& settings) {
  if (!settings.has_role(ProcessRole::kController)) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat(settings.process.value(),
                            " is no controller and keeps no data"));
  }
  storage::Identity identity{.node = FirstNodeOf(settings.process)};
  for (const ProcessSettings& controller : settings.Controllers()) {
    identity.first_voters.insert(FirstNodeOf(controller.name));
  }
  storage::PosixDisk disk;
  return storage::DataFolder<storage::PosixDisk>::Format(
      disk, settings.data_folder, identity);
}

absl::Status FormatForJoining(const Settings& settings) {
  // The wall clock is later than any earlier start of this process.
  const auto incarnation = SystemClock().Now().time_since_epoch().count();
  const storage::Identity identity{
      .node = replication::NodeId(
          StrCat(settings.process.value(), ".", incarnation))};
  storage::PosixDisk disk;
  return storage::DataFolder<storage::PosixDisk>::Format(
      disk, settings.data_folder, identity);
}

absl::Status RunDaemon(const Settings& settings) {
  StartLogging(settings.process, settings.log.file,
               ParseLogLevel(settings.log.level));
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  signal(SIGPIPE, SIG_IGN);
  const LibraryMessages library_messages;
  kj::AsyncIoContext io = kj::setupAsyncIo();
  Daemon daemon(settings, io);
  absl::Status status = daemon.Start();
  if (!status.ok()) {
    return daemon.is_asked_to_stop() ? absl::OkStatus() : status;
  }
  daemon.Run();
  return absl::OkStatus();
}

}  // namespace sumac::daemon
