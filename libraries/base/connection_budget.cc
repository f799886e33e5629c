// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/connection_budget.h"

#include <algorithm>

namespace sumac {

ConnectionBudget::ConnectionBudget(std::size_t max_open)
    : limit(std::max<std::size_t>(max_open, 1)) {}

std::optional<ConnectionBudget::Place> ConnectionBudget::AcquirePlace() {
  if (this->open_count >= this->limit && !this->idle_connections.empty()) {
    // The connection moves to the end of the list first. If it does not return
    // its place, the next call tries another one.
    IdleList& idle = this->idle_connections;
    idle.splice(idle.end(), idle, idle.begin());
    const std::function<void()> close = idle.back().close;
    close();
    ++this->closed_count;
  }
  if (this->open_count >= this->limit) {
    ++this->refused_count;
    return std::nullopt;
  }
  return Place(*this);
}

ConnectionBudget::Place::~Place() {
  if (this->budget != nullptr) {
    this->MarkBusy();
    --this->budget->open_count;
  }
}

void ConnectionBudget::Place::MarkIdle(std::function<void()> close) {
  this->MarkBusy();
  IdleList& list = this->budget->idle_connections;
  this->idle = list.insert(list.end(), IdleConnection{std::move(close)});
}

void ConnectionBudget::Place::MarkBusy() {
  if (this->idle) {
    this->budget->idle_connections.erase(*this->idle);
    this->idle.reset();
  }
}

}  // namespace sumac
