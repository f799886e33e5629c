// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_ASYNC_CONNECTION_H_
#define LIBRARIES_HTTP_ASYNC_CONNECTION_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/http/connection_budget.h"
#include "libraries/http/whole_request_stream.h"

namespace sumac::http {

// How a call over an AsyncConnection went.
enum class CallOutcome {
  // A whole answer came.
  kAnswered,
  // Nobody listens at the address; nothing was sent.
  kRefused,
  // No whole answer came: the other side may or may not have the request.
  kNoAnswer,
  // This process sent nothing: it has no connection to spare, or the request's
  // turn came too late. It says nothing about the other side.
  kNotSent,
  // Another process than the expected one is at the address; it was not sent
  // the request.
  kOtherPeer,
};

// The answer to one call.
struct CallReply {
  CallOutcome outcome = CallOutcome::kNoAnswer;
  std::uint32_t status = 0;
  std::string body;
  // The request went out twice: a refusal speaks of the second copy, and the
  // first may have been carried out.
  bool is_repeated = false;
  // What went wrong, for the log; empty for an answer.
  std::string error;
};

// What an answer tells about the process that gave it.
enum class PeerCheckResult { kExpected, kOther, kUnclear };

// Finds out whether the expected process is at the other end of a connection
// that was just opened. A connection ends with its process, so this holds as
// long as the connection: what is sent over it reaches no later process at the
// address.
struct PeerCheck {
  // The request that asks; it must do no harm to another process.
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::function<PeerCheckResult(const CallReply&)> judge;
};

// One request.
struct CallRequest {
  kj::HttpMethod method = kj::HttpMethod::POST;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Sending it twice has the same effect as once: a connection that turns out
  // to have been closed while it was idle is replaced and the request sent
  // again.
  bool is_idempotent = false;
  // It must leave within this after the call, or it is not sent; 0 for whenever
  // its turn comes.
  Milliseconds longest_wait{0};
  // Goes first on a new connection; empty to trust any process there.
  std::optional<PeerCheck> check;
};

// A kept HTTP/1.1 connection to one address on the event loop. A request goes
// out once all earlier ones are answered or given up, so they arrive in the
// order of the calls. The connection is opened when first needed and anew after
// a failure.
class AsyncConnection {
 public:
  // Without a budget it may be opened at any time.
  AsyncConnection(kj::Network& network,
                  kj::Timer& timer,
                  const kj::HttpHeaderTable& headers,
                  std::string address,
                  ConnectionBudget* budget = nullptr);
  // What is open may outlive it for a moment, but must not call it any more.
  ~AsyncConnection() { this->MarkBusy(); }
  AsyncConnection(const AsyncConnection&) = delete;
  AsyncConnection& operator=(const AsyncConnection&) = delete;

  // Sends a request and waits for its answer for up to `limit` from when its
  // turn came, the time to connect included. The promise never fails.
  kj::Promise<CallReply> Call(CallRequest request, Milliseconds limit);

  const std::string& address() const { return this->remote_address; }
  // Calls that are under way or wait for their turn.
  std::size_t open_calls() const {
    return this->waiting.size() + (this->is_busy ? 1 : 0);
  }

 private:
  // An open connection; requests under way keep it alive.
  struct Open : kj::Refcounted {
    kj::Own<WholeRequestStream> stream;
    kj::Own<kj::HttpClient> client;
    std::optional<ConnectionBudget::Place> place;
    bool is_used = false;
    // The expected process is at the other end.
    bool is_checked = false;

    // Lets kj hand the connection to several waiters.
    kj::Own<Open> addRef() { return kj::addRef(*this); }
  };
  // A call with the time at which it was made.
  struct Pending {
    CallRequest request;
    SteadyTime called_at{};

    // True if it must not leave any more.
    bool IsTooLate() const;
  };
  struct Attempt {
    bool has_connected = false;
    // The connection had served an earlier request.
    bool was_used = false;
    std::uint64_t generation = 0;
  };

  kj::Promise<void> AwaitTurn();
  void EndTurn();
  void MarkIdle();
  void MarkBusy();
  kj::Promise<CallReply> Try(const Pending& call,
                             Milliseconds limit,
                             bool is_second);
  kj::Promise<kj::Own<Open>> Connect();
  kj::Promise<CallReply> SendChecked(kj::Own<Open> open, const Pending& call);
  kj::Promise<CallReply> SendInTime(kj::Own<Open> open, const Pending& call);
  kj::Promise<CallReply> Send(kj::Own<Open> open, const CallRequest& request);
  void Drop(std::uint64_t failed_generation);

  kj::Network& network;
  kj::Timer& timer;
  const kj::HttpHeaderTable& headers;
  std::string remote_address;
  ConnectionBudget* budget;
  // Counts connections, so that a late failure of an old one does not drop a
  // new one.
  std::uint64_t generation = 0;
  kj::Maybe<kj::Own<Open>> current;
  kj::Maybe<kj::ForkedPromise<kj::Own<Open>>> connecting;
  // A call is under way; the others wait for their turn.
  bool is_busy = false;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> waiting;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_ASYNC_CONNECTION_H_
