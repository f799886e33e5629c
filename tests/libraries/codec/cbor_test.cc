// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"

namespace sumac {

enum class Shape { kRound, kSquare };

template <>
struct EnumNames<Shape> {
  static constexpr std::array kNames = {
      EnumName<Shape>{Shape::kRound, "round"},
      EnumName<Shape>{Shape::kSquare, "square"}};
};

namespace {

constexpr double kWide = 1e18;

struct Leaf {
  static constexpr std::string_view kTypeName = "leaf";
  std::int64_t number = 0;
  std::optional<std::uint64_t> count;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("number", self.number, Limits{-kWide, kWide});
    visitor.Field("count", self.count);
  }
};

struct Note {
  static constexpr std::string_view kTypeName = "note";
  std::string text;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("text", self.text);
  }
};

struct Tree {
  JobId id;
  std::uint32_t slots = 1;
  bool is_good = false;
  Milliseconds wait{5};
  WallTime at{};
  std::vector<Leaf> leaves;
  std::map<PoolName, Leaf> by_name;
  std::map<RunNumber, std::string> by_number;
  std::set<std::string> names;
  std::variant<Leaf, Note> either;
  Shape shape = Shape::kRound;
  nlohmann::json document;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("id", self.id);
    visitor.Field("slots", self.slots, Limits{1, 64});
    visitor.Field("is_good", self.is_good);
    visitor.Field("wait_ms", self.wait, Limits{-kWide, kWide});
    visitor.Field("at", self.at);
    visitor.Field("leaves", self.leaves);
    visitor.Field("by_name", self.by_name);
    visitor.Field("by_number", self.by_number);
    visitor.Field("names", self.names);
    visitor.Field("either", self.either);
    visitor.Field("shape", self.shape);
    visitor.Field("document", self.document);
  }
};

std::string AnyText() {
  return *rc::gen::string<std::string>();
}

Leaf AnyLeaf() {
  Leaf leaf;
  leaf.number = *rc::gen::inRange<std::int64_t>(-1LL << 52, 1LL << 52);
  if (*rc::gen::arbitrary<bool>()) {
    leaf.count = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 52);
  }
  return leaf;
}

Tree AnyTree() {
  constexpr int kMaxItems = 30;
  Tree tree;
  tree.id = JobId(AnyText());
  tree.slots = *rc::gen::inRange<std::uint32_t>(1, 65);
  tree.is_good = *rc::gen::arbitrary<bool>();
  tree.wait = Milliseconds(*rc::gen::arbitrary<std::int32_t>());
  tree.at =
      WallTime(Milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 41)));
  const int count = *rc::gen::inRange(0, kMaxItems);
  for (int place = 0; place < count; ++place) {
    tree.leaves.push_back(AnyLeaf());
    tree.by_name[PoolName("pool-" + std::to_string(place))] = AnyLeaf();
    tree.by_number[RunNumber(static_cast<std::uint64_t>(place) * 977)] = "run";
    tree.names.insert("name-" + std::to_string(place));
  }
  if (*rc::gen::arbitrary<bool>()) {
    tree.either = Note{"a note"};
  }
  tree.shape = *rc::gen::element(Shape::kRound, Shape::kSquare);
  tree.document = {{"half", 0.5}, {"list", {1, -2, "x", nullptr, true}}};
  return tree;
}

std::string EncodeByTree(const Tree& tree) {
  std::string bytes;
  nlohmann::json::to_cbor(ToJson(tree), bytes);
  return bytes;
}

// Reads the bytes by way of a JSON tree. Returns the record as JSON, or the
// error message.
std::string ReadByTree(const std::string& bytes) {
  const absl::StatusOr<nlohmann::json> json = ParseCbor(bytes, "bytes");
  if (!json.ok()) {
    return std::string(json.status().message());
  }
  const auto read = FromOwnJson<Tree>(*json, "bytes");
  return read.ok()
             ? ToJson(*read).dump(-1, ' ', true,
                                  nlohmann::json::error_handler_t::replace)
             : std::string(read.status().message());
}

std::string Read(const std::string& bytes) {
  const auto read = FromCbor<Tree>(bytes, "bytes");
  return read.ok()
             ? ToJson(*read).dump(-1, ' ', true,
                                  nlohmann::json::error_handler_t::replace)
             : std::string(read.status().message());
}

RC_GTEST_PROP(CborTest, WriterOutputEqualsTheJsonTree, ()) {
  const Tree tree = AnyTree();
  RC_ASSERT(nlohmann::json::from_cbor(ToCbor(tree)) == ToJson(tree));
}

RC_GTEST_PROP(CborTest, WriterOutputIsReadWithoutAJsonTree, ()) {
  const Tree tree = AnyTree();
  for (const std::string& bytes : {ToCbor(tree), EncodeByTree(tree)}) {
    internal::CborCursor cursor(bytes);
    Tree read;
    RC_ASSERT(internal::ReadCborValue(cursor, read));
    RC_ASSERT(cursor.is_at_end());
    RC_ASSERT(ToJson(read) == ToJson(tree));
  }
}

// Bytes that are damaged, or written by another encoder, must give the same
// record or error as by way of a JSON tree.
RC_GTEST_PROP(CborTest, DamagedBytesReadAsByATree, ()) {
  std::string bytes = ToCbor(AnyTree());
  const int changes = *rc::gen::inRange(1, 4);
  for (int change = 0; change < changes && !bytes.empty(); ++change) {
    const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        bytes[place] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        bytes.erase(place);
        break;
      default:
        bytes.insert(place, 1, *rc::gen::arbitrary<char>());
    }
  }
  RC_ASSERT(Read(bytes) == ReadByTree(bytes));
}

TEST(CborTest, NumbersTakeTheShortestForm) {
  constexpr std::uint64_t kLargest = 1ULL << 53;
  for (const std::uint64_t number :
       {std::uint64_t{0}, std::uint64_t{23}, std::uint64_t{24},
        std::uint64_t{255}, std::uint64_t{256}, std::uint64_t{65'535},
        std::uint64_t{65'536}, std::uint64_t{4'294'967'295},
        std::uint64_t{4'294'967'296}, kLargest}) {
    std::string by_tree;
    nlohmann::json::to_cbor(nlohmann::json(number), by_tree);
    EXPECT_EQ(ToCbor(number), by_tree) << number;
    EXPECT_EQ(*FromCbor<std::uint64_t>(by_tree, "bytes"), number);
  }
}

TEST(CborTest, DeepNestingDoesNotOverflowTheStack) {
  constexpr std::size_t kDeep = 1'000'000;
  internal::CborCursor cursor{std::string_view()};
  EXPECT_FALSE(cursor.Skip());
  const std::string lists(kDeep, '\x81');
  internal::CborCursor deep(lists);
  EXPECT_FALSE(deep.Skip());
}

TEST(CborTest, ASizeBeyondTheBytesIsRefused) {
  const std::string bytes("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9);
  EXPECT_FALSE(FromCbor<Tree>(bytes, "bytes").ok());
}

}  // namespace
}  // namespace sumac
