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

#include "libraries/base/connection_budget.h"
#include "libraries/base/time.h"
#include "libraries/http/whole_request_stream.h"

namespace sumac::http {

// The outcome of a call over an AsyncConnection.
enum class CallOutcome {
  // A complete answer arrived.
  kAnswered,
  // The connection was refused, since nobody listens at the address; nothing
  // was sent.
  kRefused,
  // No complete answer arrived; the other side may or may not have received the
  // request.
  kNoAnswer,
  // This process sent nothing, because it had no free connection or the request
  // waited too long in the queue. The outcome does not mean that the other side
  // is down.
  kNotSent,
  // A process other than the expected one listens at the address; the request
  // was not sent.
  kOtherPeer,
};

// The answer to one call.
struct CallReply {
  CallOutcome outcome = CallOutcome::kNoAnswer;
  std::uint32_t status = 0;
  std::string body;
  // True if the request was sent twice. A refusal then answers the second copy,
  // and the first may have been carried out.
  bool is_repeated = false;
  // A description of the error for the log; empty if an answer arrived.
  std::string error;
};

// The result of checking whether an answer comes from the expected process.
enum class PeerCheckResult { kExpected, kOther, kUnclear };

// A check, on a newly opened connection, that the expected process is at the
// other end. A connection ends with its process, so the result holds for as
// long as the connection: later requests on it can't reach another process at
// the address.
struct PeerCheck {
  // The path of the request that performs the check. The request must be
  // harmless to any other process.
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::function<PeerCheckResult(const CallReply&)> evaluate;
};

// One request.
struct CallRequest {
  kj::HttpMethod method = kj::HttpMethod::POST;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // True if sending the request twice has the same effect as sending it once.
  // If a kept connection turns out to have been closed while idle, the request
  // is then sent again over a new one.
  bool is_idempotent = false;
  // The maximum time between the call and the sending of the request; after it
  // the request is not sent. 0 for no limit.
  Milliseconds longest_wait{0};
  // The check that precedes the request on a new connection. Without one any
  // process at the address is accepted.
  std::optional<PeerCheck> check;
};

// A persistent HTTP/1.1 connection to one address on the event loop. A request
// is sent once all earlier ones are answered or have failed, so requests arrive
// in the order of the calls. The connection is opened when first needed and
// reopened after a failure.
class AsyncConnection {
 public:
  // Without a budget the connection may be opened at any time.
  AsyncConnection(kj::Network& network,
                  kj::Timer& timer,
                  const kj::HttpHeaderTable& headers,
                  std::string address,
                  ConnectionBudget* budget = nullptr);
  // Unregisters the `close` callback of the open connection. The connection may
  // briefly outlive this object, but must not call it any more.
  ~AsyncConnection() { this->MarkBusy(); }
  AsyncConnection(const AsyncConnection&) = delete;
  AsyncConnection& operator=(const AsyncConnection&) = delete;

  // Sends a request and waits for its answer. `limit` counts from when all
  // earlier calls have ended, and includes the time to connect. The promise
  // never fails.
  kj::Promise<CallReply> Call(CallRequest request, Milliseconds limit);

  const std::string& address() const { return this->remote_address; }
  // Returns the number of calls that are in progress or queued.
  std::size_t open_calls() const {
    return this->waiting.size() + (this->is_busy ? 1 : 0);
  }

 private:
  // An open connection; requests in progress keep it alive.
  struct Open : kj::Refcounted {
    kj::Own<WholeRequestStream> stream;
    kj::Own<kj::HttpClient> client;
    std::optional<ConnectionBudget::Place> place;
    bool is_used = false;
    // True if the check has confirmed the expected process at the other end.
    bool is_checked = false;

    // Called by kj's forked promises, to give the connection to several
    // waiters.
    kj::Own<Open> addRef() { return kj::addRef(*this); }
  };
  // A request and the time of its call.
  struct Pending {
    CallRequest request;
    SteadyTime called_at{};

    // Returns true if the request has waited too long and must not be sent.
    bool IsTooLate() const;
  };
  struct Attempt {
    bool has_connected = false;
    // True if the connection had served an earlier request.
    bool was_used = false;
    std::uint64_t generation = 0;
  };

  kj::Promise<void> AwaitEarlierCalls();
  void StartNextCall();
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
  // The number of the current connection; increases with each new one, so that
  // a late failure of an old connection does not drop a new one.
  std::uint64_t generation = 0;
  kj::Maybe<kj::Own<Open>> current;
  kj::Maybe<kj::ForkedPromise<kj::Own<Open>>> connecting;
  // True while a call is in progress; the others are in `waiting`.
  bool is_busy = false;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> waiting;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_ASYNC_CONNECTION_H_
