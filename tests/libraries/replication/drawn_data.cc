// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/drawn_data.h"

#include <rapidcheck.h>

#include <limits>
#include <set>
#include <utility>

namespace sumac::replication {
namespace {

constexpr std::size_t kMaxNodes = 9;
constexpr std::size_t kMaxNodeBytes = 40;
constexpr std::size_t kMaxBytes = 5'000;
constexpr std::size_t kMaxListLength = 6;

std::size_t DrawSize(std::size_t max) {
  return *rc::gen::inRange<std::size_t>(0, max + 1);
}

bool DrawBool() {
  return *rc::gen::arbitrary<bool>();
}

SteadyTime DrawTime() {
  using Number = std::int64_t;
  return SteadyTime(Milliseconds(*rc::gen::oneOf(
      rc::gen::arbitrary<Number>(),
      rc::gen::element<Number>(std::numeric_limits<Number>::min(),
                               std::numeric_limits<Number>::max()))));
}

NodeId DrawNode() {
  return NodeId(*rc::gen::container<std::string>(1 + DrawSize(kMaxNodeBytes),
                                                 rc::gen::inRange('!', '~')));
}

std::set<NodeId> DrawNodes(std::size_t min) {
  std::set<NodeId> nodes;
  const std::size_t count = min + DrawSize(kMaxNodes - min);
  while (nodes.size() < count) {
    nodes.insert(DrawNode());
  }
  return nodes;
}

SnapshotMeta DrawSnapshotMeta() {
  return {LogIndex(DrawNumber()), Term(DrawNumber()), DrawMembership()};
}

AppendRequest DrawAppendRequest() {
  AppendRequest body{.previous_index = LogIndex(DrawNumber()),
                     .previous_term = Term(DrawNumber()),
                     .commit_index = LogIndex(DrawNumber()),
                     .is_under_lease = DrawBool(),
                     .sent_at = DrawTime()};
  for (std::size_t left = DrawSize(kMaxListLength); left > 0; --left) {
    body.entries.push_back(DrawEntry());
  }
  for (std::size_t left = DrawSize(kMaxListLength); left > 0; --left) {
    body.silences.push_back({DrawNode(), DrawTime().time_since_epoch()});
  }
  return body;
}

decltype(Message::body) DrawBody() {
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return VoteRequest{DrawBool(), DrawBool(), LogIndex(DrawNumber()),
                         Term(DrawNumber())};
    case 1:
      return VoteAnswer{DrawBool(), DrawBool()};
    case 2:
      return DrawAppendRequest();
    case 3:
      return AppendAnswer{DrawBool(), LogIndex(DrawNumber()), DrawTime(),
                          DrawBool()};
    case 4:
      return SnapshotChunk{DrawSnapshotMeta(), DrawNumber(), DrawBytes(),
                           DrawBool(), DrawTime()};
    case 5:
      return SnapshotAnswer{LogIndex(DrawNumber()), DrawNumber(), DrawBool(),
                            DrawTime(), DrawBool()};
    default:
      return TimeoutNow{};
  }
}

}  // namespace

std::uint64_t DrawNumber() {
  using Limits = std::numeric_limits<std::uint64_t>;
  return *rc::gen::oneOf(
      rc::gen::arbitrary<std::uint64_t>(),
      rc::gen::element<std::uint64_t>(0, 1, Limits::max() / 2,
                                      Limits::max() / 2 + 1, Limits::max()));
}

std::string DrawBytes() {
  const std::size_t size = DrawBool() ? DrawSize(kMaxBytes) : DrawSize(3);
  return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

Membership DrawMembership() {
  Membership members{.voters = DrawNodes(0), .learners = DrawNodes(0)};
  if (DrawBool()) {
    members.outgoing_voters = DrawNodes(1);
  }
  return members;
}

Entry DrawEntry() {
  Entry entry{
      .term = Term(DrawNumber()),
      .index = LogIndex(DrawNumber()),
      .kind = *rc::gen::element(EntryKind::kCommand, EntryKind::kMembership,
                                EntryKind::kLeaderStart)};
  if (entry.kind == EntryKind::kCommand) {
    entry.payload = DrawBytes();
  } else if (entry.kind == EntryKind::kMembership) {
    entry.membership = DrawMembership();
  }
  return entry;
}

HardState DrawHardState() {
  HardState state{.term = Term(DrawNumber())};
  if (DrawBool()) {
    state.voted_for = DrawNode();
  }
  return state;
}

Snapshot DrawSnapshot() {
  return {DrawSnapshotMeta(), DrawBytes()};
}

Message DrawMessage() {
  return {DrawNode(), DrawNode(), Term(DrawNumber()), DrawBody()};
}

}  // namespace sumac::replication
