// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_TASK_WORKER_H_
#define TESTS_STAND_INS_TASK_WORKER_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <memory>
#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/http/async_connection.h"
#include "libraries/http/async_door.h"
#include "nlohmann/json.hpp"
#include "tests/libraries/scheduler/fake_worker.h"

namespace sumac::stand_ins {

// One worker that speaks the platform's calls over real sockets: it announces
// itself, takes starts, stops and renewals, and runs tasks by waiting.
class TaskWorker {
 public:
  struct Settings {
    jobs::Worker description;
    // Where controllers take announcements.
    std::vector<std::string> controls;
    // How long each task works.
    Milliseconds work{200};
  };

  TaskWorker(kj::Network& network, kj::Timer& timer, Settings settings);

  // Listens and announces until the process ends.
  kj::Promise<void> Run();

  std::uint64_t starts() const { return this->start_count; }
  std::uint64_t done() const { return this->done_count; }

 private:
  kj::Promise<http::DoorReply> Handle(const http::DoorRequest& request);
  kj::Promise<http::DoorReply> Hold(nlohmann::json body, SteadyTime until);
  http::DoorReply Start(const nlohmann::json& body);
  http::DoorReply Stop(const nlohmann::json& body);
  http::DoorReply OrderReply(const scheduler::OrderAnswer& answer) const;
  kj::Promise<void> AnnounceLoop();
  std::string Announcement();

  kj::Network& network;
  kj::Timer& timer;
  Settings settings;
  SystemClock clock;
  scheduler::FakeWorker worker;
  kj::HttpHeaderTable::Builder header_builder;
  kj::Own<kj::HttpHeaderTable> headers;
  http::AsyncDoor door;
  std::vector<std::unique_ptr<http::AsyncConnection>> controls;
  std::size_t next_control = 0;
  std::uint64_t sequence = 0;
  std::uint64_t start_count = 0;
  std::uint64_t done_count = 0;
};

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_TASK_WORKER_H_
