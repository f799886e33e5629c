// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_REQUEST_QUEUE_H_
#define LIBRARIES_ROUTING_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/fleet/declaration.h"

namespace sumac::routing {

// Identifies a request within an entry.
using RequestNumber = std::uint64_t;

// The queue of requests of one service that wait for a slot. Interactive
// requests are served first, but after kInteractivePerBackground of them in a
// row one background request is served, to avoid starvation. Within a class the
// request with the earliest deadline is served first.
class RequestQueue {
 public:
  // Adds a request to the queue.
  void Add(RequestNumber request,
           fleet::RequestClass request_class,
           SteadyTime deadline);

  // Removes a request that is no longer waiting.
  void Remove(RequestNumber request);

  // Returns the request to serve next, or nothing if the queue is empty. The
  // request stays in the queue.
  std::optional<RequestNumber> Next() const;

  // Removes a request that is served now, and counts it for the order of
  // classes.
  void Serve(RequestNumber request);

  std::size_t size() const { return this->requests.size(); }

  // Returns the number of waiting requests that are ahead of a new one of this
  // class.
  std::size_t CountAhead(fleet::RequestClass request_class) const;

  // The number of consecutive interactive requests after which a background
  // request is served.
  static constexpr std::uint32_t kInteractivePerBackground = 8;

 private:
  using ClassQueue = std::map<std::pair<SteadyTime, RequestNumber>, bool>;
  struct QueuedRequest {
    fleet::RequestClass request_class;
    SteadyTime deadline;
  };

  ClassQueue& ClassQueueOf(fleet::RequestClass request_class);

  ClassQueue interactive;
  ClassQueue background;
  std::map<RequestNumber, QueuedRequest> requests;
  std::uint32_t interactive_in_row = 0;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_REQUEST_QUEUE_H_
