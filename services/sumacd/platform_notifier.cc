// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/platform_notifier.h"

#include <utility>

#include "libraries/codec/json_writer.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

// An operation is told again after this, until the platform reports its end.
constexpr Milliseconds kResendInterval{500};

}  // namespace

PlatformNotifier::PlatformNotifier(http::PlatformClient initial_client,
                                   OnReport report_function)
    : client(std::move(initial_client)),
      on_report(std::move(report_function)),
      thread([this] { this->Run(); }) {}

PlatformNotifier::~PlatformNotifier() {
  this->Stop();
}

void PlatformNotifier::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void PlatformNotifier::Enqueue(const std::vector<fleet::PlatformStep>& steps,
                               SteadyTime now) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->queued_at, [&](const auto& told) {
    return now - told.second > 10 * kResendInterval;
  });
  for (const fleet::PlatformStep& step : steps) {
    const auto told = this->queued_at.find(step.operation);
    if (told == this->queued_at.end() ||
        now - told->second >= kResendInterval) {
      this->queued_at[step.operation] = now;
      this->queue.push_back(step);
    }
  }
  this->wake.notify_all();
}

void PlatformNotifier::Run() {
  while (true) {
    fleet::PlatformStep step;
    {
      std::unique_lock lock(this->mutex);
      this->wake.wait(
          lock, [this] { return this->is_stopping || !this->queue.empty(); });
      if (this->is_stopping) {
        return;
      }
      step = this->queue.front();
      this->queue.pop_front();
    }
    const auto report = this->client.SendOperation(step);
    if (report.ok()) {
      this->on_report(*report);
    } else {
      LogEvent(LogLevel::kWarning, "platform-not-told",
               {{"operation", step.operation.value()},
                {"instance", step.instance.value()},
                {"error", std::string(report.status().message())}});
    }
  }
}

}  // namespace sumac::daemon
