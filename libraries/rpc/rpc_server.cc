// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/rpc_server.h"

#include <optional>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/kj_accept.h"
#include "libraries/base/kj_keep_alive.h"
#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::rpc {

absl::StatusOr<std::unique_ptr<RpcServer>> RpcServer::Create(
    kj::AsyncIoContext& io,
    const std::string& address,
    capnp::Capability::Client bootstrap,
    std::size_t max_connections) {
  try {
    auto receiver = io.provider->getNetwork()
                        .parseAddress(address)
                        .wait(io.waitScope)
                        ->listen();
    return std::unique_ptr<RpcServer>(
        new RpcServer(io.provider->getTimer(), address, kj::mv(receiver),
                      kj::mv(bootstrap), max_connections));
  } catch (const kj::Exception& error) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat("can't listen on ", address, ": ",
                            error.getDescription().cStr()));
  }
}

RpcServer::RpcServer(kj::Timer& timer,
                     std::string address,
                     kj::Own<kj::ConnectionReceiver> receiver,
                     capnp::Capability::Client bootstrap,
                     std::size_t max_connections)
    : timer(timer),
      address(std::move(address)),
      receiver(kj::mv(receiver)),
      server(kj::mv(bootstrap)),
      budget(max_connections),
      tasks(*this),
      listening(this->AcceptLoop().eagerlyEvaluate(nullptr)) {}

kj::Promise<void> RpcServer::AcceptLoop() {
  return AcceptConnections(
      *this->receiver, this->timer,
      [this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
        this->Serve(kj::mv(stream));
        return kj::READY_NOW;
      },
      [this](const kj::Exception& error) {
        LogEvent(LogLevel::kError, "accept-failed",
                 {{"door", this->address},
                  {"error", error.getDescription().cStr()}});
      });
}

void RpcServer::Serve(kj::Own<kj::AsyncIoStream> stream) {
  KJ_IF_MAYBE (error, KeepAlive::TryApply(*stream)) {
    LogEvent(
        LogLevel::kWarning, "connection-not-probed",
        {{"door", this->address}, {"error", error->getDescription().cStr()}});
  }
  const std::uint64_t closed_before = this->budget.closed();
  std::optional<ConnectionBudget::Place> place = this->budget.AcquirePlace();
  if (this->budget.closed() != closed_before) {
    LogEvent(LogLevel::kWarning, "silent-connection-closed",
             {{"door", this->address}, {"most", this->budget.max_open()}});
  }
  if (!place) {
    return;
  }
  const std::uint64_t number = this->next_connection++;
  auto connection = kj::heap<AcceptedConnection>(
      kj::mv(stream), *std::move(place),
      [this, number] { this->open.erase(number); });
  AcceptedConnection& added = *connection;
  this->open.emplace(number, kj::mv(connection));
  added.Start(this->server, [this, number](kj::Maybe<kj::Exception> broken) {
    KJ_IF_MAYBE (error, broken) {
      this->LogBroken(*error);
    }
    // Deferred, because erasing destroys the promise that calls this function.
    this->tasks.add(
        kj::evalLater([this, number] { this->open.erase(number); }));
  });
}

// A client that goes away in the middle of a message is no error.
void RpcServer::LogBroken(const kj::Exception& error) const {
  if (error.getType() != kj::Exception::Type::DISCONNECTED) {
    LogEvent(
        LogLevel::kWarning, "message-unreadable",
        {{"door", this->address}, {"error", error.getDescription().cStr()}});
  }
}

void RpcServer::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kError, "task-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::rpc
