// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_PLATFORM_NOTIFIER_H_
#define SERVICES_SUMACD_PLATFORM_NOTIFIER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "libraries/base/time.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/planner.h"
#include "libraries/http/platform_client.h"

namespace sumac::daemon {

// Tells the platform operations from a thread of its own, so that a slow
// platform holds up nothing, and passes on what it answers. An operation is
// told again after a while until the controllers no longer ask for it.
class PlatformNotifier {
 public:
  using OnReport = std::function<void(const fleet::RecordPlatformReport&)>;

  // `on_report` is called on the teller's thread.
  PlatformNotifier(http::PlatformClient client, OnReport on_report);
  ~PlatformNotifier();
  PlatformNotifier(const PlatformNotifier&) = delete;
  PlatformNotifier& operator=(const PlatformNotifier&) = delete;

  // Ends the thread; nothing is told afterwards.
  void Stop();

  // Asks for these steps to be told; ones told a moment ago are passed over.
  void Enqueue(const std::vector<fleet::PlatformStep>& steps, SteadyTime now);

 private:
  void Run();

  http::PlatformClient client;
  OnReport on_report;
  std::mutex mutex;
  std::condition_variable wake;
  std::deque<fleet::PlatformStep> queue;
  std::map<OperationId, SteadyTime> queued_at;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PLATFORM_NOTIFIER_H_
