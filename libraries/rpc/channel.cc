// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/channel.h"

namespace sumac::rpc {

Channel::Channel(kj::Network& network, kj::Timer& timer, std::string address)
    : network(network), timer(timer), peer_address(std::move(address)) {}

capnp::Capability::Client Channel::GetBootstrap() {
  KJ_IF_MAYBE (present, this->bootstrap) {
    return *present;
  }
  ++this->generation;
  const std::uint64_t own_generation = this->generation;
  kj::Promise<capnp::Capability::Client> connecting =
      this->network.parseAddress(this->peer_address)
          .then([](kj::Own<kj::NetworkAddress>&& address) {
            auto connecting = address->connect();
            return connecting.attach(kj::mv(address));
          })
          .then([this, own_generation](kj::Own<kj::AsyncIoStream>&& stream) {
            auto made = kj::heap<Connection>();
            made->client = kj::heap<capnp::TwoPartyClient>(*stream);
            made->stream = kj::mv(stream);
            capnp::Capability::Client remote = made->client->bootstrap();
            if (own_generation == this->generation) {
              this->connection = kj::mv(made);
            }
            return remote;
          });
  capnp::Capability::Client client(kj::mv(connecting));
  this->bootstrap = client;
  return client;
}

void Channel::DropIfDead(const kj::Exception& exception,
                         const CallStart& start) {
  const bool is_gone = exception.getType() == kj::Exception::Type::DISCONNECTED;
  const bool is_silent =
      exception.getType() == kj::Exception::Type::OVERLOADED &&
      this->last_answer_at <= start.at;
  if ((is_gone || is_silent) && start.generation == this->generation) {
    ++this->generation;
    this->bootstrap = nullptr;
    this->connection = nullptr;
  }
}

}  // namespace sumac::rpc
