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

// The entry role: takes callers' requests to minions and brings back whole
// answers. Each request runs on its connection's thread; the routing core is
// behind one lock.
class Entry {
 public:
  // `core` must outlive the entry.
  Entry(const Settings& settings, CoreLink& core, http::Metrics& metrics);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Runs one request to its end; blocks.
  http::CallerAnswer Run(const http::CallerRequest& request);

  // Takes in a view, or a delta to the one in force, unless it is not newer.
  bool UpdateView(const fleet::View& view, bool is_delta);

  // The largest body a request to this service may have.
  std::uint32_t MaxBodyBytes(const ServiceName& service) const;

  // This entry's own decisions.
  std::optional<fleet::Decision> FindDecision(const DecisionId& id) const;
  std::vector<fleet::Decision> FindDecisionsAbout(
      const std::string& request_label) const;

  // Requests in hand.
  std::size_t CountOpen() const;

 private:
  // One request on its way.
  struct Progress {
    routing::RequestInfo info;
    bool is_claimed = false;
    std::uint64_t attempt = 0;
    std::set<InstanceName> tried;
  };
  // Where a request goes now, or its end.
  using NextStep = std::variant<routing::SendTo, routing::Refuse>;

  // A thread that waits for its request's turn.
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
  // Distinguishes this start of the process from earlier ones.
  const std::uint64_t start;
  std::atomic<std::uint64_t> next_number = 1;
  http::MinionClient client;

  mutable std::mutex mutex;
  routing::Router router;
  std::map<routing::RequestNumber, Waiter*> waiters;
  // Told when a request begins to wait.
  std::condition_variable wake_needed;

  std::mutex stop_mutex;
  std::condition_variable stop_wake;
  // Written under both locks, read under either.
  bool is_stopping = false;
  std::thread wake_thread;
  std::thread probe_thread;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_ENTRY_H_
