// SPDX-License-Identifier: Apache-2.0
#ifndef REVIEW_COMMON_3_RIG_H_
#define REVIEW_COMMON_3_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "nlohmann/json.hpp"

// What the cases of this review share: a small deployment of real processes on
// loopback addresses, with stand-ins for minions, the platform and clients that
// behave as the users' pages say.
namespace sumac::review {

using Milliseconds = std::chrono::milliseconds;
using Json = nlohmann::json;

// Returns the time since the program began.
Milliseconds Elapsed();
void Sleep(Milliseconds time);

// Writes what was sent, answered and run to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

struct HttpRequest {
  std::string method;
  std::string path;
  // Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpReply {
  int status = 200;
  std::string body;
};

// An HTTP/1.1 server with a thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;
  HttpServer(const std::string& ip, int port, Handler handler);
  // Closes all connections at once, as the end of a process does.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  void AcceptLoop();
  void Serve(int connection);

  Handler handler;
  int listener = -1;
  std::mutex mutex;
  std::set<int> connections;
  std::vector<std::thread> threads;
  std::atomic<bool> is_stopping = false;
};

// Makes one HTTP call; returns nothing if no whole answer arrives in time.
std::optional<HttpReply> Call(
    const std::string& address,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    Milliseconds limit,
    const std::vector<std::pair<std::string, std::string>>& headers = {});

// The bounds of the deployment that the stand-ins keep to.
struct Bounds {
  Milliseconds longest_hold{6'000};
  Milliseconds stop_time{200};
  Milliseconds heartbeat{1'500};
};

// One machine's minion. Each life has an id of its own.
class Minion {
 public:
  struct Settings {
    std::string machine;
    std::string service;
    std::string ip;
    int port = 8'080;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t millicores = 64'000;
    std::vector<std::string> controls;
  };
  // Called at each start of a work unit that is new to the minion.
  using OnStart = std::function<void(const std::string& task)>;

  Minion(Settings settings, Record& record, OnStart on_start);
  ~Minion() { this->Crash(); }
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  // Begins a new life.
  void Start();
  // Ends the present life without a word.
  void Crash();
  bool is_up() const { return this->is_alive; }
  std::string id();
  const Settings& description() const { return this->settings; }
  // Returns how many runs have ended failed in all lives.
  int failed_ends() const { return this->failed; }
  // Returns the work units that are running now.
  std::set<std::string> RunningTasks();

 private:
  struct Run {
    std::uint64_t number = 0;
    Milliseconds began{0};
    // Work units that last have no end.
    std::optional<Milliseconds> ends;
    bool is_failing = false;
    std::optional<Milliseconds> stops;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  HttpReply Handle(const HttpRequest& request);
  HttpReply HandleStart(const Json& body);
  HttpReply HandleStop(const Json& body);
  HttpReply HandleHold(const Json& body, std::unique_lock<std::mutex>& lock);
  HttpReply Refuse(const std::string& reason) const;
  // Ends the runs whose time is over.
  void Settle();
  void AddEnd(const std::string& task, std::uint64_t run, std::string how);
  Json ReportBody() const;
  std::int64_t ClockMs() const;
  void CheckInLoop();

  const Settings settings;
  const Bounds bounds;
  Record& record;
  OnStart on_start;
  std::atomic<bool> is_alive = false;
  std::atomic<int> failed = 0;
  std::mutex mutex;
  std::condition_variable changed;
  int life = 0;
  std::string own_id;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0;
  std::int64_t lease_end_ms = 0;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint64_t> settled_runs;
  std::vector<End> ends;
  std::uint64_t last_end = 0;
  std::unique_ptr<HttpServer> server;
  std::thread check_in;
};

// The platform: its list of machines, and their upkeep. It takes no moves.
class Platform {
 public:
  Platform(const std::string& ip, int port);
  void Show(const Minion& minion, const std::string& id, bool is_up);
  // Makes the platform take upkeeps. `callback` is called with the machine and
  // has to end its minion.
  void TakeUpkeeps(std::function<void(const std::string& machine)> callback);

 private:
  HttpReply Handle(const HttpRequest& request);
  HttpReply HandleUpkeep(const HttpRequest& request);

  std::function<void(const std::string& machine)> on_upkeep;
  std::map<std::string, std::uint64_t> tokens;

  std::mutex mutex;
  std::map<std::string, Json> rows;
  HttpServer server;
};

// The processes of the system, started with the command of the deploy file.
class Deployment {
 public:
  struct Node {
    std::string name;
    std::string role;
    std::string ip;
    pid_t process = 0;
  };

  // `network` are the first three parts of the loopback addresses.
  Deployment(std::string repository,
             std::string folder,
             std::string network,
             int controllers,
             int entries);
  // Ends all processes.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void Start(const std::string& name, bool is_first_start = false);
  void StartAll();
  void Signal(const std::string& name, int signal);
  // Waits until a process has ended; returns false if it has not in time.
  bool AwaitEnd(const std::string& name, Milliseconds limit);
  // The status of the process that ended last, as of waitpid.
  int last_status() const { return this->status; }
  std::vector<std::string> Names(const std::string& role) const;
  std::string Address(const std::string& name, int port) const;
  std::vector<std::string> ControlAddresses() const;
  // Sends a manifest until it is acknowledged.
  bool Declare(const Json& manifest, Milliseconds limit);
  // Returns the value of a metric, or nothing.
  std::optional<double> Metric(const std::string& name,
                               const std::string& metric) const;
  std::string LogPath(const std::string& name) const;

 private:
  void WriteSettings(const Node& node, bool is_first_start) const;
  Node& Find(const std::string& name);
  const Node& Find(const std::string& name) const;

  std::string repository;
  std::string folder;
  std::string network;
  std::vector<Node> nodes;
  int status = 0;
};

constexpr int kCallerPort = 8'624;
constexpr int kHealthPort = 8'622;
constexpr int kControlPort = 8'623;
constexpr int kPlatformPort = 8'621;
constexpr int kPeerPort = 7'060;
constexpr int kMetricsPort = 7'061;

// Returns a manifest with one queue at jobs.example/work/ and its service.
Json MakeManifest(int version, const std::string& service);
// Returns an id of 16 hex digits.
std::string MakeJobId(std::uint64_t number);
// Returns the body of a job with one step. The spec tells the stand-in minions
// what to do: "lasting", "failing", or how many milliseconds a work unit takes.
std::string MakeJob(const std::string& spec, const Json& step);
// Calls an entry about a job; returns 0 if there is no whole answer.
HttpReply CallJob(const std::string& address,
                  const std::string& method,
                  const std::string& job,
                  const std::string& body = "");
// Returns a part of the loopback network that no other run uses now.
std::string FreeNetwork();

}  // namespace sumac::review

#endif  // REVIEW_COMMON_3_RIG_H_
