// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relayed_calls.h"

#include <utility>
#include <variant>

namespace sumac::relay {
namespace {

// Time limits of a worker's answer, as its relay applies them.
constexpr Milliseconds kAnswerTimeout{400};

// True if another way to the worker may do better: it may have kept silent, or
// the relay did not do its part.
bool HasFailed(const RelayAnswer& answer) {
  return answer.result == scheduler::OrderResult::kUnknown ||
         answer.result == scheduler::OrderResult::kUnreachable ||
         answer.result == scheduler::OrderResult::kRelayLost ||
         answer.is_refused_by_relay;
}

CallBody ToBody(const scheduler::Order& order) {
  return std::visit([](const auto& body) { return CallBody(body); }, order);
}

const WorkerId& WorkerOf(const scheduler::Order& order) {
  return std::visit(
      [](const auto& body) -> const WorkerId& { return body.worker; }, order);
}

}  // namespace

RelayedCalls::RelayedCalls(scheduler::WorkerCalls own,
                           kj::Timer& timer,
                           LeaderEpoch epoch,
                           Host host)
    : own(std::move(own)), timer(timer), epoch(epoch), host(std::move(host)) {}

void RelayedCalls::UpdateRelays(const std::set<ProcessName>& controllers,
                                SteadyTime now) {
  for (auto item = this->relays.begin(); item != this->relays.end();) {
    if (controllers.contains(item->first)) {
      ++item;
      continue;
    }
    this->past += item->second.link->counts();
    this->links[item->second.number] = nullptr;
    this->routes->Remove(item->second.number);
    item = this->relays.erase(item);
  }
  for (const ProcessName& controller : controllers) {
    if (!this->relays.contains(controller)) {
      this->Open(controller);
    }
  }
  for (auto& [controller, relay] : this->relays) {
    relay.link->OpenIfDue(now);
    relay.link->CheckOpenCalls(now);
  }
}

void RelayedCalls::Open(const ProcessName& controller) {
  rpc::Channel* channel = this->host.find(controller);
  if (channel == nullptr) {
    return;
  }
  const std::size_t number = this->links.size();
  auto link = std::make_unique<RelayLink>(
      *channel, this->timer, this->epoch,
      RelayLink::Host{
          .lease_end = this->host.lease_end,
          .on_change = [this, number] { this->UpdateRoute(number); }});
  this->links.push_back(link.get());
  this->relays.emplace(controller, Relay{number, std::move(link)});
}

void RelayedCalls::UpdateRoute(std::size_t number) {
  const RelayLink* link = this->links[number];
  if (link->is_open()) {
    this->routes->Add(number, link->data_centre());
  } else {
    this->routes->Remove(number);
  }
}

// The link that carries the calls to a worker; nothing if the leader makes them
// by itself.
RelayLink* RelayedCalls::FindLink(const WorkerId& worker, std::size_t& number) {
  number = this->routes->empty()
               ? RelayRoutes::kLeader
               : this->routes->Find(worker, this->host.data_centre_of(worker),
                                    this->clock.SteadyNow());
  if (number == RelayRoutes::kLeader) {
    this->directly_called_workers.insert(worker);
    return nullptr;
  }
  if (this->directly_called_workers.erase(worker) > 0) {
    this->own.forget(worker);
  }
  return this->links[number];
}

kj::Promise<RelayAnswer> RelayedCalls::Call(const WorkerId& worker,
                                            CallBody body,
                                            Milliseconds limit,
                                            RelayLink& link,
                                            std::size_t number) {
  return link.Call(std::move(body), limit)
      .then([kept = this->routes, worker, number](RelayAnswer&& answer) {
        if (HasFailed(answer)) {
          kept->RecordFailure(worker, number, SystemClock().SteadyNow());
        }
        return std::move(answer);
      });
}

kj::Promise<scheduler::RenewAnswer> RelayedCalls::Relayed(
    const WorkerId& worker,
    CallBody body,
    Milliseconds limit,
    RelayLink& link,
    std::size_t number) {
  return this->Call(worker, std::move(body), limit, link, number)
      .then([](RelayAnswer&& answer) {
        scheduler::RenewAnswer renewed{.result = answer.result};
        if (answer.report) {
          renewed.report = std::move(*answer.report);
        } else if (answer.result == scheduler::OrderResult::kDone) {
          renewed.result = scheduler::OrderResult::kUnknown;
        }
        return renewed;
      });
}

kj::Promise<scheduler::RenewAnswer> RelayedCalls::Renew(
    const scheduler::RenewOrder& order) {
  std::size_t number = 0;
  RelayLink* link = this->FindLink(order.worker, number);
  if (link == nullptr) {
    return this->own.renew(order);
  }
  return this->Relayed(order.worker, RenewCall{order},
                       order.wait + kAnswerTimeout, *link, number);
}

kj::Promise<scheduler::RenewAnswer> RelayedCalls::RequestReport(
    const scheduler::RenewOrder& order) {
  std::size_t number = 0;
  RelayLink* link = this->FindLink(order.worker, number);
  if (link == nullptr) {
    return this->own.request_report(order);
  }
  return this->Relayed(order.worker, ReportCall{order}, kAnswerTimeout, *link,
                       number);
}

kj::Promise<scheduler::OrderAnswer> RelayedCalls::Send(
    const scheduler::Order& order) {
  std::size_t number = 0;
  RelayLink* link = this->FindLink(WorkerOf(order), number);
  if (link == nullptr) {
    return this->own.send(order);
  }
  return this
      ->Call(WorkerOf(order), ToBody(order), kAnswerTimeout, *link, number)
      .then([](RelayAnswer&& answer) {
        return scheduler::OrderAnswer{.result = answer.result,
                                      .clock = answer.clock};
      });
}

void RelayedCalls::RemoveWorker(const WorkerId& worker) {
  this->routes->RemoveWorker(worker);
  this->directly_called_workers.erase(worker);
  this->own.forget(worker);
  for (const auto& [controller, relay] : this->relays) {
    relay.link->CloseConnectionsTo(worker);
  }
}

std::size_t RelayedCalls::open_relays() const {
  std::size_t count = 0;
  for (const auto& [controller, relay] : this->relays) {
    count += static_cast<std::size_t>(relay.link->is_open());
  }
  return count;
}

RelayCounts RelayedCalls::TotalCounts() const {
  RelayCounts sum = this->past;
  for (const auto& [controller, relay] : this->relays) {
    sum += relay.link->counts();
  }
  return sum;
}

}  // namespace sumac::relay
