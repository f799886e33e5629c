// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/fault_proxy.h"

#include <kj/debug.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/base/text.h"

namespace sumac::stand_ins {
namespace {

constexpr std::size_t kPieceBytes = 64U << 10;
// The interval at which held-back data is checked for release.
constexpr Milliseconds kReleaseCheckInterval{10};

// Makes the later close of this socket send a reset instead of a regular end.
void CloseWithReset(kj::AsyncIoStream& stream) {
  const linger immediately{.l_onoff = 1, .l_linger = 0};
  stream.setsockopt(SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

}  // namespace

FaultProxy::FaultProxy(kj::Network& network,
                       kj::Timer& timer,
                       std::string listen_address,
                       std::string target_address)
    : network(network),
      timer(timer),
      listen_address(std::move(listen_address)),
      target_address(std::move(target_address)),
      serving(*this) {}

kj::Promise<void> FaultProxy::Listen() {
  return this->network.parseAddress(this->listen_address)
      .then([this](kj::Own<kj::NetworkAddress> address) {
        this->receiver = address->listen();
        this->accepting = this->AcceptLoop().eagerlyEvaluate(
            [this](kj::Exception&& error) { this->taskFailed(kj::mv(error)); });
      });
}

kj::Promise<void> FaultProxy::AcceptLoop() {
  return this->receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> client_side) {
        this->serving.add(this->Serve(kj::mv(client_side)));
        return this->AcceptLoop();
      });
}

kj::Promise<void> FaultProxy::Serve(kj::Own<kj::AsyncIoStream> client_side) {
  return this->network.parseAddress(this->target_address)
      .then([](kj::Own<kj::NetworkAddress> address) {
        return address->connect().attach(kj::mv(address));
      })
      .then([this, client_side = kj::mv(client_side)](
                kj::Own<kj::AsyncIoStream> target_side) mutable {
        auto connection = kj::heap<Connection>();
        connection->client_side = kj::mv(client_side);
        connection->target_side = kj::mv(target_side);
        return this->Forward(kj::mv(connection));
      });
}

kj::Promise<void> FaultProxy::Forward(kj::Own<Connection> connection) {
  Connection& forwarded = *connection;
  const std::uint64_t number = this->next_connection++;
  this->connections[number] = &forwarded;
  auto broken = kj::newPromiseAndFulfiller<void>();
  forwarded.reset = kj::mv(broken.fulfiller);
  return kj::joinPromises(kj::arr(this->PumpOrReset(forwarded, true),
                                  this->PumpOrReset(forwarded, false)))
      .exclusiveJoin(kj::mv(broken.promise))
      .attach(kj::mv(connection),
              kj::defer([this, number] { this->connections.erase(number); }));
}

kj::Promise<void> FaultProxy::PumpOrReset(Connection& connection,
                                          bool is_to_target) {
  return this->Pump(connection, is_to_target)
      .catch_([&connection](kj::Exception&& error) {
        connection.reset->reject(kj::mv(error));
      });
}

kj::Promise<void> FaultProxy::Pump(Connection& connection, bool is_to_target) {
  kj::AsyncIoStream& source =
      is_to_target ? *connection.client_side : *connection.target_side;
  kj::AsyncIoStream& sink =
      is_to_target ? *connection.target_side : *connection.client_side;
  auto piece = kj::heapArray<kj::byte>(kPieceBytes);
  return source.tryRead(piece.begin(), 1, piece.size())
      .then([this, &connection, &sink, is_to_target,
             piece = kj::mv(piece)](std::size_t size) mutable {
        return this->AwaitDelayAndRelease(connection, is_to_target)
            .then([this, &connection, &sink, is_to_target, size,
                   piece = kj::mv(piece)]() mutable -> kj::Promise<void> {
              if (size == 0) {
                sink.shutdownWrite();
                return kj::READY_NOW;
              }
              auto written = sink.write(piece.begin(), size);
              return written.attach(kj::mv(piece))
                  .then([this, &connection, is_to_target] {
                    return this->Pump(connection, is_to_target);
                  });
            });
      });
}

kj::Promise<void> FaultProxy::AwaitDelayAndRelease(const Connection& connection,
                                                   bool is_to_target) {
  return this->timer.afterDelay(ToKj(this->delay))
      .then([this, &connection, is_to_target]() -> kj::Promise<void> {
        return this->AwaitRelease(connection, is_to_target);
      });
}

kj::Promise<void> FaultProxy::AwaitRelease(const Connection& connection,
                                           bool is_to_target) {
  const bool is_cut = is_to_target ? this->is_cut_to : this->is_cut_from;
  if (!is_cut && !connection.is_silent) {
    return kj::READY_NOW;
  }
  return this->timer.afterDelay(ToKj(kReleaseCheckInterval))
      .then([this, &connection, is_to_target] {
        return this->AwaitRelease(connection, is_to_target);
      });
}

absl::Status FaultProxy::Apply(const std::string& fault, Milliseconds time) {
  if (fault == "pass") {
    return this->Heal();
  }
  if (fault == "delay") {
    this->delay = time;
  } else if (fault == "cut-to") {
    this->is_cut_to = true;
  } else if (fault == "cut-from") {
    this->is_cut_from = true;
  } else if (fault == "silence") {
    for (const auto& [number, connection] : this->connections) {
      connection->is_silent = true;
    }
  } else if (fault == "reset") {
    this->ResetAll();
  } else if (fault == "refuse") {
    this->accepting = nullptr;
    this->receiver = nullptr;
  } else {
    return absl::InvalidArgumentError(StrCat("unknown fault ", fault));
  }
  return absl::OkStatus();
}

absl::Status FaultProxy::Heal() {
  this->delay = Milliseconds(0);
  this->is_cut_to = false;
  this->is_cut_from = false;
  if (this->receiver.get() == nullptr) {
    this->serving.add(this->Listen());
  }
  return absl::OkStatus();
}

void FaultProxy::ResetAll() {
  for (const auto& [number, connection] : this->connections) {
    CloseWithReset(*connection->client_side);
    CloseWithReset(*connection->target_side);
    connection->reset->fulfill();
  }
}

void FaultProxy::taskFailed(kj::Exception&& error) {
  // Resets and unreachable targets are expected, so this is only a warning.
  KJ_LOG(WARNING, error.getDescription());
}

}  // namespace sumac::stand_ins
