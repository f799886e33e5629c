// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_DISK_THREAD_H_
#define SERVICES_SUMACD_DISK_THREAD_H_

#include <kj/async.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "absl/status/status.h"

namespace sumac::daemon {

// Runs work that blocks on the disk sequentially on a separate thread, so that
// a slow or stalled disk does not block the event loop.
class DiskThread {
 public:
  using Work = std::function<absl::Status()>;

  DiskThread();
  // Finishes all queued work.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  // Queues `work` behind all earlier work. The promise, which belongs to the
  // calling event loop, resolves to the status that `work` returns.
  kj::Promise<absl::Status> Run(Work work);

 private:
  struct Item {
    Work work;
    kj::Own<kj::CrossThreadPromiseFulfiller<absl::Status>> fulfiller;
  };

  void Loop();

  std::mutex mutex;
  std::condition_variable has_changed;
  std::deque<Item> items;
  bool is_ending = false;
  std::thread thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_DISK_THREAD_H_
