// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/relay.h"

#include <utility>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::stand_ins {
namespace {

constexpr std::size_t kBufferBytes = 16'384;

}  // namespace

Relay::Relay(kj::AsyncIoContext& io, std::string target)
    : network(io.provider->getNetwork()),
      target(std::move(target)),
      tasks(*this) {
  auto address = this->network.parseAddress("127.0.0.1").wait(io.waitScope);
  this->receiver = address->listen();
  this->own_address = StrCat("127.0.0.1:", this->receiver->getPort());
  this->tasks.add(this->Accept());
}

kj::Promise<void> Relay::Accept() {
  return this->receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream>&& stream) {
        this->tasks.add(this->Forward(kj::mv(stream)));
        return this->Accept();
      });
}

kj::Promise<void> Relay::Forward(kj::Own<kj::AsyncIoStream> client_side) {
  ++this->open_count;
  const std::size_t number = ++this->accepted_count;
  return this->network.parseAddress(this->target)
      .then([](kj::Own<kj::NetworkAddress>&& address) {
        auto connected = address->connect();
        return connected.attach(kj::mv(address));
      })
      .then([this, number, client_side = kj::mv(client_side)](
                kj::Own<kj::AsyncIoStream>&& target_side) mutable {
        auto kept = kj::heap<Connection>();
        kept->client_side = kj::mv(client_side);
        kept->target_side = kj::mv(target_side);
        kept->number = number;
        auto there = kj::heapArray<kj::byte>(kBufferBytes);
        auto back = kj::heapArray<kj::byte>(kBufferBytes);
        auto pumped =
            this->Pump(*kept, *kept->client_side, *kept->target_side, there);
        return pumped
            .exclusiveJoin(
                this->Pump(*kept, *kept->target_side, *kept->client_side, back))
            .attach(kj::mv(kept), kj::mv(there), kj::mv(back));
      })
      .attach(kj::defer([this] { --this->open_count; }));
}

kj::Promise<void> Relay::Pump(Connection& connection,
                              kj::AsyncIoStream& from,
                              kj::AsyncIoStream& to,
                              kj::ArrayPtr<kj::byte> buffer) {
  return from.tryRead(buffer.begin(), 1, buffer.size())
      .then([this, &connection, &from, &to,
             buffer](std::size_t count) -> kj::Promise<void> {
        if (count == 0) {
          return kj::READY_NOW;
        }
        if (connection.number <= this->silent_up_to) {
          return this->Pump(connection, from, to, buffer);
        }
        return to.write(buffer.begin(), count)
            .then([this, &connection, &from, &to, buffer] {
              return this->Pump(connection, from, to, buffer);
            });
      });
}

void Relay::taskFailed(kj::Exception&& exception) {
  LogEvent(LogLevel::kInfo, "relay-connection-failed",
           {{"error", exception.getDescription().cStr()}});
}

}  // namespace sumac::stand_ins
