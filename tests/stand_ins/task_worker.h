// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_TASK_WORKER_H_
#define TESTS_STAND_INS_TASK_WORKER_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/http/async_connection.h"
#include "libraries/http/async_http_server.h"
#include "nlohmann/json.hpp"
#include "tests/libraries/scheduler/fake_worker.h"
#include "tests/stand_ins/event_log.h"

namespace sumac::stand_ins {

// A worker that implements the platform's calls over real sockets: it announces
// itself, executes start, stop and renewal orders, and simulates tasks by
// waiting.
class TaskWorker {
 public:
  struct Settings {
    jobs::Worker description;
    // The controllers' addresses for announcements.
    std::vector<std::string> controls;
    // The address to listen at if the announced one is a proxy's; empty to
    // listen at the announced address.
    std::string listen_address;
    // The name of this process, for the log.
    std::string process;
    // The time of the worker's clock when the machine's steady clock is at
    // zero.
    Milliseconds clock_offset{5'000};
    // The time between announcing that it leaves and its removal.
    Milliseconds leave_time{0};
    // The duration of each task.
    Milliseconds work{200};
  };

  // Logs its events to `log`, which must outlive the worker.
  TaskWorker(kj::Network& network,
             kj::Timer& timer,
             Settings settings,
             EventLog& log);

  // Listens and announces until the process ends.
  kj::Promise<void> Run();

  // Announces that the worker leaves, and removes it from the list of instances
  // after `leave_time`, in which the controllers can move its tasks.
  kj::Promise<void> Leave();

  // Sets whether runs on this worker are stalled, that is, make no progress.
  void set_stalled(bool is_stalled) { this->worker.stalls_runs = is_stalled; }

  std::uint64_t starts() const { return this->start_count; }
  std::uint64_t done() const { return this->done_count; }

 private:
  kj::Promise<http::ServerReply> Handle(const http::ServerRequest& request);
  kj::Promise<http::ServerReply> Hold(nlohmann::json body,
                                      SteadyTime until,
                                      int expected_incarnation);
  http::ServerReply Start(const nlohmann::json& body);
  http::ServerReply Stop(const nlohmann::json& body);
  // Loses all runs; after kRestartTime another incarnation begins at the same
  // address. Only for a worker that does not report its start time: the
  // connections of one that does would have to end with its incarnation.
  kj::Promise<void> Crash();
  void BeginNextIncarnation();
  http::ServerReply OrderReply(const scheduler::OrderAnswer& answer) const;
  kj::Promise<void> AnnounceLoop();
  kj::Promise<void> TickLoop();
  // Advances the worker to `now` and logs the runs that ended meanwhile.
  void Tick(SteadyTime now);
  void LogLeaseExpiry(SteadyTime now);
  void LogEnds(
      SteadyTime now,
      const std::map<jobs::TaskId, scheduler::FakeWorker::Running>& earlier);
  std::string Announcement();
  // Returns the name on the wire; a worker that reports its start time keeps
  // its name over its incarnations.
  const std::string& Name() const;
  bool reports_start_time() const {
    return this->settings.description.has_start_time();
  }
  std::int64_t Born() const;

  kj::Network& network;
  kj::Timer& timer;
  Settings settings;
  EventLog& log;
  SystemClock clock;
  scheduler::FakeWorker worker;
  kj::HttpHeaderTable::Builder header_builder;
  kj::Own<kj::HttpHeaderTable> headers;
  http::AsyncHttpServer door;
  std::vector<std::unique_ptr<http::AsyncConnection>> controls;
  std::size_t next_control = 0;
  std::uint64_t sequence = 0;
  bool is_leaving = false;
  // The last end, acknowledgement and lease expiry that were logged.
  std::uint64_t logged_end = 0;
  std::uint64_t logged_acknowledgement = 0;
  scheduler::WorkerTime logged_lease_end;
  std::uint64_t start_count = 0;
  std::uint64_t done_count = 0;
  int incarnation = 0;
  kj::Promise<void> crashing = nullptr;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_TASK_WORKER_H_
