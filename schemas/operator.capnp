# SPDX-License-Identifier: Apache-2.0
# The operators' door. Every method may be called on any process; one that does not lead passes the
# call on to the leader. docs/PROTOCOLS.md gives units, errors and limits. Fields are only ever added.
@0xb7d1f0e9a2c34d52;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sumac::wire");

struct Result {
  # The number from docs/RESULTS.md; 0 is success.
  code @0 :UInt16;
  # One sentence for a person.
  message @1 :Text;
  # The decision that was taken, for explain; empty when none was.
  decisionId @2 :Text;
  # The answer as JSON; docs/PROTOCOLS.md describes it per method.
  document @3 :Text;
}

struct Identity {
  # Who asks; goes into decisions and conflicts.
  operatorName @0 :Text;
  # Chosen by the client and kept over resends: the same id gets the first answer again.
  requestId @1 :Text;
}

interface Operator {
  # Puts a whole declaration (JSON text) in force. expectedRevision is the revision the file was
  # made from; 0 for the first.
  apply @0 (identity :Identity, declaration :Text, expectedRevision :UInt64) -> (result :Result);
  # What apply would change.
  diff @1 (declaration :Text) -> (result :Result);
  # declaration, pools, instances, services, jobs or controllers; name picks one, empty gives all.
  get @2 (kind :Text, name :Text) -> (result :Result);
  drain @3 (identity :Identity, instance :Text) -> (result :Result);
  undrain @4 (identity :Identity, instance :Text) -> (result :Result);
  reboot @5 (identity :Identity, instance :Text) -> (result :Result);
  move @6 (identity :Identity, instance :Text, pool :Text) -> (result :Result);
  # job is JSON text.
  submitJob @7 (identity :Identity, job :Text) -> (result :Result);
  cancelJob @8 (identity :Identity, job :Text) -> (result :Result);
  # The decision with this id, from whichever process took it.
  explain @9 (decisionId :Text) -> (result :Result);
  # The decisions about instance, pool, job or request X, newest first.
  why @10 (kind :Text, name :Text) -> (result :Result);
  # This process, the controllers, and how old what this process knows is.
  status @11 () -> (result :Result);
  # Hands leadership to another controller, for a planned stop.
  handOver @12 (identity :Identity) -> (result :Result);
  # add makes a learner a voter, remove takes a replica out of the group, replace takes out a voter
  # whose process has come back with another disk. node is NAME.INCARNATION as get controllers shows.
  changeController @13 (identity :Identity, action :Text, node :Text) -> (result :Result);
  # Answers once every entry that is alive acts on this version of the view, or after waitMs; the
  # document names those that do, those that lag and those that are silent.
  inForce @14 (version :UInt64, waitMs :UInt32) -> (result :Result);
  # Takes a data centre out of use, or returns it to use; controllers take it. The call is over when
  # its client is gone. Without force, an evacuation that leaves nothing in use, or a pool without
  # workers, is refused.
  evacuate @15 (identity :Identity, dataCentre :Text, force :Bool) -> (result :Result);
  restore @16 (identity :Identity, dataCentre :Text) -> (result :Result);
}
