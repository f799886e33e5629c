// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_ROUTER_H_
#define LIBRARIES_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/result_code.h"
#include "libraries/base/time.h"
#include "libraries/fleet/decision.h"
#include "libraries/fleet/view.h"
#include "libraries/routing/decision_ring.h"
#include "libraries/routing/minion_set.h"
#include "libraries/routing/request_queue.h"
#include "libraries/routing/retry_budget.h"

namespace sumac::routing {

// The properties of a request that routing uses.
struct RequestInfo {
  RequestNumber number = 0;
  // The name under which operators query the request: its idempotency key, or a
  // name that the entry generated.
  std::string label;
  ServiceName service;
  CallerName caller;
  fleet::RequestClass request_class = fleet::RequestClass::kInteractive;
  bool is_repeatable = true;
  SteadyTime deadline;
};

// The request is to be sent to a minion now.
struct SendTo {
  Choice choice;
  DecisionId decision;
};

// The request waits until TakeReady returns it.
struct Wait {};

// The request is refused.
struct Refuse {
  ResultCode code = ResultCode::kOverloaded;
  std::string message;
  // The time after which the caller may try again.
  Milliseconds retry_after{0};
  DecisionId decision;
};

using RouteResult = std::variant<SendTo, Wait, Refuse>;

// The reason for which a request needs another try.
enum class RetryReason {
  // The minion reported that it did not run the request.
  kDeclined,
  // No byte of the request was sent.
  kNotSent,
  // The request was sent and no complete answer arrived; only for repeatable
  // requests.
  kFailed,
};

// The routing core of one entry: decides which request may be sent to which
// minion now. It does no I/O; the caller has to hold a lock during each call.
class Router {
 public:
  Router(SharingSettings sharing, DecisionRing ring, std::uint64_t seed);

  // Applies a view if it is newer than the present one. Returns true if it was
  // applied.
  bool Update(const fleet::View& view);
  const fleet::View& view() const { return this->current_view; }

  // Returns the declared settings of a service, or null if it is not declared.
  const fleet::Service* FindService(const ServiceName& service) const;

  // Admits a request: it is sent to a minion, queued or refused.
  RouteResult Admit(const RequestInfo& request,
                    SteadyTime now,
                    WallTime wall_now);

  // Handles a try that did not run, or a failed try of a repeatable request:
  // the request is sent to another minion, queued or refused. `tried` contains
  // the minions tried so far. Only a failed try uses up retry budget.
  RouteResult Retry(const RequestInfo& request,
                    const std::set<InstanceName>& tried,
                    RetryReason reason,
                    SteadyTime now,
                    WallTime wall_now);

  // Called when a try has ended; frees its slot.
  void FinishTry(const InstanceName& minion,
                 TryOutcome outcome,
                 std::optional<std::uint32_t> reported_load,
                 SteadyTime now);

  // Called when a request has ended, with any outcome.
  void FinishRequest(const RequestInfo& request);

  // Removes and returns the waiting requests that can be sent now, each with
  // its minion. Called after slots were freed.
  std::vector<std::pair<RequestNumber, SendTo>> TakeReady(SteadyTime now,
                                                          WallTime wall_now);

  // Removes a waiting request whose deadline has passed or whose caller has
  // disconnected. Returns false if it was no longer waiting.
  bool StopWaiting(RequestNumber request);

  // Returns the refusal of a request whose deadline has passed before it was
  // sent.
  Refuse RefuseLate(const RequestInfo& request, WallTime wall_now);

  MinionSet& minions() { return this->minion_set; }
  const DecisionRing& decisions() const { return this->ring; }

  // Returns the decisions made since the last call, for the log.
  std::vector<fleet::Decision> TakeNewDecisions() {
    return std::exchange(this->unlogged, {});
  }

  std::size_t CountWaiting() const { return this->waiting_requests.size(); }
  std::size_t CountOpen() const { return this->open_requests; }

 private:
  struct ServiceState {
    RequestQueue queue;
    RetryBudget retries;
  };
  struct WaitingRequest {
    RequestInfo info;
    std::set<InstanceName> tried;
  };

  std::optional<SendTo> TrySend(const RequestInfo& request,
                                const std::set<InstanceName>& tried,
                                SteadyTime now,
                                WallTime wall_now);
  RouteResult WaitOrRefuse(const RequestInfo& request,
                           const std::set<InstanceName>& tried,
                           const fleet::Service& service,
                           SteadyTime now,
                           WallTime wall_now);
  Refuse MakeRefusal(const RequestInfo& request,
                     ResultCode code,
                     std::string rule,
                     std::string sentence,
                     Milliseconds retry_after,
                     WallTime wall_now);
  fleet::Decision& RecordDecision(fleet::Decision decision);

  fleet::View current_view;
  MinionSet minion_set;
  DecisionRing ring;
  std::mt19937_64 random;
  std::map<ServiceName, ServiceState> service_states;
  std::map<std::pair<ServiceName, CallerName>, std::uint32_t> open_by_caller;
  std::map<RequestNumber, WaitingRequest> waiting_requests;
  std::vector<fleet::Decision> unlogged;
  std::size_t open_requests = 0;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_ROUTER_H_
