// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_ENTRY_H_
#define SERVICES_SUMACD_ENTRY_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/decision.h"
#include "libraries/fleet/view.h"
#include "libraries/http/caller_message.h"
#include "libraries/http/metrics.h"
#include "libraries/http/minion_client.h"
#include "libraries/routing/router.h"
#include "services/sumacd/core_link.h"
#include "services/sumacd/settings.h"

namespace sumac::daemon {

// The entry role: forwards callers' requests to minions and returns complete
// answers. Each request runs on its connection's thread; one lock protects the
// routing core.
class Entry {
 public:
  // `core` must outlive the entry.
  Entry(const Settings& settings, CoreLink& core, http::Metrics& metrics);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Runs one request to completion; blocks.
  http::CallerAnswer Run(const http::CallerRequest& request);

  // Applies a view, or a delta to the current one, unless it is not newer.
  // Returns true if it was applied.
  bool UpdateView(const fleet::View& view, bool is_delta);

  // Returns the maximum body size of a request to this service, in bytes.
  std::uint32_t MaxBodyBytes(const ServiceName& service) const;

  // Return the decisions that this entry made, by id or about a request.
  std::optional<fleet::Decision> FindDecision(const DecisionId& id) const;
  std::vector<fleet::Decision> FindDecisionsAbout(
      const std::string& request_label) const;

  // Returns the number of requests in progress.
  std::size_t CountOpen() const;

 private:
  // The state of one request in progress.
  struct Progress {
    routing::RequestInfo info;
    bool is_claimed = false;
    std::uint64_t attempt = 0;
    std::set<InstanceName> tried;
  };
  // The next step of a request: a minion to send it to, or its refusal.
  using NextStep = std::variant<routing::SendTo, routing::Refuse>;

  // A thread that waits until its request may be sent.
  struct Waiter {
    std::condition_variable wake;
    std::optional<routing::SendTo> send;
  };

  std::optional<http::CallerAnswer> CheckRequest(
      const http::CallerRequest& request) const;
  Progress MakeProgress(const http::CallerRequest& request);
  http::CallerAnswer RunAdmitted(const http::CallerRequest& request,
                                 Progress& progress);
  NextStep AwaitNextStep(const Progress& progress,
                         std::optional<routing::RetryReason> reason);
  NextStep AwaitNextStepLocked(const Progress& progress,
                               std::optional<routing::RetryReason> reason);
  std::optional<http::CallerAnswer> Claim(const http::CallerRequest& request,
                                          Progress& progress,
                                          const DecisionId& decision);
  http::CallerAnswer AnswerFromClaim(const fleet::Answer& answer,
                                     const DecisionId& decision);
  void FinishClaim(const http::CallerRequest& request,
                   const Progress& progress,
                   fleet::ClaimState state,
                   const http::MinionAnswer& answer);
  http::TryResult TryOnce(const http::CallerRequest& request,
                          Progress& progress,
                          const routing::SendTo& send,
                          std::optional<http::CallerAnswer>& final);
  http::CallerAnswer AnswerRefusal(const http::CallerRequest& request,
                                   const Progress& progress,
                                   const routing::Refuse& refusal);
  http::CallerAnswer AnswerUnknown(const http::CallerRequest& request,
                                   const Progress& progress,
                                   const http::TryResult& result,
                                   const DecisionId& decision);
  void FinishTry(const InstanceName& minion, const http::TryResult& result);
  void WakeReady();
  void WakeLoop();
  void ProbeLoop();
  void LogNewDecisions();

  const Settings& settings;
  CoreLink& core;
  http::Metrics& metrics;
  SystemClock clock;
  // The start time of the process, which distinguishes this start from earlier
  // ones.
  const std::uint64_t start;
  std::atomic<std::uint64_t> next_number = 1;
  http::MinionClient client;

  mutable std::mutex mutex;
  routing::Router router;
  std::map<routing::RequestNumber, Waiter*> waiters;
  // Notified when a request begins to wait.
  std::condition_variable wake_needed;

  std::mutex stop_mutex;
  std::condition_variable stop_wake;
  // Written while both mutexes are held, read while either is held.
  bool is_stopping = false;
  std::thread wake_thread;
  std::thread probe_thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_ENTRY_H_
