// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RELAY_RELAY_CODEC_H_
#define LIBRARIES_RELAY_RELAY_CODEC_H_

#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/relay/relay_messages.h"
#include "libraries/wire/generated/relay.capnp.h"

namespace sumac::relay {

// Conversions between relayed calls and their Cap'n Proto form. Cap'n Proto
// itself throws kj::Exception for malformed bytes.

void WriteCalls(const std::vector<RelayCall>& calls,
                wire::RelayedCalls::Builder builder);

// The texts of a batch's jobs, once for all its starts.
std::vector<std::string> ReadTexts(wire::RelayedCalls::Reader batch);

// One call of a batch by the leader of `epoch`. kMalformedMessage for a call of
// an unknown kind, or one that names no worker or a text that is not there.
absl::StatusOr<RelayCall> ReadCall(wire::RelayedCall::Reader reader,
                                   const std::vector<std::string>& texts,
                                   LeaderEpoch epoch);

void WriteAnswers(std::span<const RelayAnswer> answers,
                  wire::RelayedAnswers::Builder builder);

// An answer; one that tells what is not known here, as of a later version,
// reads as kUnknown.
RelayAnswer ReadAnswer(wire::RelayedAnswer::Reader reader);

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_CODEC_H_
