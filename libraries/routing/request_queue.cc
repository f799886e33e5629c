// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/request_queue.h"

namespace sumac::routing {

using fleet::RequestClass;

RequestQueue::Line& RequestQueue::LineOf(RequestClass request_class) {
  return request_class == RequestClass::kInteractive ? this->interactive
                                                     : this->background;
}

void RequestQueue::Add(RequestNumber request,
                       RequestClass request_class,
                       SteadyTime deadline) {
  this->places[request] = Place{request_class, deadline};
  this->LineOf(request_class)[{deadline, request}] = true;
}

void RequestQueue::Remove(RequestNumber request) {
  const auto found = this->places.find(request);
  if (found == this->places.end()) {
    return;
  }
  this->LineOf(found->second.request_class)
      .erase({found->second.deadline, request});
  this->places.erase(found);
}

std::optional<RequestNumber> RequestQueue::Next() const {
  const bool is_background_due =
      this->interactive_in_row >= kInteractivePerBackground &&
      !this->background.empty();
  const Line& line = this->interactive.empty() || is_background_due
                         ? this->background
                         : this->interactive;
  if (line.empty()) {
    return std::nullopt;
  }
  return line.begin()->first.second;
}

void RequestQueue::Serve(RequestNumber request) {
  const auto found = this->places.find(request);
  if (found == this->places.end()) {
    return;
  }
  const bool is_interactive =
      found->second.request_class == RequestClass::kInteractive;
  this->interactive_in_row = is_interactive ? this->interactive_in_row + 1 : 0;
  this->Remove(request);
}

std::size_t RequestQueue::CountAhead(RequestClass request_class) const {
  return request_class == RequestClass::kInteractive ? this->interactive.size()
                                                     : this->places.size();
}

}  // namespace sumac::routing
