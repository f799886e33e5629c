// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_SEND_ORDER_H_
#define LIBRARIES_REPLICATION_SEND_ORDER_H_

#include <algorithm>
#include <concepts>
#include <ranges>
#include <type_traits>

#include "libraries/replication/types.h"

namespace sumac::replication {

// A range of the outputs that wait to be written.
template <typename T>
concept OutputRange =
    std::ranges::input_range<T> &&
    std::same_as<std::remove_cvref_t<std::ranges::range_reference_t<T>>,
                 Output>;

// Returns true if an output of a replica with this role may be sent before it
// is written, while the outputs of `waiting` are not written yet either. A
// leader may send entries and heartbeats while its own disk still writes
// (Ongaro's thesis, section 10.2.1): it counts its own copy only once it is
// written. A vote or a new term must be on disk first, and a follower
// acknowledges only what its disk holds.
template <OutputRange Waiting>
bool CanSendBeforeWrite(Role role, Waiting&& waiting, const Output& output) {
  const auto has_to_wait = [](const Output& one) {
    return one.hard_state.has_value() || one.snapshot_to_install.has_value();
  };
  return role == Role::kLeader && !has_to_wait(output) &&
         std::ranges::none_of(waiting, has_to_wait);
}

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_SEND_ORDER_H_
