# SPDX-License-Identifier: Apache-2.0
# What the system's own processes call on each other. Not a public door.
@0xe3a4c55d17f08b63;

using Cxx = import "/capnp/c++.capnp";
using Replication = import "replication.capnp";
using Operator = import "operator.capnp";
$Cxx.namespace("sumac::wire");

interface Peer {
  # Delivers one replica message; delivery is not acknowledged beyond the call itself.
  replicate @0 (message :Replication.ReplicaMessage);
  # Commits one command (CBOR, libraries/fleet/commands.h) if this controller leads.
  propose @1 (command :Data) -> (result :Operator.Result);
  # Answers when the view's version is past `have`, or with the same version after waitMs.
  # isVerified asks the leader to confirm with a quorum that its state is the latest.
  follow @2 (process :Text, have :UInt64, waitMs :UInt32) -> (result :Operator.Result, version :UInt64, view :Data);
  # Targets' announcements gathered by an entry (CBOR); the answer carries orders for the targets.
  announce @3 (announcements :Data) -> (result :Operator.Result, orders :Data);
  # Reads answered by the leader under its lease; same kinds as the operator's get and why.
  read @4 (kind :Text, name :Text) -> (result :Operator.Result);
  # This process's own decisions only.
  explainLocal @5 (decisionId :Text) -> (result :Operator.Result);
  whyLocal @6 (kind :Text, name :Text) -> (result :Operator.Result);
  # Which controller this process takes for the leader; empty when unknown.
  leader @7 () -> (process :Text);
  handOver @8 () -> (result :Operator.Result);
}
