// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_CONNECTION_BUDGET_H_
#define LIBRARIES_BASE_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <utility>

namespace sumac {

// Limits the number of open connections of one kind, so that a process with
// many peers never runs out of descriptors. When all places are taken, the
// connection that has been idle for the longest is closed to make room. The
// budget does no I/O itself: the holder of a place provides the function that
// closes its connection.
class ConnectionBudget {
 private:
  struct IdleConnection {
    std::function<void()> close;
  };
  using IdleList = std::list<IdleConnection>;

 public:
  // The right to keep one connection open. The destructor returns it to the
  // budget.
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

    // Marks the connection as idle. The budget may then call `close` to make
    // room for another connection; `close` must destroy this place.
    void MarkIdle(std::function<void()> close);
    void MarkBusy();

   private:
    ConnectionBudget* budget;
    std::optional<IdleList::iterator> idle;
  };

  // Allows up to `max_open` connections; 0 counts as 1.
  explicit ConnectionBudget(std::size_t max_open);
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  // Returns a place for one more connection, closing the one that has been idle
  // for the longest if necessary. Returns std::nullopt while all are busy.
  std::optional<Place> AcquirePlace();

  std::size_t max_open() const { return this->limit; }
  std::size_t open() const { return this->open_count; }
  // Returns the number of idle connections that were closed for others.
  std::uint64_t closed() const { return this->closed_count; }
  // Returns the number of connections that were refused because all places were
  // busy.
  std::uint64_t refused() const { return this->refused_count; }

 private:
  std::size_t limit;
  std::size_t open_count = 0;
  std::uint64_t closed_count = 0;
  std::uint64_t refused_count = 0;
  // The idle connections; the one that has been idle for the longest is first.
  IdleList idle_connections;
};

}  // namespace sumac

#endif  // LIBRARIES_BASE_CONNECTION_BUDGET_H_
