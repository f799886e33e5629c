// SPDX-License-Identifier: Apache-2.0
#include "libraries/wire/replication_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <string>
#include <utility>
#include <variant>

#include "libraries/wire/bounded_message.h"

namespace sumac::wire {
namespace {

using replication::AppendAnswer;
using replication::AppendRequest;
using replication::NodeId;
using replication::SnapshotAnswer;
using replication::SnapshotChunk;
using replication::TimeoutNow;
using replication::VoteAnswer;
using replication::VoteRequest;

SteadyTime SteadyFromMs(std::int64_t milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

std::int64_t ToMs(SteadyTime time) {
  return time.time_since_epoch().count();
}

std::set<NodeId> ReadNodes(capnp::List<capnp::Text>::Reader list) {
  std::set<NodeId> nodes;
  for (const auto node : list) {
    nodes.insert(NodeId(ToString(node)));
  }
  return nodes;
}

void WriteNodes(const std::set<NodeId>& nodes,
                capnp::List<capnp::Text>::Builder list) {
  unsigned position = 0;
  for (const NodeId& node : nodes) {
    list.set(position++, node.value());
  }
}

// Writes a body into the group for its type in the message.
struct BodyWriter {
  ReplicaMessage::Builder builder;

  void operator()(const VoteRequest& body) {
    auto group = this->builder.initVoteRequest();
    group.setIsPreVote(body.is_pre_vote);
    group.setIsHandOver(body.is_hand_over);
    group.setLastIndex(body.last_index.value());
    group.setLastTerm(body.last_term.value());
  }

  void operator()(const VoteAnswer& body) {
    auto group = this->builder.initVoteAnswer();
    group.setIsPreVote(body.is_pre_vote);
    group.setIsGranted(body.is_granted);
  }

  void operator()(const AppendRequest& body) {
    auto group = this->builder.initAppendRequest();
    group.setPreviousIndex(body.previous_index.value());
    group.setPreviousTerm(body.previous_term.value());
    group.setCommitIndex(body.commit_index.value());
    group.setIsUnderLease(body.is_under_lease);
    group.setSentAtMs(ToMs(body.sent_at));
    auto entries = group.initEntries(body.entries.size());
    for (unsigned position = 0; position < body.entries.size(); ++position) {
      WriteEntry(body.entries[position], entries[position]);
    }
    auto silences = group.initSilences(body.silences.size());
    for (unsigned position = 0; position < body.silences.size(); ++position) {
      const replication::MemberSilence& member = body.silences[position];
      silences[position].setNode(member.node.value());
      silences[position].setSilentMs(member.silence.count());
    }
  }

  void operator()(const AppendAnswer& body) {
    auto group = this->builder.initAppendAnswer();
    group.setIsAccepted(body.is_accepted);
    group.setMatchIndex(body.match_index.value());
    group.setSentAtMs(ToMs(body.sent_at));
    group.setSupportsJointQuorums(body.supports_joint_quorums);
  }

  void operator()(const SnapshotChunk& body) {
    auto group = this->builder.initSnapshotChunk();
    WriteSnapshotMeta(body.meta, group.initMeta());
    group.setOffset(body.offset);
    group.setData(ToData(body.data));
    group.setIsLast(body.is_last);
    group.setSentAtMs(ToMs(body.sent_at));
  }

  void operator()(const SnapshotAnswer& body) {
    auto group = this->builder.initSnapshotAnswer();
    group.setIndex(body.index.value());
    group.setNextOffset(body.next_offset);
    group.setIsInstalled(body.is_installed);
    group.setSentAtMs(ToMs(body.sent_at));
    group.setSupportsJointQuorums(body.supports_joint_quorums);
  }

  void operator()(const TimeoutNow& /*body*/) { this->builder.setTimeoutNow(); }
};

AppendRequest ReadAppendRequest(ReplicaMessage::AppendRequest::Reader group) {
  AppendRequest body{.previous_index = LogIndex(group.getPreviousIndex()),
                     .previous_term = Term(group.getPreviousTerm()),
                     .commit_index = LogIndex(group.getCommitIndex()),
                     .is_under_lease = group.getIsUnderLease(),
                     .sent_at = SteadyFromMs(group.getSentAtMs())};
  for (const auto entry : group.getEntries()) {
    body.entries.push_back(ReadEntry(entry));
  }
  for (const auto member : group.getSilences()) {
    body.silences.push_back({NodeId(ToString(member.getNode())),
                             Milliseconds(member.getSilentMs())});
  }
  return body;
}

SnapshotChunk ReadSnapshotChunk(ReplicaMessage::SnapshotChunk::Reader group) {
  return SnapshotChunk{.meta = ReadSnapshotMeta(group.getMeta()),
                       .offset = group.getOffset(),
                       .data = ToString(group.getData()),
                       .is_last = group.getIsLast(),
                       .sent_at = SteadyFromMs(group.getSentAtMs())};
}

decltype(replication::Message::body) ReadBody(ReplicaMessage::Reader reader) {
  switch (reader.which()) {
    case ReplicaMessage::VOTE_REQUEST: {
      const auto group = reader.getVoteRequest();
      return VoteRequest{group.getIsPreVote(), group.getIsHandOver(),
                         LogIndex(group.getLastIndex()),
                         Term(group.getLastTerm())};
    }
    case ReplicaMessage::VOTE_ANSWER: {
      const auto group = reader.getVoteAnswer();
      return VoteAnswer{group.getIsPreVote(), group.getIsGranted()};
    }
    case ReplicaMessage::APPEND_REQUEST:
      return ReadAppendRequest(reader.getAppendRequest());
    case ReplicaMessage::APPEND_ANSWER: {
      const auto group = reader.getAppendAnswer();
      return AppendAnswer{
          group.getIsAccepted(), LogIndex(group.getMatchIndex()),
          SteadyFromMs(group.getSentAtMs()), group.getSupportsJointQuorums()};
    }
    case ReplicaMessage::SNAPSHOT_CHUNK:
      return ReadSnapshotChunk(reader.getSnapshotChunk());
    case ReplicaMessage::SNAPSHOT_ANSWER: {
      const auto group = reader.getSnapshotAnswer();
      return SnapshotAnswer{LogIndex(group.getIndex()), group.getNextOffset(),
                            group.getIsInstalled(),
                            SteadyFromMs(group.getSentAtMs()),
                            group.getSupportsJointQuorums()};
    }
    case ReplicaMessage::TIMEOUT_NOW:
      return TimeoutNow{};
  }
  // A message of an unknown type, from a newer program. It is read as an answer
  // that grants no vote, which has no effect.
  return VoteAnswer{};
}

}  // namespace

void WriteMembership(const replication::Membership& membership,
                     Membership::Builder builder) {
  const auto& voters = membership.voters;
  const auto& outgoing = membership.outgoing_voters;
  if (membership.is_joint()) {
    WriteNodes(voters, builder.initIncomingVoters(voters.size()));
    WriteNodes(outgoing, builder.initOutgoingVoters(outgoing.size()));
  } else {
    WriteNodes(voters, builder.initVoters(voters.size()));
  }
  WriteNodes(membership.learners,
             builder.initLearners(membership.learners.size()));
}

replication::Membership ReadMembership(Membership::Reader reader) {
  const bool is_joint = reader.getOutgoingVoters().size() > 0;
  return replication::Membership{
      .voters =
          ReadNodes(is_joint ? reader.getIncomingVoters() : reader.getVoters()),
      .learners = ReadNodes(reader.getLearners()),
      .outgoing_voters = ReadNodes(reader.getOutgoingVoters())};
}

void WriteEntry(const replication::Entry& entry, Entry::Builder builder) {
  builder.setTerm(entry.term.value());
  builder.setIndex(entry.index.value());
  builder.setKind(static_cast<EntryKind>(entry.kind));
  if (entry.kind == replication::EntryKind::kCommand) {
    builder.setPayload(ToData(entry.payload));
  }
  if (entry.kind == replication::EntryKind::kMembership) {
    WriteMembership(entry.membership, builder.initMembership());
  }
}

replication::Entry ReadEntry(Entry::Reader reader) {
  replication::Entry entry{
      .term = Term(reader.getTerm()),
      .index = LogIndex(reader.getIndex()),
      .kind = static_cast<replication::EntryKind>(reader.getKind()),
      .payload = ToString(reader.getPayload())};
  if (entry.kind == replication::EntryKind::kMembership) {
    entry.membership = ReadMembership(reader.getMembership());
  }
  return entry;
}

void WriteSnapshotMeta(const replication::SnapshotMeta& meta,
                       SnapshotMeta::Builder builder) {
  builder.setIndex(meta.index.value());
  builder.setTerm(meta.term.value());
  WriteMembership(meta.membership, builder.initMembership());
}

replication::SnapshotMeta ReadSnapshotMeta(SnapshotMeta::Reader reader) {
  return replication::SnapshotMeta{LogIndex(reader.getIndex()),
                                   Term(reader.getTerm()),
                                   ReadMembership(reader.getMembership())};
}

void WriteMessage(const replication::Message& message,
                  ReplicaMessage::Builder builder) {
  builder.setFrom(message.from.value());
  builder.setTo(message.to.value());
  builder.setTerm(message.term.value());
  std::visit(BodyWriter{builder}, message.body);
}

replication::Message ReadMessage(ReplicaMessage::Reader reader) {
  return replication::Message{NodeId(ToString(reader.getFrom())),
                              NodeId(ToString(reader.getTo())),
                              Term(reader.getTerm()), ReadBody(reader)};
}

std::string PackMessage(const replication::Message& message) {
  capnp::MallocMessageBuilder builder;
  WriteMessage(message, builder.initRoot<ReplicaMessage>());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray().asChars();
  return std::string(bytes.begin(), bytes.size());
}

replication::Message UnpackMessage(capnp::Data::Reader bytes) {
  kj::ArrayInputStream stream(bytes);
  capnp::PackedMessageReader source(stream);
  BoundedMessage message(source);
  return ReadMessage(message.GetRoot<ReplicaMessage>());
}

std::string ToString(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

std::string ToString(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return capnp::Data::Reader(reinterpret_cast<const capnp::byte*>(bytes.data()),
                             bytes.size());
}

}  // namespace sumac::wire
