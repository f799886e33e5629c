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

// Sends operations to the platform on a thread of its own, so that a slow
// platform delays nothing else, and forwards the platform's reports. An
// operation is sent again at an interval as long as the controller requests it.
class PlatformNotifier {
 public:
  using OnReport = std::function<void(const fleet::RecordPlatformReport&)>;

  // `on_report` is called on the thread of this object.
  PlatformNotifier(http::PlatformClient client, OnReport on_report);
  ~PlatformNotifier();
  PlatformNotifier(const PlatformNotifier&) = delete;
  PlatformNotifier& operator=(const PlatformNotifier&) = delete;

  // Ends the thread; nothing is sent to the platform afterwards.
  void Stop();

  // Queues these steps to be sent, except those that were queued within the
  // resend interval.
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
