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

// Writes a batch of calls; equal texts are written once.
void WriteCalls(const std::vector<RelayCall>& calls,
                wire::RelayedCalls::Builder builder);

// Reads the job texts of a batch, which its starts refer to by position.
std::vector<std::string> ReadTexts(wire::RelayedCalls::Reader batch);

// Reads one call of a batch that the leader of `epoch` sent. Returns
// kMalformedMessage for a call of an unknown kind, a call that names no worker
// and a call that refers to a text that the batch does not contain.
absl::StatusOr<RelayCall> ReadCall(wire::RelayedCall::Reader reader,
                                   const std::vector<std::string>& texts,
                                   LeaderEpoch epoch);

// Writes a batch of answers.
void WriteAnswers(std::span<const RelayAnswer> answers,
                  wire::RelayedAnswers::Builder builder);

// Reads an answer. One that contains an unknown value, such as a later version
// may send, gets the result kUnknown.
RelayAnswer ReadAnswer(wire::RelayedAnswer::Reader reader);

}  // namespace sumac::relay

#endif  // LIBRARIES_RELAY_RELAY_CODEC_H_
