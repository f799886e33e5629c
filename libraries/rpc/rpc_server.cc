// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/rpc_server.h"

#include "libraries/base/error.h"
#include "libraries/base/kj_keep_alive.h"
#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::rpc {

absl::StatusOr<std::unique_ptr<Door>> Door::Create(
    kj::AsyncIoContext& io,
    const std::string& address,
    capnp::Capability::Client bootstrap) {
  try {
    auto receiver = io.provider->getNetwork()
                        .parseAddress(address)
                        .wait(io.waitScope)
                        ->listen();
    return std::unique_ptr<Door>(new Door(kj::mv(receiver), kj::mv(bootstrap)));
  } catch (const kj::Exception& error) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat("can't listen on ", address, ": ",
                            error.getDescription().cStr()));
  }
}

Door::Door(kj::Own<kj::ConnectionReceiver> receiver,
           capnp::Capability::Client bootstrap)
    : receiver(kj::mv(receiver)),
      server(kj::mv(bootstrap)),
      listening(this->Accept().eagerlyEvaluate([](kj::Exception&& error) {
        LogEvent(LogLevel::kError, "listening-failed",
                 {{"error", error.getDescription().cStr()}});
      })) {}

kj::Promise<void> Door::Accept() {
  return this->receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream>&& stream) {
        KJ_IF_MAYBE (error, KeepAlive::TryApply(*stream)) {
          LogEvent(LogLevel::kWarning, "connection-not-probed",
                   {{"error", error->getDescription().cStr()}});
        }
        this->server.accept(kj::mv(stream));
        return this->Accept();
      });
}

}  // namespace sumac::rpc
