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

// Names one request within an entry.
using RequestNumber = std::uint64_t;

// The requests of one service that wait for a slot: interactive ones go first,
// but after kInteractivePerBackground of them in a row one background request
// goes, so that none starves. Within a class the one with the earliest deadline
// goes first.
class RequestQueue {
 public:
  // Puts a request in.
  void Add(RequestNumber request,
           fleet::RequestClass request_class,
           SteadyTime deadline);

  // Takes a request out that gave up or got its place otherwise.
  void Remove(RequestNumber request);

  // The request that is next, or nothing; it stays in until removed.
  std::optional<RequestNumber> Next() const;

  // Counts that the request is served now and takes it out.
  void Serve(RequestNumber request);

  std::size_t size() const { return this->places.size(); }

  // How many wait in front of a newcomer of this class.
  std::size_t CountAhead(fleet::RequestClass request_class) const;

  static constexpr std::uint32_t kInteractivePerBackground = 8;

 private:
  using Line = std::map<std::pair<SteadyTime, RequestNumber>, bool>;
  struct Place {
    fleet::RequestClass request_class;
    SteadyTime deadline;
  };

  Line& LineOf(fleet::RequestClass request_class);

  Line interactive;
  Line background;
  std::map<RequestNumber, Place> places;
  std::uint32_t interactive_in_row = 0;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_REQUEST_QUEUE_H_
