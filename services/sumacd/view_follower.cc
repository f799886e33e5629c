// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/view_follower.h"

#include <algorithm>
#include <utility>

#include "libraries/base/kj_time.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/log/json_log.h"
#include "libraries/wire/generated/peer.capnp.h"
#include "libraries/wire/replication_codec.h"

namespace sumac::daemon {
namespace {

// A controller answers after this at the latest, also when nothing is new.
constexpr Milliseconds kMaxFollowWait{2'000};
constexpr Milliseconds kAnswerMargin{1'000};
constexpr Milliseconds kPauseAfterFailure{100};

}  // namespace

ViewFollower::ViewFollower(const Settings& settings,
                           Peers& peers,
                           kj::Timer& timer,
                           Controller* local,
                           OnView on_view)
    : settings(settings),
      peers(peers),
      timer(timer),
      local(local),
      on_view(std::move(on_view)),
      confirmed_at_ms(this->clock.SteadyNow().time_since_epoch().count()) {
  // Each entry begins with another controller, so that each serves its share of
  // them.
  const auto& all = peers.all();
  this->next_controller = static_cast<std::size_t>(
      std::find(all.begin(), all.end(), settings.process) - all.begin());
}

Milliseconds ViewFollower::Age() const {
  return this->clock.SteadyNow().time_since_epoch() -
         Milliseconds(this->confirmed_at_ms.load());
}

kj::Promise<void> ViewFollower::Run() {
  return this->FollowOnce().then([this] { return this->Run(); });
}

kj::Promise<void> ViewFollower::FollowOnce() {
  const auto& controllers = this->peers.controllers();
  const bool asks_local = this->local != nullptr;
  const ProcessName process =
      asks_local ? this->settings.process
                 : controllers[this->next_controller % controllers.size()];
  return this->RequestView(process).then(
      [this](ServedView&& served) -> kj::Promise<void> {
        const bool is_usable = served.is_verified || this->has_view();
        if (is_usable) {
          this->ApplyServedView(served);
          return kj::READY_NOW;
        }
        ++this->next_controller;
        return this->timer.afterDelay(ToKj(kPauseAfterFailure));
      },
      [this](kj::Exception&& exception) {
        LogEvent(LogLevel::kDebug, "follow-failed",
                 {{"error", exception.getDescription().cStr()}});
        ++this->next_controller;
        return this->timer.afterDelay(ToKj(kPauseAfterFailure));
      });
}

kj::Promise<ServedView> ViewFollower::RequestView(const ProcessName& process) {
  const std::uint64_t have = this->version.load();
  if (this->local != nullptr) {
    return this->local->Follow(have, kMaxFollowWait);
  }
  auto request = this->peers.Find(process)->Get<wire::Peer>().followRequest();
  request.setProcess(this->settings.process.value());
  request.setHave(have);
  request.setWaitMs(static_cast<std::uint32_t>(kMaxFollowWait.count()));
  return this->peers.Find(process)->Guard(
      kMaxFollowWait + kAnswerMargin,
      request.send().then([have](auto&& response) -> ServedView {
        ServedView served{.is_verified = response.getIsVerified()};
        served.view.version = response.getVersion();
        if (response.getVersion() > have) {
          auto view =
              FromCbor<fleet::View>(wire::ToString(response.getView()), "view");
          if (!view.ok()) {
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "malformed view"));
          }
          served.view = *std::move(view);
          served.is_delta = response.getIsDelta();
        }
        return served;
      }));
}

void ViewFollower::ApplyServedView(const ServedView& served) {
  const std::uint64_t have = this->version.load();
  if (served.view.version > have &&
      this->on_view(served.view, served.is_delta)) {
    this->version.store(served.view.version);
    LogEvent(LogLevel::kInfo, "view-in-force",
             {{"version", served.view.version},
              {"is_delta", served.is_delta},
              {"revision", served.view.revision.value()}});
  }
  // A controller that lags says nothing about how old this view is.
  if (served.is_verified && served.view.version >= have) {
    this->confirmed_at_ms.store(
        this->clock.SteadyNow().time_since_epoch().count());
  }
}

}  // namespace sumac::daemon
