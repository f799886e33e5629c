// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_MAINTENANCE_ORDER_WINDOW_H_
#define LIBRARIES_MAINTENANCE_ORDER_WINDOW_H_

#include <cstdint>

#include "libraries/base/time.h"

namespace sumac::maintenance {

// How many orders about instances may wait for their answers.
struct OrderWindowSettings {
  // The number at the beginning of a leadership, and the lowest number.
  std::int64_t first = 128;
  std::int64_t lowest = 16;
  // An order that is answered within this time leaves room for more; the later
  // ones wait in the platform's queue.
  Milliseconds prompt{500};
};

// Limits the orders that wait for the platform, so that it never has a queue of
// them in which the reasons for the last ones end before their turn comes.
// Handles a fleet in which thousands of instances are to move at one moment:
// the limit follows the rate at which the platform carries them out, and grows
// with a faster one. Pure.
class OrderWindow {
 public:
  explicit OrderWindow(OrderWindowSettings settings = {})
      : settings(settings), size(settings.first) {}

  // Returns how many more orders may be sent while `waiting` have no answer.
  std::int64_t CountFree(std::int64_t waiting) const {
    return waiting >= this->size ? 0 : this->size - waiting;
  }

  // Records an answer that came after `took`. `is_refused` means that the
  // platform accepts no more orders at present.
  void RecordAnswer(Milliseconds took, bool is_refused, SteadyTime now);

 private:
  OrderWindowSettings settings;
  std::int64_t size;
  // The prompt answers since the window last grew.
  std::int64_t prompt_answers = 0;
  SteadyTime shrunk_at{};
  bool has_shrunk = false;
};

}  // namespace sumac::maintenance

#endif  // LIBRARIES_MAINTENANCE_ORDER_WINDOW_H_
