// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/node_daemon.h"

#include <capnp/capability.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <signal.h>
#include <sys/stat.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/base/connection_budget.h"
#include "libraries/base/descriptor_shares.h"
#include "libraries/base/error.h"
#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_writer.h"
#include "libraries/http/async_http_server.h"
#include "libraries/http/metrics.h"
#include "libraries/log/json_log.h"
#include "libraries/log/library_messages.h"
#include "libraries/rpc/rpc_server.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/posix_disk.h"
#include "platform/advice_client.h"
#include "platform/instance_client.h"
#include "platform/request_handlers.h"
#include "platform/wire_codec.h"
#include "platform/worker_client.h"
#include "services/sumacd/build_info.h"
#include "services/sumacd/data_centre_orders.h"
#include "services/sumacd/job_controller.h"
#include "services/sumacd/jobs_link.h"
#include "services/sumacd/node_operator_service.h"
#include "services/sumacd/node_peer_service.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/unreadable_data.h"

namespace sumac::daemon {
namespace {

constexpr std::uint64_t kFirstIncarnation = 1;
// The interval at which the settings file is checked for changes.
constexpr Milliseconds kFileCheckInterval{500};
// An entry without a response from a leader for this long reports that it is
// not ready.
constexpr Milliseconds kLeaderContactTimeout{3'000};
// The interval at which an entry probes the leader.
constexpr Milliseconds kProbeInterval{1'000};
constexpr Milliseconds kProbeTimeout{900};
// How long the health check of a stopping entry fails before the entry stops:
// the load balancer removes an entry after two failed checks, one second apart.
constexpr Milliseconds kStopNotice{2'300};
// The maximum time to wait for the hand-over during a planned stop.
constexpr Milliseconds kHandOverWait{600};
constexpr Milliseconds kHandOverPoll{10};
// The maximum time for a stopping controller to answer its open requests.
constexpr Milliseconds kControllerDrain{1'000};
// The part of the stop grace period that remains when open requests are given
// up.
constexpr Milliseconds kStopReserve{500};
// The maximum number of events that the event loop processes between two polls
// of its timers and sockets, some milliseconds of a third of a core: heartbeats
// and responses that have arrived must not wait behind a burst of orders.
constexpr unsigned kMaxEventsBetweenPolls = 500;
constexpr std::uint64_t kMaxCallerBodyBytes = 256U << 10;
constexpr std::uint64_t kMaxControlBodyBytes = 4U << 20;

// Is 1 while the data of this controller can't be read.
constexpr const char* kUnreadableGauge = "sumac_is_data_unreadable";

replication::NodeId NodeOf(const ProcessName& process,
                           std::uint64_t incarnation) {
  return replication::NodeId(StrCat(process.value(), ".", incarnation));
}

// Creates the data folder of a controller that has none: for a new group at the
// first start of a seed, else for a replica that joins under a new name.
absl::Status FormatNodeFolder(const NodeSettings& settings) {
  const std::vector<ProcessName> seeds = settings.SeedProcesses();
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), settings.process()) != seeds.end();
  storage::PosixDisk disk;
  using Folder = storage::DataFolder<storage::PosixDisk>;
  const bool has_started_before =
      Folder::HoldsRemains(disk, settings.data_folder);
  storage::Identity identity;
  if (settings.is_first_start && is_seed && !has_started_before) {
    identity.node = NodeOf(settings.process(), kFirstIncarnation);
    for (const ProcessName& seed : seeds) {
      identity.first_voters.insert(NodeOf(seed, kFirstIncarnation));
    }
  } else {
    // NOTE: This disk is new or was lost. The votes and acknowledgements of the
    // process before are lost, so it must not use its old name again. The wall
    // clock is later than any earlier start of this process.
    const auto incarnation = SystemClock().Now().time_since_epoch().count();
    identity.node =
        NodeOf(settings.process(), static_cast<std::uint64_t>(incarnation));
  }
  LogEvent(LogLevel::kWarning, "starts-with-empty-disk",
           {{"node", identity.node.value()},
            {"is_first_voter", !identity.first_voters.empty()}});
  return Folder::Format(disk, settings.data_folder, identity);
}

// Runs one process: owns its parts, its listeners and its loops.
class NodeDaemon {
 public:
  NodeDaemon(NodeSettings initial,
             std::string path,
             DescriptorShares shares,
             kj::AsyncIoContext& io)
      : settings(std::move(initial)),
        path(std::move(path)),
        shares(shares),
        io(io),
        timer(io.provider->getTimer()),
        peers(io.provider->getNetwork(),
              this->timer,
              this->settings.SeedProcesses()),
        worker_connections(shares.outgoing),
        workers(io.provider->getNetwork(),
                this->timer,
                &this->worker_connections),
        instances(io.provider->getNetwork(),
                  this->timer,
                  this->settings.instances_door),
        advice(io.provider->getNetwork(),
               this->timer,
               this->settings.advice_door) {}

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
  kj::Promise<void> AwaitStopSignal();
  relay::OwnedWorkerCalls MakeRelayWorkers();
  absl::Status StartEntry();
  std::size_t EntryConnections() const;
  void AddConnectionMetrics(const std::string& kind,
                            const ConnectionBudget& connections);
  absl::Status OpenHttpListener(std::unique_ptr<http::AsyncHttpServer>& door,
                                http::AsyncServerSettings door_settings,
                                http::AsyncHttpServer::Handler handler);
  absl::Status OpenMetricsListener();
  absl::Status ServeMetrics(std::unique_ptr<http::AsyncHttpServer>& listener,
                            const http::Metrics& served);
  absl::Status ListenToPeers();
  absl::Status OpenRpcListener(const std::string& address,
                               std::size_t max_connections,
                               capnp::Capability::Client service);
  platform::AskLeader AskLeader();
  http::ServerReply ReplyToHealthCheck() const;
  bool IsReady() const;
  kj::Promise<void> ProbeLoop();
  kj::Promise<void> ReloadLoop();
  kj::Promise<void> SignalLoop();
  void Reload(const char* cause);
  void StopController();
  void StopEntry();
  void AwaitWithLimit(kj::Promise<void> done, Milliseconds limit);

  NodeSettings settings;
  std::string path;
  DescriptorShares shares;
  kj::AsyncIoContext& io;
  kj::Timer& timer;
  SystemClock clock;
  http::Metrics metrics;
  Peers peers;
  ConnectionBudget worker_connections;
  platform::WorkerClient workers;
  platform::InstanceClient instances;
  platform::AdviceClient advice;
  std::unique_ptr<JobController> controller;
  std::unique_ptr<JobsLink> link;
  std::optional<platform::CallerRequestHandler> caller_adapter;
  std::optional<DataCentreOrders> data_centre_orders;
  std::optional<platform::ControlRequestHandler> control_adapter;
  std::unique_ptr<http::AsyncHttpServer> control_listener;
  std::unique_ptr<http::AsyncHttpServer> caller_listener;
  std::unique_ptr<http::AsyncHttpServer> health_listener;
  std::unique_ptr<http::AsyncHttpServer> metrics_listener;
  std::vector<std::unique_ptr<rpc::RpcServer>> rpc_listeners;
  bool is_stopping = false;
  std::int64_t file_changed_at = 0;
  std::vector<kj::Promise<void>> background_loops;
};

platform::AskLeader NodeDaemon::AskLeader() {
  return [this](jobs::Request request, Milliseconds limit) {
    return this->link->Ask(std::move(request), limit);
  };
}

absl::Status NodeDaemon::Start() {
  LogEvent(LogLevel::kInfo, "descriptors-shared",
           {{"disk", this->shares.disk},
            {"peers", this->shares.peers},
            {"doors", this->shares.incoming},
            {"outgoing", this->shares.outgoing}});
  if (this->settings.is_controller()) {
    TRY(this->StartController());
  } else {
    TRY(this->StartEntry());
  }
  if (!this->settings.operators_door.empty()) {
    TRY(this->OpenRpcListener(
        this->settings.operators_door, this->shares.side_listener,
        kj::heap<NodeOperatorService>(
            this->settings, *this->link, this->controller.get(),
            this->data_centre_orders ? &*this->data_centre_orders : nullptr)));
  }
  if (!this->settings.metrics_door.empty()) {
    TRY(this->OpenMetricsListener());
  }
  this->background_loops.push_back(this->ReloadLoop().eagerlyEvaluate(nullptr));
  this->background_loops.push_back(this->SignalLoop().eagerlyEvaluate(nullptr));
  return absl::OkStatus();
}

absl::Status NodeDaemon::StartController() {
  storage::PosixDisk disk;
  if (!storage::DataFolder<storage::PosixDisk>::HasIdentity(
          disk, this->settings.data_folder)) {
    TRY(FormatNodeFolder(this->settings));
  }
  absl::Status created = this->CreateController();
  if (storage::IsUnreadable(created)) {
    TRY(this->ReplaceUnreadableData(created));
    created = this->CreateController();
  }
  TRY(created);
  this->link = std::make_unique<JobsLink>(this->settings.process(), this->peers,
                                          this->timer, this->controller.get());
  TRY(this->ListenToPeers());
  this->background_loops.push_back(
      this->controller->Run().eagerlyEvaluate(nullptr));
  this->data_centre_orders.emplace(this->AskLeader(),
                                   this->controller->suspension_watch());
  this->control_adapter.emplace(
      this->AskLeader(),
      [this](jobs::DataCentreOrder order, Milliseconds limit) {
        return this->data_centre_orders->Change(std::move(order), limit,
                                                this->clock.SteadyNow());
      },
      this->controller->state());
  return this->OpenHttpListener(
      this->control_listener,
      http::AsyncServerSettings{.address = this->settings.control_door,
                                .max_body_bytes = kMaxControlBodyBytes,
                                .max_connections = this->shares.incoming},
      [this](http::ServerRequest request) {
        return this->control_adapter->Handle(std::move(request));
      });
}

// Opens the data folder and creates the controller on it.
absl::Status NodeDaemon::CreateController() {
  scheduler::WorkerCalls calls = this->workers.Calls();
  calls.advise = [this](const scheduler::AdviceQuestion& question) {
    return this->advice.Ask(question);
  };
  this->controller = TRY(JobController::Create(
      this->settings, this->peers, *this->io.provider, this->metrics,
      platform::ParseDeclaration, std::move(calls),
      [this] { return this->MakeRelayWorkers(); },
      this->settings.instances_door.empty() ? maintenance::InstanceCalls()
                                            : this->instances.Calls()));
  return absl::OkStatus();
}

// Replaces the data of this controller, which can't be read; see
// UnreadableData. Meanwhile only the metrics are served: this process has no
// vote. Returns an error if it was asked to stop before.
absl::Status NodeDaemon::ReplaceUnreadableData(const absl::Status& error) {
  UnreadableData data(this->timer, this->peers, this->settings.process(),
                      this->settings.data_folder);
  http::Metrics waiting_metrics;
  waiting_metrics.SetGauge(kUnreadableGauge, [] { return 1.0; });
  std::unique_ptr<http::AsyncHttpServer> listener;
  if (!this->settings.metrics_door.empty()) {
    TRY(this->ServeMetrics(listener, waiting_metrics));
  }
  const kj::Promise<void> reloads = this->ReloadLoop().eagerlyEvaluate(nullptr);
  std::optional<absl::Status> replaced;
  data.Replace(error)
      .then([&replaced](absl::Status&& status) { replaced = status; })
      .exclusiveJoin(this->AwaitStopSignal())
      .wait(this->io.waitScope);
  this->is_stopping = !replaced;
  return replaced.value_or(
      MakeError(ResultCode::kStopping, "stopped before the data was replaced"));
}

// Creates the calls of a relay to workers. The connections close with the relay
// and share the budget of all connections to workers.
relay::OwnedWorkerCalls NodeDaemon::MakeRelayWorkers() {
  auto client = std::make_shared<platform::WorkerClient>(
      this->io.provider->getNetwork(), this->timer, &this->worker_connections);
  scheduler::WorkerCalls calls = client->Calls();
  return {std::move(client), std::move(calls)};
}

absl::Status NodeDaemon::StartEntry() {
  this->link = std::make_unique<JobsLink>(this->settings.process(), this->peers,
                                          this->timer, nullptr);
  this->caller_adapter.emplace(this->AskLeader(), this->metrics);
  this->background_loops.push_back(this->ProbeLoop().eagerlyEvaluate(nullptr));
  TRY(this->OpenHttpListener(
      this->caller_listener,
      http::AsyncServerSettings{
          .address = this->settings.caller_door,
          .max_body_bytes = kMaxCallerBodyBytes,
          .headers = platform::CallerRequestHandler::Headers(),
          .max_connections = this->EntryConnections()},
      [this](const http::ServerRequest& request) {
        return this->caller_adapter->Handle(request);
      }));
  return this->OpenHttpListener(
      this->health_listener,
      http::AsyncServerSettings{.address = this->settings.health_door,
                                .max_connections = this->shares.side_listener},
      [this](const http::ServerRequest& /*request*/)
          -> kj::Promise<http::ServerReply> {
        return this->ReplyToHealthCheck();
      });
}

// Returns the maximum number of callers' connections. An entry opens
// connections only to its peers, so its callers get the share of outgoing
// connections too.
std::size_t NodeDaemon::EntryConnections() const {
  return this->shares.incoming + this->shares.outgoing;
}

absl::Status NodeDaemon::OpenHttpListener(
    std::unique_ptr<http::AsyncHttpServer>& door,
    http::AsyncServerSettings door_settings,
    http::AsyncHttpServer::Handler handler) {
  const std::string address = door_settings.address;
  door = std::make_unique<http::AsyncHttpServer>(
      this->timer, std::move(door_settings), std::move(handler));
  try {
    door->Listen(this->io.provider->getNetwork()).wait(this->io.waitScope);
    return absl::OkStatus();
  } catch (const kj::Exception& error) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat("can't listen on ", address, ": ",
                            error.getDescription().cStr()));
  }
}

absl::Status NodeDaemon::ListenToPeers() {
  return this->OpenRpcListener(this->settings.process().value(),
                               this->shares.peers,
                               kj::heap<NodePeerService>(*this->controller));
}

absl::Status NodeDaemon::OpenRpcListener(const std::string& address,
                                         std::size_t max_connections,
                                         capnp::Capability::Client service) {
  this->rpc_listeners.push_back(TRY(rpc::RpcServer::Create(
      this->io, address, kj::mv(service), max_connections)));
  return absl::OkStatus();
}

// Adds metrics of the connections of one kind: open, maximum, closed for others
// and refused.
void NodeDaemon::AddConnectionMetrics(const std::string& kind,
                                      const ConnectionBudget& connections) {
  const std::string label = StrCat("{kind=\"", kind, "\"}");
  this->metrics.SetGauge(StrCat("sumac_connections", label), [&connections] {
    return static_cast<double>(connections.open());
  });
  this->metrics.SetGauge(
      StrCat("sumac_connections_most", label),
      [&connections] { return static_cast<double>(connections.max_open()); });
  this->metrics.SetCounter(
      StrCat("sumac_connections_closed_for_others_total", label),
      [&connections] { return static_cast<double>(connections.closed()); });
  this->metrics.SetCounter(
      StrCat("sumac_connections_refused_total", label),
      [&connections] { return static_cast<double>(connections.refused()); });
}

absl::Status NodeDaemon::OpenMetricsListener() {
  if (this->settings.is_controller()) {
    this->metrics.SetGauge(kUnreadableGauge, [] { return 0.0; });
    this->AddConnectionMetrics("workers", this->worker_connections);
    this->AddConnectionMetrics("control",
                               this->control_listener->connections());
  } else {
    this->AddConnectionMetrics("callers", this->caller_listener->connections());
  }
  return this->ServeMetrics(this->metrics_listener, this->metrics);
}

absl::Status NodeDaemon::ServeMetrics(
    std::unique_ptr<http::AsyncHttpServer>& listener,
    const http::Metrics& served) {
  return this->OpenHttpListener(
      listener,
      http::AsyncServerSettings{.address = this->settings.metrics_door,
                                .max_connections = this->shares.side_listener},
      [&served](const http::ServerRequest& /*request*/)
          -> kj::Promise<http::ServerReply> {
        return http::ServerReply{.body = served.ToText(),
                                 .content_type = "text/plain; version=0.0.4"};
      });
}

bool NodeDaemon::IsReady() const {
  return !this->is_stopping && !this->link->is_cut_off() &&
         this->clock.SteadyNow() - this->link->last_answer() <
             kLeaderContactTimeout;
}

http::ServerReply NodeDaemon::ReplyToHealthCheck() const {
  constexpr std::uint32_t kOk = 200;
  constexpr std::uint32_t kUnavailable = 503;
  return http::ServerReply{.status = this->IsReady() ? kOk : kUnavailable};
}

// Probes the leader at an interval while no other call has reached it, so that
// an entry without traffic knows whether it is ready.
kj::Promise<void> NodeDaemon::ProbeLoop() {
  const bool is_fresh =
      this->clock.SteadyNow() - this->link->last_answer() < kProbeInterval;
  kj::Promise<void> probed = kj::READY_NOW;
  if (!is_fresh) {
    probed = this->link->Ask(jobs::ShowWave{}, kProbeTimeout).ignoreResult();
  }
  return probed
      .then([this] { return this->timer.afterDelay(ToKj(kProbeInterval)); })
      .then([this] { return this->ProbeLoop(); });
}

kj::Promise<void> NodeDaemon::ReloadLoop() {
  FlushLog();
  struct stat info {};
  if (::stat(this->path.c_str(), &info) == 0) {
    constexpr std::int64_t kNanoseconds = 1'000'000'000;
    const std::int64_t changed_at =
        info.st_mtim.tv_sec * kNanoseconds + info.st_mtim.tv_nsec;
    const bool is_first = this->file_changed_at == 0;
    if (changed_at != std::exchange(this->file_changed_at, changed_at) &&
        !is_first) {
      this->Reload("file changed");
    }
  }
  return this->timer.afterDelay(ToKj(kFileCheckInterval)).then([this] {
    return this->ReloadLoop();
  });
}

kj::Promise<void> NodeDaemon::SignalLoop() {
  return this->io.unixEventPort.onSignal(SIGHUP).then([this](siginfo_t&&) {
    this->Reload("SIGHUP");
    return this->SignalLoop();
  });
}

// Reloads the settings file. Only the seeds are applied; all other settings
// need a restart.
void NodeDaemon::Reload(const char* cause) {
  const absl::StatusOr<NodeSettings> read = NodeSettings::Load(this->path);
  if (!read.ok()) {
    LogEvent(
        LogLevel::kError, "settings-not-reloaded",
        {{"cause", cause}, {"error", std::string(read.status().message())}});
    return;
  }
  this->settings.seeds = read->seeds;
  this->peers.SetSeeds(this->settings.SeedProcesses());
  LogEvent(LogLevel::kInfo, "settings-reloaded",
           {{"cause", cause}, {"seeds", ToJson(this->settings.seeds)}});
}

kj::Promise<void> NodeDaemon::AwaitStopSignal() {
  return this->io.unixEventPort.onSignal(SIGTERM)
      .exclusiveJoin(this->io.unixEventPort.onSignal(SIGINT))
      .ignoreResult();
}

void NodeDaemon::Run() {
  LogEvent(LogLevel::kInfo, "started",
           {{"process", this->settings.process().value()},
            {"role", NameOf(this->settings.role)},
            {"seeds", ToJson(this->settings.seeds)},
            {"build", DescribeBuild()}});
  this->AwaitStopSignal().wait(this->io.waitScope);
  LogEvent(LogLevel::kInfo, "stopping", nlohmann::json::object());
  this->is_stopping = true;
  if (this->settings.is_controller()) {
    this->StopController();
  } else {
    this->StopEntry();
  }
  LogEvent(LogLevel::kInfo, "stopped", nlohmann::json::object());
}

void NodeDaemon::AwaitWithLimit(kj::Promise<void> done, Milliseconds limit) {
  done.exclusiveJoin(this->timer.afterDelay(ToKj(limit)))
      .wait(this->io.waitScope);
}

// Hands leadership over to another controller first; then answers the open
// requests.
void NodeDaemon::StopController() {
  const ReplicaHost& host = this->controller->replica_host();
  if (host.replica().role() == replication::Role::kLeader &&
      this->controller->HandOver().ok()) {
    for (Milliseconds waited{0};
         waited < kHandOverWait &&
         host.replica().role() == replication::Role::kLeader;
         waited += kHandOverPoll) {
      this->timer.afterDelay(ToKj(kHandOverPoll)).wait(this->io.waitScope);
    }
  }
  this->AwaitWithLimit(this->control_listener->Drain(), kControllerDrain);
}

// Fails the health check first, so that the load balancer removes this entry.
// Clients on open connections are served until the listener is drained.
void NodeDaemon::StopEntry() {
  this->caller_listener->CloseAfterAnswers();
  this->timer.afterDelay(ToKj(kStopNotice)).wait(this->io.waitScope);
  const Milliseconds left =
      this->settings.platform_times.stop_grace - kStopNotice - kStopReserve;
  this->AwaitWithLimit(this->caller_listener->Drain(),
                       std::max(left, Milliseconds(0)));
}

}  // namespace

absl::Status RunNodeDaemon(const NodeSettings& settings,
                           const std::string& path) {
  StartLogging(ProcessName(settings.label), settings.log.file,
               ParseLogLevel(settings.log.level));
  const std::size_t descriptors =
      TRY(DescriptorLimit(settings.most_descriptors, AllowedDescriptors()));
  const DescriptorShares shares = TRY(ShareDescriptors(descriptors));
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) {
    kj::UnixEventPort::captureSignal(signal_number);
  }
  signal(SIGPIPE, SIG_IGN);
  const LibraryMessages library_messages;
  kj::AsyncIoContext io = kj::setupAsyncIo();
  io.waitScope.setBusyPollInterval(kMaxEventsBetweenPolls);
  NodeDaemon daemon(settings, path, shares, io);
  absl::Status status = daemon.Start();
  if (!status.ok()) {
    return daemon.is_asked_to_stop() ? absl::OkStatus() : status;
  }
  daemon.Run();
  return absl::OkStatus();
}

}  // namespace sumac::daemon
