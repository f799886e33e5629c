// SPDX-License-Identifier: Apache-2.0
#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <sstream>

namespace sumac::review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kBegan = Clock::now();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char one) { return std::tolower(one); });
  return text;
}

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns false if the connection ends or the time is over first.
bool ReadMore(int connection, std::string& text, Milliseconds left) {
  pollfd state{.fd = connection, .events = POLLIN, .revents = 0};
  if (left <= Milliseconds(0) ||
      ::poll(&state, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  std::array<char, 65'536> piece;
  const ssize_t size = ::recv(connection, piece.data(), piece.size(), 0);
  if (size <= 0) {
    return false;
  }
  text.append(piece.data(), static_cast<std::size_t>(size));
  return true;
}

bool WriteAll(int connection, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = ::send(connection, text.data() + sent,
                                text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Reads one message and leaves what follows it in `text`.
std::optional<Message> ReadMessage(int connection,
                                   std::string& text,
                                   Milliseconds deadline) {
  std::size_t head = std::string::npos;
  while ((head = text.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(connection, text, deadline - Elapsed())) {
      return std::nullopt;
    }
  }
  Message message;
  std::istringstream lines(text.substr(0, head));
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  std::size_t length = 0;
  const auto declared = message.headers.find("content-length");
  if (declared != message.headers.end()) {
    length = std::strtoul(declared->second.c_str(), nullptr, 10);
  }
  constexpr std::size_t kHeadEnd = 4;
  while (text.size() < head + kHeadEnd + length) {
    if (!ReadMore(connection, text, deadline - Elapsed())) {
      return std::nullopt;
    }
  }
  message.body = text.substr(head + kHeadEnd, length);
  text.erase(0, head + kHeadEnd + length);
  return message;
}

}  // namespace

Milliseconds Elapsed() {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - kBegan);
}

void Sleep(Milliseconds time) {
  std::this_thread::sleep_for(time);
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->file << std::setw(7) << Elapsed().count() << " ms  " << line
             << std::endl;
}

HttpServer::HttpServer(const std::string& ip, int port, Handler handler)
    : handler(std::move(handler)) {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(ip, port);
  constexpr int kBacklog = 128;
  if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(this->listener, kBacklog) != 0) {
    throw std::runtime_error("can't listen on " + ip);
  }
  this->threads.emplace_back([this] { this->AcceptLoop(); });
}

HttpServer::~HttpServer() {
  this->is_stopping = true;
  ::shutdown(this->listener, SHUT_RDWR);
  {
    const std::lock_guard lock(this->mutex);
    for (const int connection : this->connections) {
      ::shutdown(connection, SHUT_RDWR);
    }
  }
  this->threads.front().join();
  for (std::size_t number = 1; number < this->threads.size(); ++number) {
    this->threads[number].join();
  }
  ::close(this->listener);
}

void HttpServer::AcceptLoop() {
  while (!this->is_stopping) {
    const int connection =
        ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(this->mutex);
    this->connections.insert(connection);
    this->threads.emplace_back([this, connection] { this->Serve(connection); });
  }
}

void HttpServer::Serve(int connection) {
  constexpr Milliseconds kIdleTime{120'000};
  std::string text;
  while (!this->is_stopping) {
    const auto message = ReadMessage(connection, text, Elapsed() + kIdleTime);
    if (!message) {
      break;
    }
    HttpRequest request{.headers = message->headers, .body = message->body};
    std::istringstream(message->first_line) >> request.method >> request.path;
    const HttpReply reply = this->handler(request);
    if (reply.status == 0 || this->is_stopping) {
      break;
    }
    std::ostringstream answer;
    answer << "HTTP/1.1 " << reply.status
           << " x\r\nContent-Type: application/json\r\nContent-Length: "
           << reply.body.size() << "\r\n\r\n"
           << reply.body;
    if (!WriteAll(connection, answer.str())) {
      break;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->connections.erase(connection);
  ::close(connection);
}

std::optional<HttpReply> Call(
    const std::string& address,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    Milliseconds limit,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  const Milliseconds deadline = Elapsed() + limit;
  const std::size_t colon = address.rfind(':');
  const sockaddr_in target = SocketAddress(
      address.substr(0, colon), std::atoi(address.substr(colon + 1).c_str()));
  const int connection =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  std::optional<HttpReply> reply;
  // The outcome shows once the socket can be written.
  static_cast<void>(::connect(
      connection, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
  pollfd state{.fd = connection, .events = POLLOUT, .revents = 0};
  int error = 0;
  socklen_t size = sizeof(error);
  const bool is_open =
      ::poll(&state, 1, static_cast<int>(limit.count())) > 0 &&
      ::getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0;
  if (is_open) {
    ::fcntl(connection, F_SETFL, ::fcntl(connection, F_GETFL) & ~O_NONBLOCK);
    std::ostringstream request;
    request << method << " " << path << " HTTP/1.1\r\n";
    bool has_host = false;
    for (const auto& [name, value] : headers) {
      request << name << ": " << value << "\r\n";
      has_host = has_host || name == "Host";
    }
    if (!has_host) {
      request << "Host: " << address << "\r\n";
    }
    if (!body.empty()) {
      request << "Content-Type: application/json\r\n";
    }
    request << "Connection: close\r\nContent-Length: " << body.size()
            << "\r\n\r\n"
            << body;
    std::string text;
    if (WriteAll(connection, request.str())) {
      if (const auto message = ReadMessage(connection, text, deadline)) {
        std::string version;
        reply.emplace();
        std::istringstream(message->first_line) >> version >> reply->status;
        reply->body = message->body;
      }
    }
  }
  ::close(connection);
  return reply;
}

Minion::Minion(Settings settings, Record& record, OnStart on_start)
    : settings(std::move(settings)),
      record(record),
      on_start(std::move(on_start)) {}

std::string Minion::id() {
  const std::lock_guard lock(this->mutex);
  return this->own_id;
}

std::set<std::string> Minion::RunningTasks() {
  const std::lock_guard lock(this->mutex);
  this->Settle();
  std::set<std::string> tasks;
  for (const auto& [task, run] : this->running) {
    tasks.insert(task);
  }
  return tasks;
}

void Minion::Start() {
  {
    const std::lock_guard lock(this->mutex);
    ++this->life;
    this->own_id =
        "i-" + this->settings.machine + "-" + std::to_string(this->life);
    this->sequence = 0;
    this->fence = 0;
    this->lease_end_ms = 0;
    this->running.clear();
    this->settled_runs.clear();
    this->ends.clear();
    this->last_end = 0;
  }
  this->is_alive = true;
  this->record.Add("minion " + this->own_id + " begins at " +
                   this->settings.ip + ":" +
                   std::to_string(this->settings.port));
  this->server = std::make_unique<HttpServer>(
      this->settings.ip, this->settings.port,
      [this](const HttpRequest& request) { return this->Handle(request); });
  this->check_in = std::thread([this] { this->CheckInLoop(); });
}

void Minion::Crash() {
  if (!this->is_alive.exchange(false)) {
    return;
  }
  this->record.Add("minion " + this->own_id + " crashes");
  this->changed.notify_all();
  this->server.reset();
  this->check_in.join();
}

std::int64_t Minion::ClockMs() const {
  constexpr std::int64_t kOffset = 100'000;
  return Elapsed().count() + kOffset;
}

void Minion::CheckInLoop() {
  std::size_t control = 0;
  while (this->is_alive) {
    Json body;
    {
      const std::lock_guard lock(this->mutex);
      body = {{"service", this->settings.service},
              {"address",
               this->settings.ip + ":" + std::to_string(this->settings.port)},
              {"zone", this->settings.zone},
              {"machine", this->settings.machine},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"capacity",
               {{"cpu", this->settings.millicores},
                {"mem_mb", 262'144},
                {"gpu", 0}}},
              {"labels", this->settings.labels},
              {"clock_ms", this->ClockMs()},
              {"seq", ++this->sequence}};
    }
    constexpr Milliseconds kLimit{1'000};
    const auto reply =
        Call(this->settings.controls[control % this->settings.controls.size()],
             "PUT", "/instances/" + this->own_id, body.dump(), kLimit);
    const bool is_taken = reply && reply->status == 200;
    if (!is_taken) {
      ++control;
    }
    const Milliseconds pause =
        is_taken ? this->bounds.heartbeat : Milliseconds(50);
    std::unique_lock lock(this->mutex);
    const Milliseconds until = Elapsed() + pause;
    while (this->is_alive && Elapsed() < until) {
      this->changed.wait_for(lock, until - Elapsed());
    }
  }
}

HttpReply Minion::Refuse(const std::string& reason) const {
  return {409,
          Json({{"clock_ms", this->ClockMs()}, {"reason", reason}}).dump()};
}

void Minion::AddEnd(const std::string& task,
                    std::uint64_t run,
                    std::string how) {
  this->record.Add("minion " + this->own_id + " ends " + task + " run " +
                   std::to_string(run) + ": " + how);
  std::uint64_t& settled = this->settled_runs[task];
  settled = std::max(settled, run);
  this->failed += static_cast<int>(how == "failed");
  this->ends.push_back({++this->last_end, task, run, std::move(how)});
  this->changed.notify_all();
}

void Minion::Settle() {
  const Milliseconds now = Elapsed();
  const bool has_lapsed = this->ClockMs() >= this->lease_end_ms;
  for (auto item = this->running.begin(); item != this->running.end();) {
    const Run& run = item->second;
    const bool is_done = run.ends && now >= *run.ends;
    const bool is_stopped = run.stops && now >= *run.stops;
    if (is_done || is_stopped || has_lapsed) {
      this->AddEnd(item->first, run.number,
                   is_done      ? (run.is_failing ? "failed" : "done")
                   : is_stopped ? "stopped"
                                : "lapsed");
      item = this->running.erase(item);
    } else {
      ++item;
    }
  }
}

Json Minion::ReportBody() const {
  constexpr std::int64_t kAtWork = 100;
  Json body = {{"clock_ms", this->ClockMs()},
               {"running", Json::array()},
               {"ended", Json::array()}};
  for (const auto& [task, run] : this->running) {
    const std::int64_t percent =
        run.ends
            ? (Elapsed() - run.began).count() * kAtWork /
                  std::max<std::int64_t>((*run.ends - run.began).count(), 1)
            : kAtWork;
    body["running"].push_back({task, run.number, "",
                               std::min(percent, kAtWork - (run.ends ? 1 : 0)),
                               0});
  }
  for (const End& end : this->ends) {
    body["ended"].push_back({end.number, end.task, end.run, end.how, ""});
  }
  return body;
}

HttpReply Minion::HandleStart(const Json& body) {
  const std::string task = body.at("task");
  const std::uint64_t number = body.at("run");
  const std::int64_t until = body.at("until_ms");
  const std::int64_t longest =
      this->ClockMs() + this->bounds.longest_hold.count();
  if (until <= this->ClockMs()) {
    return this->Refuse("late");
  }
  this->lease_end_ms = std::max(this->lease_end_ms, std::min(until, longest));
  const auto settled = this->settled_runs.find(task);
  if (settled != this->settled_runs.end() && number <= settled->second) {
    return this->Refuse("old");
  }
  const auto present = this->running.find(task);
  if (present != this->running.end()) {
    return present->second.number >= number
               ? HttpReply{200, Json({{"clock_ms", this->ClockMs()}}).dump()}
               : this->Refuse("room");
  }
  const std::string spec = body.value("spec", "");
  Run run{.number = number, .began = Elapsed()};
  if (spec == "failing") {
    constexpr Milliseconds kFailTime{50};
    run.ends = run.began + kFailTime;
    run.is_failing = true;
  } else if (spec != "lasting") {
    run.ends = run.began + Milliseconds(std::atoi(spec.c_str()));
  }
  this->running.emplace(task, run);
  this->record.Add("minion " + this->own_id + " starts " + task + " run " +
                   std::to_string(number));
  if (this->on_start) {
    this->on_start(task);
  }
  return {200, Json({{"clock_ms", this->ClockMs()}}).dump()};
}

HttpReply Minion::HandleStop(const Json& body) {
  const std::string task = body.at("task");
  const std::uint64_t number = body.at("run");
  std::uint64_t& settled = this->settled_runs[task];
  settled = std::max(settled, number);
  const auto present = this->running.find(task);
  if (present != this->running.end() && present->second.number <= number &&
      !present->second.stops) {
    present->second.stops = Elapsed() + this->bounds.stop_time / 2;
  }
  return {200, Json({{"clock_ms", this->ClockMs()}}).dump()};
}

HttpReply Minion::HandleHold(const Json& body,
                             std::unique_lock<std::mutex>& lock) {
  const std::uint64_t acknowledged = body.value("acked_upto", 0);
  std::erase_if(this->ends, [acknowledged](const End& end) {
    return end.number <= acknowledged;
  });
  if (body.contains("until_ms")) {
    const std::int64_t longest =
        this->ClockMs() + this->bounds.longest_hold.count();
    this->lease_end_ms =
        std::max(this->lease_end_ms,
                 std::min(body["until_ms"].get<std::int64_t>(), longest));
  }
  const Milliseconds until = Elapsed() + Milliseconds(body.value("wait_ms", 0));
  constexpr Milliseconds kStep{5};
  this->Settle();
  while (this->is_alive && this->ends.empty() && Elapsed() < until) {
    this->changed.wait_for(lock, kStep);
    this->Settle();
  }
  return {200, this->ReportBody().dump()};
}

HttpReply Minion::Handle(const HttpRequest& request) {
  std::unique_lock lock(this->mutex);
  if (!this->is_alive) {
    return {0, ""};
  }
  const auto expected = request.headers.find("sumacstack-expected-instance");
  if (expected != request.headers.end() && expected->second != this->own_id) {
    return {421, ""};
  }
  if (request.method == "GET") {
    return {200, "{}"};
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return {400, ""};
  }
  this->Settle();
  const std::uint64_t token = body.value("fence_token", 0);
  if (token < this->fence) {
    return this->Refuse("fence");
  }
  this->fence = token;
  if (request.path == "/run-start") {
    return this->HandleStart(body);
  }
  if (request.path == "/run-stop") {
    return this->HandleStop(body);
  }
  if (request.path == "/hold") {
    return this->HandleHold(body, lock);
  }
  return {200, Json({{"clock_ms", this->ClockMs()}}).dump()};
}

Platform::Platform(const std::string& ip, int port)
    : server(ip, port, [this](const HttpRequest& request) {
        return this->Handle(request);
      }) {}

void Platform::Show(const Minion& minion, const std::string& id, bool is_up) {
  const Minion::Settings& about = minion.description();
  const std::lock_guard lock(this->mutex);
  this->rows[about.machine] = {
      {"machine", about.machine},
      {"pool", about.service},
      {"state", is_up ? "up" : "down"},
      {"zone", about.zone},
      {"labels", about.labels},
      {"capacity",
       {{"cpu", about.millicores}, {"mem_mb", 262'144}, {"gpu", 0}}},
      {"id", is_up ? Json(id) : Json(nullptr)}};
}

void Platform::TakeUpkeeps(
    std::function<void(const std::string& machine)> callback) {
  const std::lock_guard lock(this->mutex);
  this->on_upkeep = std::move(callback);
}

HttpReply Platform::HandleUpkeep(const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string machine = body.at("machine");
  const std::uint64_t token = std::strtoull(
      request.headers.at("sumacstack-fencing-token").c_str(), nullptr, 10);
  {
    const std::lock_guard lock(this->mutex);
    std::uint64_t& highest = this->tokens[machine];
    if (token < highest) {
      return {409, R"({"reason":"fence"})"};
    }
    highest = token;
    Json& row = this->rows[machine];
    if (row["state"] != "up") {
      return row["state"] == "upkeep" ? HttpReply{200, "{}"}
                                      : HttpReply{409, R"({"reason":"busy"})"};
    }
    row["state"] = "upkeep";
    row["id"] = nullptr;
  }
  this->on_upkeep(machine);
  return {200, "{}"};
}

HttpReply Platform::Handle(const HttpRequest& request) {
  if (request.path == "/machine-upkeep" && this->on_upkeep) {
    return this->HandleUpkeep(request);
  }
  if (request.method != "GET" || !request.path.starts_with("/machines")) {
    return {409, R"({"reason":"busy"})"};
  }
  const std::lock_guard lock(this->mutex);
  Json body = {{"machines", Json::array()}, {"next_token", ""}};
  for (const auto& [name, row] : this->rows) {
    body["machines"].push_back(row);
  }
  return {200, body.dump()};
}

Deployment::Deployment(std::string repository,
                       std::string folder,
                       std::string network,
                       int controllers,
                       int entries)
    : repository(std::move(repository)),
      folder(std::move(folder)),
      network(std::move(network)) {
  for (int number = 1; number <= controllers; ++number) {
    this->nodes.push_back({"c" + std::to_string(number), "controller",
                           this->network + "." + std::to_string(number)});
  }
  constexpr int kFirstEntry = 20;
  for (int number = 1; number <= entries; ++number) {
    this->nodes.push_back(
        {"n" + std::to_string(number), "entry",
         this->network + "." + std::to_string(kFirstEntry + number)});
  }
}

Deployment::~Deployment() {
  for (const Node& node : this->nodes) {
    if (node.process != 0) {
      ::kill(node.process, SIGCONT);
      ::kill(node.process, SIGKILL);
    }
  }
  for (const Node& node : this->nodes) {
    if (node.process != 0) {
      ::waitpid(node.process, nullptr, 0);
    }
  }
}

Deployment::Node& Deployment::Find(const std::string& name) {
  return *std::find_if(this->nodes.begin(), this->nodes.end(),
                       [&](const Node& node) { return node.name == name; });
}

const Deployment::Node& Deployment::Find(const std::string& name) const {
  return *std::find_if(this->nodes.begin(), this->nodes.end(),
                       [&](const Node& node) { return node.name == name; });
}

// The same keys as the templates of the deploy file.
void Deployment::WriteSettings(const Node& node, bool is_first_start) const {
  Json seeds = Json::array();
  constexpr std::size_t kMostSeeds = 3;
  for (const std::string& address : this->ControlAddresses()) {
    if (seeds.size() < kMostSeeds) {
      seeds.push_back(address);
    }
  }
  const std::string zone = "zone-a";
  Json settings = {{"label", node.name},
                   {"data_centre", zone},
                   {"role", node.role},
                   {"ip", node.ip},
                   {"peer_port", kPeerPort},
                   {"metrics_door", this->Address(node.name, kMetricsPort)},
                   {"seeds", seeds},
                   {"is_first_start", is_first_start},
                   {"tolerated_losses", 2},
                   {"tolerated_data_centres", 0},
                   {"most_descriptors", 4'096}};
  if (node.role == "entry") {
    settings["caller_door"] = this->Address(node.name, kCallerPort);
    settings["health_door"] = this->Address(node.name, kHealthPort);
    settings["platform_times"] = {{"stop_grace_ms", 6'000}};
  } else {
    settings["data_centres"] = {zone};
    settings["data_folder"] = this->folder + "/" + node.name + "/data";
    settings["control_door"] = this->Address(node.name, kControlPort);
    settings["instances_door"] =
        this->network + ".250:" + std::to_string(kPlatformPort);
    settings["advice_door"] = "";
    settings["group"] = {{"heartbeat_ms", 100},
                         {"election_timeout_ms", 450},
                         {"snapshot_every", 1'000}};
    settings["platform_times"] = {{"longest_lease_ms", 6'000},
                                  {"longest_stop_ms", 200},
                                  {"instance_lease_ms", 3'000},
                                  {"maintenance_seconds", 2},
                                  {"move_seconds", 1.5}};
  }
  std::ofstream(this->folder + "/" + node.name + "/local.json")
      << settings.dump(2);
}

void Deployment::Start(const std::string& name, bool is_first_start) {
  Node& node = this->Find(name);
  ::mkdir((this->folder + "/" + name).c_str(), 0755);
  this->WriteSettings(node, is_first_start);
  const std::string program = this->repository + "/target/bin/sumacd";
  const std::string settings = this->folder + "/" + name + "/local.json";
  const std::string log = this->LogPath(name);
  const pid_t parent = ::getpid();
  node.process = ::fork();
  if (node.process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
}

void Deployment::StartAll() {
  for (const Node& node : this->nodes) {
    this->Start(node.name, true);
  }
}

void Deployment::Signal(const std::string& name, int signal) {
  Node& node = this->Find(name);
  if (node.process != 0) {
    ::kill(node.process, signal);
  }
}

bool Deployment::AwaitEnd(const std::string& name, Milliseconds limit) {
  Node& node = this->Find(name);
  const Milliseconds deadline = Elapsed() + limit;
  constexpr Milliseconds kStep{2};
  while (node.process != 0) {
    if (::waitpid(node.process, &this->status, WNOHANG) == node.process) {
      node.process = 0;
      return true;
    }
    if (Elapsed() >= deadline) {
      return false;
    }
    Sleep(kStep);
  }
  return true;
}

std::vector<std::string> Deployment::Names(const std::string& role) const {
  std::vector<std::string> names;
  for (const Node& node : this->nodes) {
    if (node.role == role) {
      names.push_back(node.name);
    }
  }
  return names;
}

std::string Deployment::Address(const std::string& name, int port) const {
  return this->Find(name).ip + ":" + std::to_string(port);
}

std::vector<std::string> Deployment::ControlAddresses() const {
  std::vector<std::string> addresses;
  for (const std::string& name : this->Names("controller")) {
    addresses.push_back(this->Address(name, kControlPort));
  }
  return addresses;
}

bool Deployment::Declare(const Json& manifest, Milliseconds limit) {
  const Milliseconds deadline = Elapsed() + limit;
  const std::vector<std::string> controls = this->ControlAddresses();
  constexpr Milliseconds kLimit{1'000};
  constexpr Milliseconds kPause{200};
  for (std::size_t turn = 0; Elapsed() < deadline; ++turn) {
    const auto reply = Call(controls[turn % controls.size()], "PUT", "/config",
                            manifest.dump(), kLimit);
    if (reply && reply->status == 200) {
      return true;
    }
    Sleep(kPause);
  }
  return false;
}

std::optional<double> Deployment::Metric(const std::string& name,
                                         const std::string& metric) const {
  constexpr Milliseconds kLimit{500};
  const auto reply =
      Call(this->Address(name, kMetricsPort), "GET", "/metrics", "", kLimit);
  if (!reply) {
    return std::nullopt;
  }
  std::istringstream lines(reply->body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(metric + " ")) {
      return std::atof(line.c_str() + metric.size());
    }
  }
  return std::nullopt;
}

std::string Deployment::LogPath(const std::string& name) const {
  return this->folder + "/" + name + "/out.txt";
}

Json MakeManifest(int version, const std::string& service) {
  const Json queue = {{"name", "work"},          {"host", "jobs.example"},
                      {"path_prefix", "/work/"}, {"kind", "unsafe"},
                      {"timeout_ms", 3'000},     {"target_latency_ms", 2'500},
                      {"priority", 0},           {"service", service},
                      {"max_attempts", 4},       {"stretch", 2.2}};
  const Json pool = {{"name", service},  {"health_path", "/health"},
                     {"max_conns", 64},  {"protocol", "h1"},
                     {"tls", false},     {"enforces_capacity", true},
                     {"headroom", false}};
  return {{"version", version},
          {"routes", Json::array({queue})},
          {"services", Json::array({pool})},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 262'144},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}}}};
}

std::string MakeJobId(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16)
       << (0x5eed000000000000ULL + number);
  return text.str();
}

std::string MakeJob(const std::string& spec, const Json& step) {
  return Json({{"spec", spec}, {"steps", Json::array({step})}}).dump();
}

HttpReply CallJob(const std::string& address,
                  const std::string& method,
                  const std::string& job,
                  const std::string& body) {
  constexpr Milliseconds kLimit{3'000};
  return Call(address, method, "/work/" + job, body, kLimit,
              {{"Host", "jobs.example"}, {"Sumacstack-Deadline-Ms", "3000"}})
      .value_or(HttpReply{0, ""});
}

std::string FreeNetwork() {
  constexpr int kFirst = 40;
  constexpr int kSpan = 200;
  const int process = ::getpid();
  return "127." + std::to_string(kFirst + process % kSpan) + "." +
         std::to_string(process / kSpan % kSpan);
}

}  // namespace sumac::review
