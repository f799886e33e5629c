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

// The latest routing decisions of one entry, bounded in number.
class DecisionRing {
 public:
  // `process` and `start` go into the ids, PROCESS.START-NUMBER, so that any
  // process can tell where to ask and an id is never used again after a
  // restart.
  DecisionRing(ProcessName process, std::uint64_t start, std::size_t most);

  // Keeps a decision, gives it its id, and returns it.
  const fleet::Decision& Add(fleet::Decision decision);

  // The decision with this id, if it is still kept.
  std::optional<fleet::Decision> Find(const DecisionId& id) const;

  // The decisions about a subject, newest first, at most `most`.
  std::vector<fleet::Decision> FindAbout(fleet::SubjectKind kind,
                                         std::string_view subject,
                                         std::size_t most) const;

  // The process named in a routing decision's id, or nothing when it is not
  // one.
  static std::optional<ProcessName> ProcessOf(const DecisionId& id);

 private:
  ProcessName process;
  std::uint64_t start;
  std::size_t most;
  std::uint64_t next_number = 1;
  std::deque<fleet::Decision> decisions;
};

}  // namespace sumac::routing

#endif  // LIBRARIES_ROUTING_DECISION_RING_H_
