// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_CONNECTION_BUDGET_H_
#define LIBRARIES_HTTP_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <utility>

namespace sumac::http {

// Bounds how many connections of one kind are open at once, so that a process
// with many peers never runs out of descriptors. When all places are taken, the
// connection that has been idle for the longest gives way. Does no I/O itself:
// whoever holds a place says how its connection is closed.
class ConnectionBudget {
 private:
  struct IdleConnection {
    std::function<void()> close;
  };
  using IdleList = std::list<IdleConnection>;

 public:
  // The right to keep one connection open; given back when it goes.
  class Place {
   public:
    explicit Place(ConnectionBudget& budget) : budget(&budget) {
      ++budget.open_count;
    }
    ~Place();
    Place(Place&& other) noexcept
        : budget(std::exchange(other.budget, nullptr)),
          idle(std::exchange(other.idle, std::nullopt)) {}
    Place& operator=(Place&& other) noexcept {
      std::swap(this->budget, other.budget);
      std::swap(this->idle, other.idle);
      return *this;
    }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    // From now on the connection may be closed by `close`, which has to give
    // the place back, to make room for another one.
    void MarkIdle(std::function<void()> close);
    void MarkBusy();

   private:
    ConnectionBudget* budget;
    std::optional<IdleList::iterator> idle;
  };

  // At most `most` connections, at least one.
  explicit ConnectionBudget(std::size_t most);
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  // A place for one more connection, if need be that of the one that has been
  // idle for the longest; nothing while all are busy.
  std::optional<Place> Take();

  std::size_t most() const { return this->limit; }
  std::size_t open() const { return this->open_count; }
  // How often an idle connection gave way.
  std::uint64_t closed() const { return this->closed_count; }
  // How often there was no place.
  std::uint64_t refused() const { return this->refused_count; }

 private:
  std::size_t limit;
  std::size_t open_count = 0;
  std::uint64_t closed_count = 0;
  std::uint64_t refused_count = 0;
  // The one that has been idle for the longest comes first.
  IdleList idle_connections;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_CONNECTION_BUDGET_H_
