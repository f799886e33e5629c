// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_VIEW_FOLLOWER_H_
#define SERVICES_SUMACD_VIEW_FOLLOWER_H_

#include <kj/async.h>
#include <kj/timer.h>

#include <atomic>
#include <cstdint>
#include <functional>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/view.h"
#include "services/sumacd/controller.h"
#include "services/sumacd/peers.h"

namespace sumac::daemon {

// Keeps an entry's view up to date: requests newer versions from one controller
// after the other. A new entry accepts its first view only from a controller
// whose state is verified as the latest, so that a restart never brings an
// older revision back. After that it accepts any newer view, and keeps the one
// it has while no controller answers. Must be used on the core's event loop.
class ViewFollower {
 public:
  // Applies a view, complete or as a delta to the current one. Returns false if
  // it is not newer.
  using OnView = std::function<bool(const fleet::View&, bool is_delta)>;

  // `local` is this process's own controller, or null. If there is one, only it
  // is asked.
  ViewFollower(const Settings& settings,
               Peers& peers,
               kj::Timer& timer,
               Controller* local,
               OnView on_view);

  // Runs until the process ends.
  kj::Promise<void> Run();

  // Returns the time since a controller last confirmed that this view is the
  // newest. Thread-safe.
  Milliseconds Age() const;
  // Returns true once the first view was applied.
  bool has_view() const { return this->version.load() > 0; }
  std::uint64_t current_version() const { return this->version.load(); }

 private:
  kj::Promise<void> FollowOnce();
  kj::Promise<ServedView> RequestView(const ProcessName& process);
  void ApplyServedView(const ServedView& served);

  const Settings& settings;
  Peers& peers;
  kj::Timer& timer;
  Controller* local;
  OnView on_view;
  SystemClock clock;
  std::size_t next_controller = 0;
  std::atomic<std::uint64_t> version = 0;
  std::atomic<std::int64_t> confirmed_at_ms;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_VIEW_FOLLOWER_H_
