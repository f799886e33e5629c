// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_ROUTING_DECISION_RING_H_
#define LIBRARIES_ROUTING_DECISION_RING_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/fleet/decision.h"

namespace sumac::routing {

// Keeps the latest routing decisions of one entry, up to a maximum number.
class DecisionRing {
 public:
  // Decision ids have the form PROCESS.START-NUMBER and contain `process` and
  // `start`, so that any process can tell which entry to ask and no id is
  // reused after a restart. `max_decisions` is the maximum number of decisions
  // kept.
  DecisionRing(ProcessName process,
               std::uint64_t start,
               std::size_t max_decisions);

  // Stores a decision, assigns its id, and returns it.
  const fleet::Decision& Add(fleet::Decision decision);

  // Returns the decision with this id, if it is still kept.
  std::optional<fleet::Decision> Find(const DecisionId& id) const;

  // Returns up to `limit` decisions about a subject, newest first.
  std::vector<fleet::Decision> FindAbout(fleet::SubjectKind kind,
                                         std::string_view subject,
                                         std::size_t limit) const;

  // Returns the process named in a routing decision's id, or nothing if the id
  // is not one of a routing decision.
  static std::optional<ProcessName> ProcessOf(const DecisionId& id);

 private:
  ProcessName process;
  std::uint64_t start;
  std::size_t max_decisions;
  std::uint64_t next_number = 1;
  std::deque<fleet::Decision> decisions;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_DECISION_RING_H_
