# SPDX-License-Identifier: Apache-2.0
# Calls to workers that a leader has other controllers make. Fields are only ever added; a relay refuses
# a call of a kind that it does not know.
@0xd9a7c1f2640b83e5;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sumac::wire");

struct RelayedTask {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
}

struct RelayedCall {
  # Chosen by the leader; the answer carries it.
  id @0 :UInt64;
  worker @1 :Text;
  address @2 :Text;
  # The call leaves the relay before this time on the relay's steady clock, or not at all.
  expiresMs @3 :Int64;
  union {
    renewal @4 :RelayedRenewal;
    # A renewal that does not wait, beside the one that is under way.
    report @5 :RelayedRenewal;
    start @6 :RelayedStart;
    stop @7 :RelayedRun;
    pace @8 :RelayedPace;
    # The worker gets no more calls by this relay; has no answer.
    forget @9 :Void;
  }
}

struct RelayedRenewal {
  acknowledgedEnds @0 :UInt64;
  hasLeaseEnd @1 :Bool;
  leaseEnd @2 :Int64;
  waitMs @3 :UInt32;
}

struct RelayedStart {
  task @0 :RelayedTask;
  run @1 :UInt64;
  # The place of the job's text in the batch.
  text @2 :UInt32;
  leaseEnd @3 :Int64;
  checkpoint @4 :Text;
  ticket @5 :Text;
}

struct RelayedRun {
  task @0 :RelayedTask;
  run @1 :UInt64;
}

struct RelayedPace {
  task @0 :RelayedTask;
  run @1 :UInt64;
  percent @2 :UInt32;
}

struct RelayedCalls {
  # Tasks of one step share their text.
  texts @0 :List(Text);
  calls @1 :List(RelayedCall);
}

struct RelayedAnswer {
  id @0 :UInt64;
  # The number of a scheduler::OrderResult.
  result @1 :UInt16;
  hasClock @2 :Bool;
  clock @3 :Int64;
  # Only of a renewal or report that went through.
  report @4 :RelayedReport;
}

struct RelayedReport {
  hasBorn @0 :Bool;
  bornMs @1 :Int64;
  running @2 :List(RelayedRunning);
  ended @3 :List(RelayedEnd);
  hasMoreEnds @4 :Bool;
}

struct RelayedRunning {
  task @0 :RelayedTask;
  run @1 :UInt64;
  checkpoint @2 :Text;
  percent @3 :UInt32;
  load @4 :Int64;
}

struct RelayedEnd {
  number @0 :UInt64;
  task @1 :RelayedTask;
  run @2 :UInt64;
  # The number of a scheduler::EndCause.
  cause @3 :UInt16;
  checkpoint @4 :Text;
}

struct RelayedAnswers {
  # The relay's steady clock when it sent them.
  clockMs @0 :Int64;
  answers @1 :List(RelayedAnswer);
}

# What a relay serves to one leader. It ends with the connection, or when the leader lets it go.
interface Relay {
  # Takes calls in; what becomes of them comes back through RelayAnswers.
  carry @0 (calls :RelayedCalls) -> (clockMs :Int64);
}

# What a leader serves to one relay.
interface RelayAnswers {
  take @0 (answers :RelayedAnswers) -> ();
}
