// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_DRAWN_DATA_H_
#define TESTS_LIBRARIES_REPLICATION_DRAWN_DATA_H_

#include <cstdint>
#include <string>

#include "libraries/replication/types.h"

namespace sumac::replication {

// The values that a replica may store or send, drawn at random with the ends of
// each type among them. Must be called in a RapidCheck property.

// Returns any number, often one at the end of its type.
std::uint64_t DrawNumber();
// Returns any bytes, often none.
std::string DrawBytes();
// Returns members at rest, in the joint state, or none at all.
Membership DrawMembership();
// Returns an entry of any kind.
Entry DrawEntry();
HardState DrawHardState();
Snapshot DrawSnapshot();
// Returns a message of any type.
Message DrawMessage();

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_DRAWN_DATA_H_
