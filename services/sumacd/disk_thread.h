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

// Runs work that waits on the disk, one piece after the other, on a thread of
// its own, so that a slow or stalled disk does not hold up the event loop.
class DiskThread {
 public:
  using Work = std::function<absl::Status()>;

  DiskThread();
  // Finishes the work already given.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  // Runs `work` after all earlier work. The promise, which belongs to the
  // calling event loop, holds the outcome.
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
