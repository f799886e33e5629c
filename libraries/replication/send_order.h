// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_SEND_ORDER_H_
#define LIBRARIES_REPLICATION_SEND_ORDER_H_

#include <algorithm>
#include <concepts>
#include <functional>

#include "libraries/replication/types.h"

namespace sumac::replication {

// Returns true if the messages of an output may only be sent once it is
// written: a vote or a new term must be on disk first.
inline bool MustBeWrittenFirst(const Output& output) {
  return output.hard_state.has_value() ||
         output.snapshot_to_install.has_value();
}

// Returns true if an output of a replica with this role may be sent before it
// is written, while those of `waiting` are not written yet either;
// `output_of` returns the output of one of them. A leader may send entries and
// heartbeats while its own disk still writes (Ongaro's thesis, section 10.2.1):
// it counts its own copy only once it is written. A follower acknowledges only
// what its disk holds.
template <typename Waiting,
          std::invocable<const typename Waiting::value_type&> OutputOf =
              std::identity>
bool CanSendBeforeWrite(Role role,
                        const Waiting& waiting,
                        const Output& output,
                        OutputOf output_of = {}) {
  return role == Role::kLeader && !MustBeWrittenFirst(output) &&
         std::none_of(waiting.begin(), waiting.end(), [&](const auto& one) {
           return MustBeWrittenFirst(std::invoke(output_of, one));
         });
}

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_SEND_ORDER_H_
