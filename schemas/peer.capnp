# SPDX-License-Identifier: Apache-2.0
# What the system's own processes call on each other. Not a public door.
@0xe3a4c55d17f08b63;

using Cxx = import "/capnp/c++.capnp";
using Relaying = import "relay.capnp";
$Cxx.namespace("sumac::wire");

# An answer between processes; document is CBOR, since it may hold bytes that are no text.
struct PeerResult {
  code @0 :UInt16;
  message @1 :Text;
  decisionId @2 :Text;
  document @3 :Data;
}

interface Peer {
  # Delivers one replica message (a packed Replication.ReplicaMessage); the messages that it leads to
  # for the sender come back in the answer.
  replicate @0 (message :Data) -> (replies :List(Data));
  # Commits one command (CBOR, libraries/fleet/commands.h) if this controller leads.
  propose @1 (command :Data) -> (result :PeerResult);
  # Answers when the view's version is past `have`, or with the same version after waitMs. The view
  # is whole, or with isDelta only what changed since `have` (CBOR, libraries/fleet/view.h).
  # isVerified tells that the state was known to be the latest at some moment since the controller
  # started.
  follow @2 (process :Text, have :UInt64, waitMs :UInt32) -> (result :PeerResult, version :UInt64, view :Data, isVerified :Bool, isDelta :Bool);
  # Targets' announcements gathered by an entry (CBOR); the answer carries orders for the targets.
  announce @3 (announcements :Data) -> (result :PeerResult, orders :Data);
  # Reads answered by the leader under its lease; same kinds as the operator's get and why.
  read @4 (kind :Text, name :Text) -> (result :PeerResult);
  # This process's own decisions only.
  explainLocal @5 (decisionId :Text) -> (result :PeerResult);
  whyLocal @6 (kind :Text, name :Text) -> (result :PeerResult);
  # Which controller this process takes for the leader; empty when unknown.
  leader @7 () -> (process :Text);
  handOver @8 () -> (result :PeerResult);
  # A controller with a new disk asks the leader to be taken in as a learner.
  join @9 (node :Text) -> (result :PeerResult);
  # What this entry acts on; hasView is false for a process without the entry role.
  viewState @10 () -> (hasView :Bool, version :UInt64, ageMs :UInt64);
  changeController @11 (action :Text, node :Text) -> (result :PeerResult);
  # One request about jobs, workers or waves (CBOR, libraries/jobs/requests.h), answered by the
  # controller that leads; others answer notLeader with the leader's address as message.
  ask @12 (request :Data) -> (result :PeerResult);
  # Asks a controller to make calls to workers for the leader of this epoch, whose answers go to
  # `answers`. dataCentre is the relay's; clockMs is its steady clock.
  openRelay @13 (epoch :UInt64, answers :Relaying.RelayAnswers) -> (result :PeerResult, relay :Relaying.Relay, dataCentre :Text, clockMs :Int64);
  # Where this controller runs, so that the voters can be spread over data centres.
  describe @14 () -> (dataCentre :Text);
}
