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

// What routing needs to know of a request.
struct RequestInfo {
  RequestNumber number = 0;
  // The name under which operators ask about it: the idempotency key, or one
  // that the entry made.
  std::string label;
  ServiceName service;
  CallerName caller;
  fleet::RequestClass request_class = fleet::RequestClass::kInteractive;
  bool is_repeatable = true;
  SteadyTime deadline;
};

// The request may go to a minion now.
struct SendTo {
  Choice choice;
  DecisionId decision;
};

// The request waits; TakeReady tells when it may go.
struct Wait {};

// The request ends here.
struct Refuse {
  ResultCode code = ResultCode::kOverloaded;
  std::string message;
  // When the caller may try again.
  Milliseconds retry_after{0};
  DecisionId decision;
};

using RouteResult = std::variant<SendTo, Wait, Refuse>;

// Why a request needs another try.
enum class RetryReason {
  // The minion said itself that it did not run the request.
  kDeclined,
  // No byte of the request was sent.
  kNotSent,
  // It was sent and no whole answer came back; only for repeatable requests.
  kFailed,
};

// The routing core of one entry: who may send what to which minion now. It does
// no I/O; the caller holds a lock round it.
class Router {
 public:
  Router(SharingSettings sharing, DecisionRing ring, std::uint64_t seed);

  // Takes in a view unless it is not newer than the one in force; tells whether
  // it was taken.
  bool Update(const fleet::View& view);
  const fleet::View& view() const { return this->present; }

  // The declared settings of a service, or nothing.
  const fleet::Service* FindService(const ServiceName& service) const;

  // Admits a request: it goes to a minion, waits in line or is refused at once.
  RouteResult Admit(const RequestInfo& request,
                    SteadyTime now,
                    WallTime wall_now);

  // After a try that did not run, or a failed try of a repeatable request:
  // another minion, or the end. `tried` holds the minions tried so far. Only a
  // failed try costs retry budget.
  RouteResult Retry(const RequestInfo& request,
                    const std::set<InstanceName>& tried,
                    RetryReason reason,
                    SteadyTime now,
                    WallTime wall_now);

  // A try is over; frees its slot.
  void FinishTry(const InstanceName& minion,
                 TryOutcome outcome,
                 std::optional<std::uint32_t> reported_load,
                 SteadyTime now);

  // The request is over, however it ended.
  void FinishRequest(const RequestInfo& request);

  // Waiting requests that may go now, each with its minion. Called after slots
  // were freed.
  std::vector<std::pair<RequestNumber, SendTo>> TakeReady(SteadyTime now,
                                                          WallTime wall_now);

  // A waiting request gives up because its deadline has passed or its caller
  // left; false if it was not waiting any more.
  bool StopWaiting(RequestNumber request);

  // The refusal for a request whose deadline passed while it waited.
  Refuse RefuseLate(const RequestInfo& request, WallTime wall_now);

  MinionSet& minions() { return this->minion_set; }
  const DecisionRing& decisions() const { return this->ring; }

  // Decisions taken since the last call, for the log.
  std::vector<fleet::Decision> TakeNewDecisions() {
    return std::exchange(this->unlogged, {});
  }

  std::size_t CountWaiting() const { return this->waiting_requests.size(); }
  std::size_t CountOpen() const { return this->open; }

 private:
  struct ServiceState {
    RequestQueue line;
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
  fleet::Decision& Keep(fleet::Decision decision);

  fleet::View present;
  MinionSet minion_set;
  DecisionRing ring;
  std::mt19937_64 random;
  std::map<ServiceName, ServiceState> service_states;
  std::map<std::pair<ServiceName, CallerName>, std::uint32_t> open_by_caller;
  std::map<RequestNumber, WaitingRequest> waiting_requests;
  std::vector<fleet::Decision> unlogged;
  std::size_t open = 0;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_ROUTER_H_
