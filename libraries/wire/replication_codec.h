// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_WIRE_REPLICATION_CODEC_H_
#define LIBRARIES_WIRE_REPLICATION_CODEC_H_

#include "libraries/replication/types.h"
#include "libraries/wire/generated/replication.capnp.h"

namespace sumac::wire {

// Conversions between the replication types and their Cap'n Proto structs.
// Reading never fails for a well-formed message; Cap'n Proto itself throws
// kj::Exception for a malformed one.

void WriteMembership(const replication::Membership& membership,
                     Membership::Builder builder);
replication::Membership ReadMembership(Membership::Reader reader);

void WriteEntry(const replication::Entry& entry, Entry::Builder builder);
replication::Entry ReadEntry(Entry::Reader reader);

void WriteSnapshotMeta(const replication::SnapshotMeta& meta,
                       SnapshotMeta::Builder builder);
replication::SnapshotMeta ReadSnapshotMeta(SnapshotMeta::Reader reader);

void WriteMessage(const replication::Message& message,
                  ReplicaMessage::Builder builder);
replication::Message ReadMessage(ReplicaMessage::Reader reader);

// Converts a message to packed bytes and back. UnpackMessage throws
// kj::Exception for malformed bytes.
std::string PackMessage(const replication::Message& message);
replication::Message UnpackMessage(capnp::Data::Reader bytes);

// Returns the text of a Cap'n Proto Text field or the bytes of a Data field.
std::string ToString(capnp::Text::Reader text);
std::string ToString(capnp::Data::Reader data);

// Returns the bytes of a string as Cap'n Proto Data, without copying them.
capnp::Data::Reader ToData(const std::string& bytes);

}  // namespace sumac::wire

#endif  // LIBRARIES_WIRE_REPLICATION_CODEC_H_
