// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_QUORUM_H_
#define LIBRARIES_REPLICATION_QUORUM_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <functional>
#include <set>
#include <type_traits>
#include <vector>

#include "libraries/replication/types.h"

namespace sumac::replication {

// Returns the size of the smallest sets of `voters` of which any two overlap.
inline std::size_t MajorityOf(const std::set<NodeId>& voters) {
  return voters.size() / 2 + 1;
}

// Returns true if `holds` is true for a quorum: a majority of the voters and,
// during an exchange, also of those before it. Any two quorums overlap, also
// those of two successive memberships.
template <std::predicate<const NodeId&> Predicate>
bool IsQuorum(const Membership& membership, Predicate holds) {
  const auto is_majority = [&](const std::set<NodeId>& voters) {
    const auto count = std::count_if(voters.begin(), voters.end(), holds);
    return static_cast<std::size_t>(count) >= MajorityOf(voters);
  };
  return is_majority(membership.voters) &&
         (!membership.is_joint() || is_majority(membership.outgoing_voters));
}

// Returns the largest value that `value_of` a quorum reaches or exceeds, or a
// default value if there are no voters.
template <std::regular_invocable<const NodeId&> ValueOf>
auto ValueOfQuorum(const Membership& membership, ValueOf value_of) {
  using Value = std::decay_t<std::invoke_result_t<ValueOf, const NodeId&>>;
  const auto value_of_majority = [&](const std::set<NodeId>& voters) {
    std::vector<Value> values;
    values.reserve(voters.size());
    for (const NodeId& voter : voters) {
      values.push_back(value_of(voter));
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values.empty() ? Value{} : values[MajorityOf(voters) - 1];
  };
  const Value value = value_of_majority(membership.voters);
  return membership.is_joint()
             ? std::min(value, value_of_majority(membership.outgoing_voters))
             : value;
}

// Returns how many voters may be lost, whichever they are, so that those that
// remain are a quorum.
inline std::size_t CountBorneLosses(const Membership& membership) {
  const auto count = [](const std::set<NodeId>& voters) {
    return voters.empty() ? 0 : voters.size() - MajorityOf(voters);
  };
  return membership.is_joint() ? std::min(count(membership.voters),
                                          count(membership.outgoing_voters))
                               : count(membership.voters);
}

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_QUORUM_H_
