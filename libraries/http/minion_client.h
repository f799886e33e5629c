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

// A request to a minion.
struct MinionRequest {
  std::string method;
  // The path and the query.
  std::string target;
  std::string service;
  // The number of the attempt, unique among all attempts; the answer must
  // repeat it.
  std::string number;
  std::string content_type;
  std::string body;
};

// A complete answer of a minion.
struct MinionAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

// The result of one attempt.
struct TryResult {
  routing::TryOutcome outcome = routing::TryOutcome::kBroken;
  // True if the request certainly did not run, because nothing was sent or
  // because the minion reported so.
  bool is_not_run = false;
  // The answer; set for kAnswered.
  MinionAnswer answer;
  // The number of requests in progress that the minion reported, if it did.
  std::optional<std::uint32_t> reported_load;
  // True if the minion reported that it is leaving. Independent of the outcome.
  bool is_leaving = false;
  // A description of the error, for humans.
  std::string detail;
};

// Sends requests to minions over persistent connections. A connection carries
// one request at a time, and is closed and never reused after any error. Safe
// to use from many threads.
class MinionClient {
 public:
  // An open connection, exclusively owned by its holder.
  using Connection = std::unique_ptr<MinionSession>;

  // Returns a kept connection that is still usable, or opens a new one. Returns
  // nullptr if the minion can't be reached before `deadline`. With `fresh` it
  // always opens a new one, since the minion may be closing a kept one at this
  // moment.
  Connection Connect(const std::string& address,
                     bool fresh,
                     SteadyTime deadline);

  // Sends the request and waits for the complete answer, whose body may have up
  // to `max_body_bytes` bytes.
  TryResult Exchange(const std::string& address,
                     Connection connection,
                     const MinionRequest& request,
                     std::uint32_t max_body_bytes,
                     SteadyTime deadline);

 private:
  // The maximum number of idle connections kept per minion; further ones are
  // closed.
  static constexpr std::size_t kMaxKeptConnections = 16;

  void KeepConnection(const std::string& address, Connection connection);

  std::mutex mutex;
  std::map<std::string, std::deque<Connection>> kept;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_MINION_CLIENT_H_
