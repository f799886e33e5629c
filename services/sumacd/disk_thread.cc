// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/disk_thread.h"

#include <optional>
#include <utility>

namespace sumac::daemon {

DiskThread::DiskThread() : thread([this] { this->Loop(); }) {}

DiskThread::~DiskThread() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_ending = true;
  }
  this->has_changed.notify_one();
  this->thread.join();
}

kj::Promise<absl::Status> DiskThread::Run(Work work) {
  auto paf = kj::newPromiseAndCrossThreadFulfiller<absl::Status>();
  {
    const std::lock_guard lock(this->mutex);
    this->items.push_back(Item{std::move(work), kj::mv(paf.fulfiller)});
  }
  this->has_changed.notify_one();
  return kj::mv(paf.promise);
}

void DiskThread::Loop() {
  while (true) {
    std::optional<Item> item;
    {
      std::unique_lock lock(this->mutex);
      this->has_changed.wait(
          lock, [this] { return this->is_ending || !this->items.empty(); });
      if (this->items.empty()) {
        return;
      }
      item.emplace(std::move(this->items.front()));
      this->items.pop_front();
    }
    item->fulfiller->fulfill(item->work());
  }
}

}  // namespace sumac::daemon
