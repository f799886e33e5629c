// SPDX-License-Identifier: Apache-2.0
#include "libraries/wire/replication_codec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace sumac::wire {
namespace {

// Guards against a heartbeat that does not tell the next leader who is silent.
TEST(ReplicationCodecTest, AHeartbeatCarriesTheSilenceOfMembers) {
  const replication::AppendRequest heartbeat{
      .previous_index = LogIndex(7),
      .sent_at = SteadyTime(Milliseconds(12)),
      .silences = {{replication::NodeId("c2.1"), Milliseconds(1'300)},
                   {replication::NodeId("c3.1"), Milliseconds(400)}}};
  const std::string packed = PackMessage({.from = replication::NodeId("c1.1"),
                                          .to = replication::NodeId("c4.1"),
                                          .term = Term(3),
                                          .body = heartbeat});
  const replication::Message message = UnpackMessage(ToData(packed));
  const auto* read = std::get_if<replication::AppendRequest>(&message.body);
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->previous_index, heartbeat.previous_index);
  EXPECT_EQ(read->silences, heartbeat.silences);
}

replication::Membership MakeJointMembers() {
  const replication::NodeId c1("c1.1");
  const replication::NodeId c2("c2.1");
  const replication::NodeId c3("c3.1");
  const replication::NodeId c4("c4.1");
  return {.voters = {c2, c3, c4},
          .learners = {replication::NodeId("c5.1")},
          .outgoing_voters = {c1, c2, c3}};
}

// Guards against an exchange of voters that a restart, a snapshot or another
// controller takes for its end.
TEST(ReplicationCodecTest, AnExchangeOfVotersIsReadAsItWasWritten) {
  const replication::Membership members = MakeJointMembers();
  const replication::Entry entry{.term = Term(2),
                                 .index = LogIndex(5),
                                 .kind = replication::EntryKind::kMembership,
                                 .membership = members};
  capnp::MallocMessageBuilder builder;
  WriteEntry(entry, builder.initRoot<Entry>());
  EXPECT_EQ(ReadEntry(builder.getRoot<Entry>().asReader()), entry);

  const replication::SnapshotMeta meta{LogIndex(5), Term(2), members};
  capnp::MallocMessageBuilder snapshot;
  WriteSnapshotMeta(meta, snapshot.initRoot<SnapshotMeta>());
  EXPECT_EQ(ReadSnapshotMeta(snapshot.getRoot<SnapshotMeta>().asReader()),
            meta);
}

// Guards against a program of an earlier version that decides by the voters of
// one side: by the fields that it knows, nobody votes.
TEST(ReplicationCodecTest, AnExchangeNamesNoVotersToEarlierPrograms) {
  capnp::MallocMessageBuilder builder;
  WriteMembership(MakeJointMembers(), builder.initRoot<Membership>());
  const auto reader = builder.getRoot<Membership>().asReader();
  EXPECT_EQ(reader.getVoters().size(), 0U);
  EXPECT_EQ(reader.getLearners().size(), 1U);
}

// Guards against a member that counts as one of an earlier version, or the
// reverse.
TEST(ReplicationCodecTest, AnswersTellWhetherJointQuorumsAreKnown) {
  for (const bool supports : {true, false}) {
    const std::string packed =
        PackMessage({.from = replication::NodeId("c1.1"),
                     .to = replication::NodeId("c4.1"),
                     .term = Term(3),
                     .body = replication::AppendAnswer{.supports_joint_quorums =
                                                           supports}});
    const replication::Message message = UnpackMessage(ToData(packed));
    const auto* read = std::get_if<replication::AppendAnswer>(&message.body);
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(read->supports_joint_quorums, supports);
  }
}

}  // namespace
}  // namespace sumac::wire
