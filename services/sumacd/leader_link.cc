// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/leader_link.h"

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/rpc/call.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"
#include "services/sumacd/queries.h"

namespace sumac::daemon {
LeaderLink::LeaderLink(const Settings& settings,
                       Peers& peers,
                       kj::Timer& timer,
                       Controller* local)
    : settings(settings), peers(peers), local(local), search(peers, timer) {}

kj::Promise<fleet::Answer> LeaderLink::Propose(fleet::Command command,
                                               Milliseconds limit) {
  return this->search.Run(
      [this, command = std::move(command)](const ProcessName& process,
                                           Milliseconds left) {
        return this->ProposeAt(process, command, left);
      },
      limit);
}

kj::Promise<fleet::Answer> LeaderLink::Read(std::string kind,
                                            std::string name,
                                            Milliseconds limit) {
  return this->search.Run(
      [this, kind = std::move(kind), name = std::move(name)](
          const ProcessName& process, Milliseconds left) {
        return this->ReadAt(process, kind, name, left);
      },
      limit);
}

kj::Promise<std::vector<fleet::TargetOrders>> LeaderLink::Announce(
    std::vector<fleet::Announcement> announcements,
    Milliseconds limit) {
  const std::size_t count = announcements.size();
  return this->search
      .Run(
          [this, announcements = std::move(announcements)](
              const ProcessName& process, Milliseconds left) {
            return this->AnnounceAt(process, announcements, left);
          },
          limit)
      .then([count](const fleet::Answer& answer) {
        auto orders = FromOwnJson<std::vector<fleet::TargetOrders>>(
            answer.document, "orders");
        return answer.is_ok() && orders.ok()
                   ? *std::move(orders)
                   : std::vector<fleet::TargetOrders>(count);
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
