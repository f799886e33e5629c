// SPDX-License-Identifier: Apache-2.0
#include "libraries/rpc/channel.h"

#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::rpc {
namespace {

// The time after an answer for which a peer counts as fresh. A request that is
// written within it into a connection that has just gone silent ends with an
// unknown outcome, so it is short; asking a peer that was quiet for longer
// costs one round trip.
constexpr Milliseconds kFreshTime{100};
// The time after which a peer that has not answered a probe counts as silent.
// It is far above a round trip between data centres.
constexpr Milliseconds kProbeWait{250};
// The time limit of a probe, after which the connection is dropped. It is that
// of other calls, so that probes do not drop the connection to a slow peer
// earlier than those.
constexpr Milliseconds kProbeLimit{700};

}  // namespace

Channel::Channel(kj::Network& network, kj::Timer& timer, std::string address)
    : network(network), timer(timer), peer_address(std::move(address)) {}

capnp::Capability::Client Channel::GetBootstrap() {
  if (this->connection_state != nullptr && this->connection_state->is_gone) {
    this->Drop();
  }
  KJ_IF_MAYBE (present, this->bootstrap) {
    return *present;
  }
  ++this->generation;
  const std::uint64_t own_generation = this->generation;
  auto state = std::make_shared<ConnectionState>();
  this->connection_state = state;
  kj::Promise<capnp::Capability::Client> connecting =
      this->network.parseAddress(this->peer_address)
          .then([](kj::Own<kj::NetworkAddress>&& address) {
            auto connecting = address->connect();
            return connecting.attach(kj::mv(address));
          })
          .then([this, own_generation,
                 state](kj::Own<kj::AsyncIoStream>&& stream) {
            state->was_opened = true;
            auto made = kj::heap<Connection>();
            made->client = kj::heap<capnp::TwoPartyClient>(*stream);
            made->stream = kj::mv(stream);
            made->end_watch = made->client->onDisconnect()
                                  .then([state] { state->is_gone = true; })
                                  .eagerlyEvaluate([state](kj::Exception&&) {
                                    state->is_gone = true;
                                  });
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
    this->Drop();
  }
}

void Channel::Drop() {
  ++this->generation;
  this->bootstrap = nullptr;
  this->connection = nullptr;
  this->connection_state = nullptr;
}

std::shared_ptr<const Channel::ConnectionState> Channel::state() {
  this->GetBootstrap();
  return this->connection_state;
}

bool Channel::IsFresh() const {
  return this->clock.SteadyNow() - this->last_answer_at < kFreshTime;
}

kj::Promise<bool> Channel::Confirm(Milliseconds limit) {
  if (this->IsFresh()) {
    return true;
  }
  if (!this->is_probing) {
    this->StartProbe();
  }
  if (this->is_silent) {
    return false;
  }
  return TimeoutAfter(this->timer, limit,
                      KJ_ASSERT_NONNULL(this->verdict).addBranch())
      .catch_([](kj::Exception&&) { return false; });
}

kj::Promise<bool> Channel::SendProbe() {
  auto answered =
      this->Get<wire::Peer>()
          .leaderRequest()
          .send()
          .then([](auto&&) { return true; })
          .catch_([](kj::Exception&& exception) -> kj::Promise<bool> {
            // A peer that does not know the method has answered.
            if (exception.getType() == kj::Exception::Type::UNIMPLEMENTED) {
              return true;
            }
            return kj::mv(exception);
          });
  return this->Guard(kProbeLimit, kj::mv(answered)).catch_([](kj::Exception&&) {
    return false;
  });
}

bool Channel::DetectSilence() {
  this->is_silent = !this->IsFresh();
  return !this->is_silent;
}

void Channel::StartProbe() {
  this->is_probing = true;
  auto probed = this->SendProbe().then([this](bool is_answered) {
    this->is_probing = false;
    return is_answered || this->DetectSilence();
  });
  kj::ForkedPromise<bool> shared = probed.fork();
  this->verdict =
      TimeoutAfter(this->timer, kProbeWait, shared.addBranch())
          .catch_([this](kj::Exception&&) { return this->DetectSilence(); })
          .fork();
  this->probe = kj::mv(shared);
}

}  // namespace sumac::rpc
