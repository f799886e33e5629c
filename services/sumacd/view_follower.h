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

// Keeps an entry's view up to date: asks one controller after the other for
// anything newer than what the entry has. A fresh entry takes its first view
// only from a controller that knows its own state to be the latest, so that no
// restart brings an older revision back; after that it takes any newer one and
// keeps what it has while no controller answers. Belongs to the core's loop.
class ViewFollower {
 public:
  // Takes a view in, whole or as a delta to the one in force; false if it is
  // not newer.
  using OnView = std::function<bool(const fleet::View&, bool is_delta)>;

  // `local` is this process's controller, or nothing; it is asked first.
  ViewFollower(const Settings& settings,
               Peers& peers,
               kj::Timer& timer,
               Controller* local,
               OnView on_view);

  // Runs until the process ends.
  kj::Promise<void> Run();

  // How long ago a controller last confirmed that the view is its newest; any
  // thread may ask.
  Milliseconds Age() const;
  // True once a first view is in force.
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
