// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_MINION_CLIENT_H_
#define LIBRARIES_HTTP_MINION_CLIENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libraries/base/time.h"
#include "libraries/http/minion_session.h"
#include "libraries/routing/minion_health.h"

namespace sumac::http {

// What goes to a minion.
struct MinionRequest {
  std::string method;
  // Path and query.
  std::string target;
  std::string service;
  // Unique for each try; the answer must carry it.
  std::string number;
  std::string content_type;
  std::string body;
};

// What came back, whole.
struct MinionAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

// How one try went.
struct TryResult {
  routing::TryOutcome outcome = routing::TryOutcome::kBroken;
  // True if the request certainly did not run: nothing was sent, or the minion
  // said so.
  bool is_not_run = false;
  // Set for kAnswered.
  MinionAnswer answer;
  // What the minion said it has in hand.
  std::optional<std::uint32_t> reported_load;
  // True if the minion said that it is leaving, whatever it answered.
  bool is_leaving = false;
  // For people.
  std::string detail;
};

// Sends requests to minions over kept connections. One request is in flight on
// a connection at a time, and a connection on which anything went wrong is
// closed and never used again. Safe to use from many threads.
class MinionClient {
 public:
  // A connection that is open and in nobody else's hands.
  using Connection = std::unique_ptr<MinionSession>;

  // Takes a kept connection that is still good, or opens one; nothing if the
  // minion can't be reached in time. With `fresh` a kept one is never taken:
  // the minion may be closing it just now.
  Connection Connect(const std::string& address,
                     bool fresh,
                     SteadyTime deadline);

  // Sends the request and waits for the whole answer, which may have
  // `most_body_bytes`.
  TryResult Exchange(const std::string& address,
                     Connection connection,
                     const MinionRequest& request,
                     std::uint32_t most_body_bytes,
                     SteadyTime deadline);

 private:
  // Connections kept per minion; the rest are closed.
  static constexpr std::size_t kMostKept = 16;

  void Keep(const std::string& address, Connection connection);

  std::mutex mutex;
  std::map<std::string, std::deque<Connection>> kept;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_MINION_CLIENT_H_
