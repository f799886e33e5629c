// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_RPC_ANSWER_CODEC_H_
#define LIBRARIES_RPC_ANSWER_CODEC_H_

#include "libraries/fleet/answer.h"
#include "libraries/fleet/commands.h"
#include "libraries/wire/generated/operator.capnp.h"
#include "libraries/wire/generated/peer.capnp.h"

namespace sumac::rpc {

// Conversions between answers and their Cap'n Proto messages. In answers to
// operators the document is JSON text; between processes it is CBOR, since it
// may contain binary data.

void WriteAnswer(const fleet::Answer& answer, wire::Result::Builder builder);
fleet::Answer ReadAnswer(wire::Result::Reader reader);

void WriteAnswer(const fleet::Answer& answer,
                 wire::PeerResult::Builder builder);
fleet::Answer ReadAnswer(wire::PeerResult::Reader reader);

// Reads the name of the operator who sent a command, and the id of the request.
fleet::OperatorIdentity ReadIdentity(wire::Identity::Reader reader);

}  // namespace sumac::rpc

#endif  // LIBRARIES_RPC_ANSWER_CODEC_H_
