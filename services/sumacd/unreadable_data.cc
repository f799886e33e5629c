// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/unreadable_data.h"

#include <string>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/time.h"
#include "libraries/base/try.h"
#include "libraries/log/json_log.h"
#include "libraries/rpc/call.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/posix_disk.h"
#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kCallTimeout{1'000};

}  // namespace

UnreadableData::UnreadableData(kj::Timer& timer,
                               Peers& peers,
                               ProcessName self,
                               std::string folder)
    : peers(peers),
      self(std::move(self)),
      folder(std::move(folder)),
      requester(
          timer,
          this->self,
          [&peers] { return peers.controllers(); },
          [this](const ProcessName& controller,
                 const replication::NodeId& node) {
            return this->AskToJoin(controller, node);
          }) {}

kj::Promise<absl::Status> UnreadableData::Replace(const absl::Status& error) {
  // The wall clock is later than any earlier start of this process.
  const auto incarnation = SystemClock().Now().time_since_epoch().count();
  const replication::NodeId node(StrCat(this->self.value(), ".", incarnation));
  const bool is_damaged = CodeOf(error) == ResultCode::kStorageDamaged;
  LogEvent(LogLevel::kError, "data-unreadable",
           {{"data_folder", this->folder},
            {"code", static_cast<int>(CodeOf(error))},
            {"error", std::string(error.message())},
            {"asks_to_join_as", is_damaged ? node.value() : ""}});
  FlushLog();
  if (!is_damaged) {
    return kj::NEVER_DONE;
  }
  return this->requester.Join(node).then(
      [this, node] { return this->Format(node); });
}

kj::Promise<fleet::Answer> UnreadableData::AskToJoin(
    const ProcessName& controller,
    const replication::NodeId& node) {
  rpc::Channel* channel = this->peers.Find(controller);
  if (channel == nullptr) {
    return fleet::Answer{.code = ResultCode::kUnreachable};
  }
  auto request = channel->Get<wire::Peer>().joinRequest();
  request.setNode(node.value());
  return rpc::CallForAnswer(*channel, kCallTimeout, request);
}

// Returns true if the data can be read after all: an operator may have restored
// it meanwhile.
bool UnreadableData::IsReadableAgain() {
  storage::PosixDisk disk;
  return storage::DataFolder<storage::PosixDisk>::Open(
             disk, this->folder, storage::StorageSettings(), false)
      .ok();
}

absl::Status UnreadableData::Format(const replication::NodeId& node) {
  if (this->IsReadableAgain()) {
    LogEvent(LogLevel::kWarning, "data-readable-again",
             {{"data_folder", this->folder}});
    return absl::OkStatus();
  }
  LogEvent(LogLevel::kWarning, "data-set-aside",
           {{"data_folder", this->folder}, {"node", node.value()}});
  storage::PosixDisk disk;
  using Folder = storage::DataFolder<storage::PosixDisk>;
  TRY(Folder::SetAsideAll(disk, this->folder));
  return Folder::Format(disk, this->folder, storage::Identity{.node = node});
}

}  // namespace sumac::daemon
