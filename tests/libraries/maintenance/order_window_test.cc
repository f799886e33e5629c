// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/order_window.h"

#include <gtest/gtest.h>

#include <deque>

namespace sumac::maintenance {
namespace {

// A platform that carries out one order after the other at a fixed rate.
class Platform {
 public:
  explicit Platform(std::int64_t orders_a_second)
      : time_per_order(1'000.0 / static_cast<double>(orders_a_second)) {}

  // Lets a planner send whatever the window allows every 50 ms for a while.
  // Returns the number of answers in the last second.
  int Run(OrderWindow& window, Milliseconds time) {
    int answered = 0;
    const SteadyTime end = this->now + time;
    for (; this->now < end; this->now += Milliseconds(50)) {
      while (!this->waiting.empty() &&
             this->waiting.front().answered_at_ms <= this->NowMs()) {
        const Order& order = this->waiting.front();
        this->longest_wait = std::max(this->longest_wait, this->now - order.at);
        window.RecordAnswer(this->now - order.at, false, this->now);
        this->waiting.pop_front();
        answered += static_cast<int>(end - this->now <= Milliseconds(1'000));
      }
      for (auto free = window.CountFree(
               static_cast<std::int64_t>(this->waiting.size()));
           free > 0; --free) {
        this->free_at_ms =
            std::max(this->free_at_ms, this->NowMs()) + this->time_per_order;
        this->waiting.push_back({this->now, this->free_at_ms});
      }
    }
    return answered;
  }

  Milliseconds longest_wait{0};

 private:
  struct Order {
    SteadyTime at;
    double answered_at_ms = 0;
  };

  double NowMs() const {
    return static_cast<double>(this->now.time_since_epoch().count());
  }

  double time_per_order;
  double free_at_ms = 0;
  SteadyTime now{};
  std::deque<Order> waiting;
};

// Thousands of moves are wished for at once. Sent at once, the last orders
// would wait for 11 s.
TEST(OrderWindowTest, OrdersWaitBrieflyAtAnyRateOfThePlatform) {
  for (const std::int64_t rate : {60, 590, 1'180, 5'900}) {
    OrderWindow window;
    Platform platform(rate);
    platform.Run(window, Milliseconds(5'000));
    platform.longest_wait = Milliseconds(0);
    const int answered = platform.Run(window, Milliseconds(10'000));
    EXPECT_LE(platform.longest_wait, Milliseconds(1'000)) << rate;
    EXPECT_GE(answered, rate * 9 / 10) << rate;
  }
}

TEST(OrderWindowTest, ARefusalShrinksTheWindow) {
  OrderWindow window;
  const std::int64_t before = window.CountFree(0);
  window.RecordAnswer(Milliseconds(5), true, SteadyTime(Milliseconds(10)));
  EXPECT_LT(window.CountFree(0), before);
  EXPECT_GT(window.CountFree(0), 0);
}

}  // namespace
}  // namespace sumac::maintenance
