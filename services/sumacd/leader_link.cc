// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/leader_link.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/rpc/call.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/queries.h"

namespace sumac::daemon {
namespace {

// One try at one controller takes at most this, so that a silent one does not
// use up the limit.
constexpr Milliseconds kLongestAttempt{700};
// Between two rounds without a leader.
constexpr Milliseconds kPause{50};

}  // namespace

LeaderLink::LeaderLink(const Settings& settings,
                       Peers& peers,
                       kj::Timer& timer,
                       Controller* local)
    : settings(settings), peers(peers), timer(timer), local(local) {}

kj::Promise<fleet::Answer> LeaderLink::Propose(fleet::Command command,
                                               Milliseconds limit) {
  return this->TryUntil(
      [this, command = std::move(command)](const ProcessName& process,
                                           Milliseconds left) {
        return this->ProposeAt(process, command, left);
      },
      this->clock.SteadyNow() + limit, "");
}

kj::Promise<fleet::Answer> LeaderLink::Read(std::string kind,
                                            std::string name,
                                            Milliseconds limit) {
  return this->TryUntil(
      [this, kind = std::move(kind), name = std::move(name)](
          const ProcessName& process, Milliseconds left) {
        return this->ReadAt(process, kind, name, left);
      },
      this->clock.SteadyNow() + limit, "");
}

kj::Promise<std::vector<fleet::TargetOrders>> LeaderLink::Announce(
    std::vector<fleet::Announcement> announcements,
    Milliseconds limit) {
  const std::size_t count = announcements.size();
  return this
      ->TryUntil(
          [this, announcements = std::move(announcements)](
              const ProcessName& process, Milliseconds left) {
            return this->AnnounceAt(process, announcements, left);
          },
          this->clock.SteadyNow() + limit, "")
      .then([count](const fleet::Answer& answer) {
        auto orders = FromJson<std::vector<fleet::TargetOrders>>(
            answer.document, "orders", UnknownKeys::kIgnore);
        return answer.is_ok() && orders.ok()
                   ? *std::move(orders)
                   : std::vector<fleet::TargetOrders>(count);
      });
}

ProcessName LeaderLink::NextController() {
  const auto& controllers = this->peers.controllers();
  return controllers[this->next_controller++ % controllers.size()];
}

kj::Promise<fleet::Answer> LeaderLink::TryUntil(Attempt attempt,
                                                SteadyTime deadline,
                                                const std::string& last_error) {
  const SteadyTime now = this->clock.SteadyNow();
  if (now >= deadline) {
    return fleet::Answer{
        .code = ResultCode::kNoLeader,
        .message =
            StrCat("no controller that leads was reached in time",
                   last_error.empty() ? "" : "; the last said: ", last_error)};
  }
  const ProcessName process = this->known_leader.value().empty()
                                  ? this->NextController()
                                  : this->known_leader;
  const Milliseconds left = std::min(deadline - now, kLongestAttempt);
  kj::Promise<fleet::Answer> answered = attempt(process, left);
  return answered
      .then(
          [this, process](fleet::Answer&& answer) -> fleet::Answer {
            if (answer.code == ResultCode::kNotLeader) {
              // The message names the leader; a controller that names itself
              // has no lease yet.
              const bool is_hint = answer.message != process.value();
              this->known_leader = ProcessName(is_hint ? answer.message : "");
            } else if (answer.code == ResultCode::kTimeout ||
                       answer.code == ResultCode::kNoLeader) {
              this->known_leader = ProcessName();
            } else {
              this->known_leader = process;
            }
            return kj::mv(answer);
          },
          [this](kj::Exception&& exception) -> fleet::Answer {
            this->known_leader = ProcessName();
            return fleet::Answer{.code = ResultCode::kUnreachable,
                                 .message = exception.getDescription().cStr()};
          })
      .then([this, attempt = std::move(attempt), deadline](
                fleet::Answer&& answer) mutable -> kj::Promise<fleet::Answer> {
        const bool is_final = answer.code != ResultCode::kNotLeader &&
                              answer.code != ResultCode::kUnreachable &&
                              answer.code != ResultCode::kTimeout &&
                              answer.code != ResultCode::kNoLeader;
        if (is_final) {
          return kj::mv(answer);
        }
        const bool has_hint = !this->known_leader.value().empty();
        const Milliseconds pause = has_hint ? Milliseconds(1) : kPause;
        return this->timer.afterDelay(rpc::ToKj(pause))
            .then([this, attempt = std::move(attempt), deadline,
                   message = answer.message]() mutable {
              return this->TryUntil(std::move(attempt), deadline, message);
            });
      });
}

kj::Promise<fleet::Answer> LeaderLink::ProposeAt(const ProcessName& process,
                                                 const fleet::Command& command,
                                                 Milliseconds limit) {
  if (this->local != nullptr && process == this->settings.process) {
    return this->local->Propose(command);
  }
  rpc::Channel* channel = this->peers.Find(process);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kNotLeader};
  }
  auto request = channel->Get<wire::Peer>().proposeRequest();
  request.setCommand(wire::ToData(ToCbor(command)));
  return rpc::CallForAnswer(*channel, limit, request);
}

kj::Promise<fleet::Answer> LeaderLink::ReadAt(const ProcessName& process,
                                              const std::string& kind,
                                              const std::string& name,
                                              Milliseconds limit) {
  if (this->local != nullptr && process == this->settings.process) {
    return this->local->MayAct() ? Query(*this->local, kind, name)
                                 : this->local->NotLeaderAnswer();
  }
  rpc::Channel* channel = this->peers.Find(process);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kNotLeader};
  }
  auto request = channel->Get<wire::Peer>().readRequest();
  request.setKind(kind);
  request.setName(name);
  return rpc::CallForAnswer(*channel, limit, request);
}

kj::Promise<fleet::Answer> LeaderLink::AnnounceAt(
    const ProcessName& process,
    const std::vector<fleet::Announcement>& announcements,
    Milliseconds limit) {
  if (this->local != nullptr && process == this->settings.process) {
    if (!this->local->MayAct()) {
      return this->local->NotLeaderAnswer();
    }
    return this->local->Announce(announcements).then([](auto&& orders) {
      return fleet::Answer{.document = ToJson(orders)};
    });
  }
  rpc::Channel* channel = this->peers.Find(process);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kNotLeader};
  }
  auto request = channel->Get<wire::Peer>().announceRequest();
  request.setAnnouncements(wire::ToData(ToCbor(announcements)));
  return rpc::CallForAnswer(*channel, limit, request);
}

}  // namespace sumac::daemon
