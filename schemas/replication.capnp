# SPDX-License-Identifier: Apache-2.0
# What controllers write to disk and send each other. Fields are only ever added.
@0xc1c8f2a35b7d9e01;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sumac::wire");

enum EntryKind {
  command @0;
  membership @1;
  leaderStart @2;
}

struct Membership {
  # Empty during an exchange of voters, so that a program that doesn't know joint quorums never stands for
  # election by this entry.
  voters @0 :List(Text);
  learners @1 :List(Text);
  # The voters after and before the exchange that is under way; empty if none is.
  incomingVoters @2 :List(Text);
  outgoingVoters @3 :List(Text);
}

struct Entry {
  term @0 :UInt64;
  index @1 :UInt64;
  kind @2 :EntryKind;
  payload @3 :Data;
  membership @4 :Membership;
}

struct HardState {
  term @0 :UInt64;
  votedFor @1 :Text;
  # Empty when no vote was given in this term.
}

struct SnapshotMeta {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :Membership;
}

struct SnapshotFile {
  meta @0 :SnapshotMeta;
  state @1 :Data;
}

struct LogRecord {
  union {
    entry @0 :Entry;
    hardState @1 :HardState;
    # All entries from this position on are void.
    truncateFrom @2 :UInt64;
  }
}

struct MemberSilence {
  node @0 :Text;
  silentMs @1 :Int64;
}

struct ReplicaMessage {
  from @0 :Text;
  to @1 :Text;
  term @2 :UInt64;
  union {
    voteRequest :group {
      isPreVote @3 :Bool;
      isHandOver @4 :Bool;
      lastIndex @5 :UInt64;
      lastTerm @6 :UInt64;
    }
    voteAnswer :group {
      isPreVote @7 :Bool;
      isGranted @8 :Bool;
    }
    appendRequest :group {
      previousIndex @9 :UInt64;
      previousTerm @10 :UInt64;
      commitIndex @11 :UInt64;
      entries @12 :List(Entry);
      sentAtMs @13 :Int64;
      isUnderLease @27 :Bool;
      # The members that have missed heartbeats, for the next leader.
      silences @28 :List(MemberSilence);
    }
    appendAnswer :group {
      isAccepted @14 :Bool;
      matchIndex @15 :UInt64;
      sentAtMs @16 :Int64;
      supportsJointQuorums @29 :Bool;
    }
    snapshotChunk :group {
      meta @17 :SnapshotMeta;
      offset @18 :UInt64;
      data @19 :Data;
      isLast @20 :Bool;
      sentAtMs @21 :Int64;
    }
    snapshotAnswer :group {
      index @22 :UInt64;
      nextOffset @23 :UInt64;
      isInstalled @24 :Bool;
      sentAtMs @25 :Int64;
      supportsJointQuorums @30 :Bool;
    }
    timeoutNow @26 :Void;
  }
}
