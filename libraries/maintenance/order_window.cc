// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/order_window.h"

#include <algorithm>

namespace sumac::maintenance {
namespace {

// Until an answer comes late, the window grows by one for each prompt answer,
// and after that by one for this many of them.
constexpr std::int64_t kAnswersPerGrowth = 16;
// The part of the window that is left after a late answer.
constexpr std::int64_t kLeftNumerator = 3;
constexpr std::int64_t kLeftDenominator = 4;

}  // namespace

void OrderWindow::RecordAnswer(Milliseconds took,
                               bool is_refused,
                               SteadyTime now) {
  if (!is_refused && took <= this->settings.prompt) {
    ++this->prompt_answers;
    if (!this->has_shrunk || this->prompt_answers >= kAnswersPerGrowth) {
      this->prompt_answers = 0;
      ++this->size;
    }
    return;
  }
  // The answers to orders that were sent together tell one thing once.
  const bool is_same_news =
      this->has_shrunk && now - this->shrunk_at <= this->settings.prompt;
  if (is_same_news) {
    return;
  }
  this->has_shrunk = true;
  this->shrunk_at = now;
  this->prompt_answers = 0;
  this->size = std::max(this->settings.lowest,
                        this->size * kLeftNumerator / kLeftDenominator);
}

}  // namespace sumac::maintenance
