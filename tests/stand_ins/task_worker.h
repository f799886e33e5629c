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

// One worker that speaks the platform's calls over real sockets: it announces
// itself, takes starts, stops and renewals, and runs tasks by waiting.
class TaskWorker {
 public:
  struct Settings {
    jobs::Worker description;
    // Where controllers take announcements.
    std::vector<std::string> controls;
    // Where it listens, when it announces the address of a proxy instead.
    std::string listen_address;
    // The process that it lives in, for the log.
    std::string process;
    // What its clock shows when the machine's steady clock shows zero.
    Milliseconds clock_offset{5'000};
    // How long it stays after it announced that it will leave.
    Milliseconds leave_time{0};
    // How long each task works.
    Milliseconds work{200};
  };

  // What happens there goes to `log`, which must outlive it.
  TaskWorker(kj::Network& network,
             kj::Timer& timer,
             Settings settings,
             EventLog& log);

  // Listens and announces until the process ends.
  kj::Promise<void> Run();

  // Announces that it will leave, and takes itself off the list once the
  // controllers had time to move its tasks.
  kj::Promise<void> Leave();

  // While it does, what is started there never gets on.
  void set_stands_still(bool stands_still) {
    this->worker.stalls_runs = stands_still;
  }

  std::uint64_t starts() const { return this->start_count; }
  std::uint64_t done() const { return this->done_count; }

 private:
  kj::Promise<http::ServerReply> Handle(const http::ServerRequest& request);
  kj::Promise<http::ServerReply> Hold(nlohmann::json body,
                                      SteadyTime until,
                                      int asked_life);
  http::ServerReply Start(const nlohmann::json& body);
  http::ServerReply Stop(const nlohmann::json& body);
  // All that runs there is lost; after a while another life begins at its
  // address. Only for a worker that does not tell its start: the connections of
  // one that does would have to end with it.
  kj::Promise<void> Crash();
  void BeginNextLife();
  http::ServerReply OrderReply(const scheduler::OrderAnswer& answer) const;
  kj::Promise<void> AnnounceLoop();
  kj::Promise<void> TickLoop();
  // Lets time pass there and logs what ended meanwhile.
  void Tick(SteadyTime now);
  void LogLapse(SteadyTime now);
  void LogEnds(
      SteadyTime now,
      const std::map<jobs::TaskId, scheduler::FakeWorker::Running>& earlier);
  std::string Announcement();
  // As it is known on the wire; a worker that tells its start keeps its name
  // over its lives.
  const std::string& Name() const;
  bool tells_start() const {
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
  // The last end, acknowledgement and lease end that are in the log.
  std::uint64_t logged_end = 0;
  std::uint64_t logged_acknowledgement = 0;
  scheduler::WorkerTime logged_lapse;
  std::uint64_t start_count = 0;
  std::uint64_t done_count = 0;
  int life = 0;
  kj::Promise<void> crashing = nullptr;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_TASK_WORKER_H_
