// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_connection.h"

#include <memory>

#include "libraries/base/kj_time.h"
#include "libraries/base/kj_timeout.h"

namespace sumac::http {
namespace {

// Bytes of an answer's body that are read at most.
constexpr std::uint64_t kMostAnswerBytes = 8ULL << 20;

bool IsDisconnect(const kj::Exception& exception) {
  return exception.getType() == kj::Exception::Type::DISCONNECTED;
}

// NOTE: kj gives no error number, only its text.
bool IsRefusal(const kj::Exception& exception) {
  return IsDisconnect(exception) &&
         std::string_view(exception.getDescription().cStr()).find("refused") !=
             std::string_view::npos;
}

constexpr std::string_view kNoPlace = "no connection to spare";

// True if this process had no descriptor for the connection.
// NOTE: Told by the text: kj's type for it is also that of a timeout, which
// says that the other side is silent.
bool IsShortage(const kj::Exception& exception) {
  const std::string_view text = exception.getDescription().cStr();
  return text.find(kNoPlace) != std::string_view::npos ||
         text.find("Too many open files") != std::string_view::npos;
}

CallReply TooLate() {
  return CallReply{.outcome = CallOutcome::kNotSent,
                   .error = "its turn came too late"};
}

}  // namespace

AsyncConnection::AsyncConnection(kj::Network& network,
                                 kj::Timer& timer,
                                 const kj::HttpHeaderTable& headers,
                                 std::string address,
                                 ConnectionBudget* budget)
    : network(network),
      timer(timer),
      headers(headers),
      remote_address(std::move(address)),
      budget(budget) {}

// NOTE: Not by the event loop's time, which stands still while the machine is
// suspended.
bool AsyncConnection::Pending::IsTooLate() const {
  return this->request.longest_wait > Milliseconds(0) &&
         SystemClock().SteadyNow() - this->called_at >
             this->request.longest_wait;
}

kj::Promise<CallReply> AsyncConnection::Call(CallRequest request,
                                             Milliseconds limit) {
  auto call =
      kj::heap<Pending>(Pending{std::move(request), SystemClock().SteadyNow()});
  const Pending& pending = *call;
  return this->AwaitTurn()
      .then([this, &pending, limit]() -> kj::Promise<CallReply> {
        auto turn = kj::defer([this] { this->EndTurn(); });
        if (pending.IsTooLate()) {
          return TooLate();
        }
        return this->Try(pending, limit, false).attach(kj::mv(turn));
      })
      .attach(kj::mv(call));
}

kj::Promise<void> AsyncConnection::AwaitTurn() {
  if (!std::exchange(this->is_busy, true)) {
    this->MarkBusy();
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  this->waiting.push_back(kj::mv(paf.fulfiller));
  return kj::mv(paf.promise);
}

void AsyncConnection::EndTurn() {
  while (!this->waiting.empty()) {
    kj::Own<kj::PromiseFulfiller<void>> next = kj::mv(this->waiting.front());
    this->waiting.pop_front();
    if (next->isWaiting()) {
      next->fulfill();
      return;
    }
  }
  this->is_busy = false;
  this->MarkIdle();
}

void AsyncConnection::MarkBusy() {
  KJ_IF_MAYBE (open, this->current) {
    if ((*open)->place) {
      (*open)->place->MarkBusy();
    }
  }
}

// Between two calls the connection may be closed for another one.
void AsyncConnection::MarkIdle() {
  KJ_IF_MAYBE (open, this->current) {
    if ((*open)->place) {
      (*open)->place->MarkIdle([this] { this->Drop(this->generation); });
    }
  }
}

kj::Promise<CallReply> AsyncConnection::Try(const Pending& call,
                                            Milliseconds limit,
                                            bool is_second) {
  auto attempt = std::make_shared<Attempt>();
  auto called =
      this->Connect().then([this, attempt, &call](kj::Own<Open>&& open) {
        attempt->has_connected = true;
        attempt->was_used = open->is_used;
        attempt->generation = this->generation;
        open->is_used = true;
        return this->SendChecked(kj::mv(open), call);
      });
  return TimeoutAfter(this->timer, limit, kj::mv(called))
      .then([is_second](CallReply&& reply) {
        // The first copy may have arrived.
        if (is_second && reply.outcome == CallOutcome::kNotSent) {
          reply.outcome = CallOutcome::kNoAnswer;
        }
        return kj::mv(reply);
      })
      .catch_([this, attempt, &call, limit,
               is_second](kj::Exception&& exception) -> kj::Promise<CallReply> {
        this->Drop(attempt->has_connected ? attempt->generation
                                          : this->generation);
        const bool may_repeat = call.request.is_idempotent &&
                                attempt->was_used && IsDisconnect(exception) &&
                                !is_second;
        if (may_repeat) {
          return this->Try(call, limit, true).then([](CallReply&& reply) {
            reply.is_repeated = true;
            return kj::mv(reply);
          });
        }
        // After a first try that may have arrived, neither a refusal nor the
        // lack of a connection proves anything.
        const bool is_unsent = !attempt->has_connected && !is_second;
        CallReply reply{.error = exception.getDescription().cStr()};
        if (is_unsent && IsRefusal(exception)) {
          reply.outcome = CallOutcome::kRefused;
        } else if (is_unsent && IsShortage(exception)) {
          reply.outcome = CallOutcome::kNotSent;
        }
        return reply;
      });
}

kj::Promise<kj::Own<AsyncConnection::Open>> AsyncConnection::Connect() {
  KJ_IF_MAYBE (open, this->current) {
    return kj::addRef(**open);
  }
  KJ_IF_MAYBE (pending, this->connecting) {
    return pending->addBranch().then(
        [](kj::Own<Open>&& open) { return kj::mv(open); });
  }
  std::optional<ConnectionBudget::Place> place;
  if (this->budget != nullptr) {
    place = this->budget->Take();
    if (!place) {
      return KJ_EXCEPTION(FAILED, kNoPlace.data());
    }
  }
  const std::uint64_t own_generation = ++this->generation;
  auto opening =
      this->network.parseAddress(this->remote_address)
          .then([](kj::Own<kj::NetworkAddress>&& address) {
            auto connected = address->connect();
            return connected.attach(kj::mv(address));
          })
          .then([this, own_generation, place = std::move(place)](
                    kj::Own<kj::AsyncIoStream>&& stream) mutable {
            auto open = kj::refcounted<Open>();
            open->place = std::move(place);
            open->stream = kj::heap<WholeRequestStream>(kj::mv(stream));
            open->client = kj::newHttpClient(this->headers, *open->stream);
            if (own_generation == this->generation) {
              this->current = kj::addRef(*open);
            }
            return kj::Own<Open>(kj::mv(open));
          });
  auto forked = opening.fork();
  auto branch = forked.addBranch();
  this->connecting = kj::mv(forked);
  return kj::mv(branch);
}

kj::Promise<CallReply> AsyncConnection::SendChecked(kj::Own<Open> open,
                                                    const Pending& call) {
  if (!call.request.check || open->is_checked) {
    return this->SendInTime(kj::mv(open), call);
  }
  const PeerCheck& check = *call.request.check;
  auto question = kj::heap<CallRequest>(CallRequest{
      .path = check.path, .headers = check.headers, .body = check.body});
  auto asked = this->Send(kj::addRef(*open), *question);
  return asked.attach(kj::mv(question))
      .then([this, &call, open = kj::mv(open)](
                CallReply&& reply) mutable -> kj::Promise<CallReply> {
        switch (call.request.check->judge(reply)) {
          case PeerCheckResult::kExpected:
            open->is_checked = true;
            return this->SendInTime(kj::mv(open), call);
          case PeerCheckResult::kOther:
            this->Drop(this->generation);
            return CallReply{.outcome = CallOutcome::kOtherPeer,
                             .error = "another process is there"};
          case PeerCheckResult::kUnclear:
            break;
        }
        this->Drop(this->generation);
        return CallReply{.error = "the process there did not identify itself"};
      });
}

// The way to here may have taken long: a connection was opened and asked, and
// the machine may have been suspended meanwhile.
kj::Promise<CallReply> AsyncConnection::SendInTime(kj::Own<Open> open,
                                                   const Pending& call) {
  if (call.IsTooLate()) {
    return TooLate();
  }
  return this->Send(kj::mv(open), call.request);
}

kj::Promise<CallReply> AsyncConnection::Send(kj::Own<Open> open,
                                             const CallRequest& request) {
  kj::HttpHeaders sent_headers(this->headers);
  sent_headers.set(kj::HttpHeaderId::HOST, kj::str(this->remote_address));
  if (!request.body.empty()) {
    sent_headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  }
  for (const auto& [name, value] : request.headers) {
    sent_headers.add(kj::str(name), kj::str(value));
  }
  if (!request.body.empty()) {
    open->stream->HoldNextWrite();
  }
  auto call = open->client->request(request.method, request.path, sent_headers,
                                    request.body.size());
  auto written = request.body.empty() ? kj::Promise<void>(kj::READY_NOW)
                                      : call.body->write(request.body.data(),
                                                         request.body.size());
  return written.attach(kj::mv(call.body))
      .then([response = kj::mv(call.response)]() mutable {
        return kj::mv(response);
      })
      .then([](kj::HttpClient::Response&& response) {
        const std::uint32_t status = response.statusCode;
        auto read = response.body->readAllText(kMostAnswerBytes);
        return read.attach(kj::mv(response.body))
            .then([status](kj::String&& body) {
              return CallReply{.outcome = CallOutcome::kAnswered,
                               .status = status,
                               .body = std::string(body.begin(), body.end())};
            });
      })
      .attach(kj::mv(open));
}

void AsyncConnection::Drop(std::uint64_t failed_generation) {
  if (failed_generation == this->generation) {
    ++this->generation;
    this->current = nullptr;
    this->connecting = nullptr;
  }
}

}  // namespace sumac::http
