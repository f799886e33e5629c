// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"

namespace sumac {

enum class Colour { kRed, kBlue };

template <>
struct EnumNames<Colour> {
  static constexpr std::array kNames = {
      EnumName<Colour>{Colour::kRed, "red"},
      EnumName<Colour>{Colour::kBlue, "blue"}};
};

namespace {

struct Inner {
  static constexpr std::string_view kTypeName = "inner";
  std::int64_t number = 0;

  bool operator==(const Inner&) const = default;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("number", self.number, Limits{-1e15, 1e15});
  }
};

struct Other {
  static constexpr std::string_view kTypeName = "other";
  std::string text;

  bool operator==(const Other&) const = default;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("text", self.text);
  }
};

struct Outer {
  JobId id;
  std::uint32_t slots = 1;
  Milliseconds wait{5};
  std::optional<Inner> maybe;
  std::vector<Inner> list;
  std::map<PoolName, Inner> map;
  std::variant<Inner, Other> either;
  Colour colour = Colour::kRed;

  bool operator==(const Outer&) const = default;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("id", self.id);
    visitor.Field("slots", self.slots, Limits{1, 64});
    visitor.Field("wait_ms", self.wait, Limits{-1e15, 1e15});
    visitor.Field("maybe", self.maybe);
    visitor.Field("list", self.list);
    visitor.Field("map", self.map);
    visitor.Field("either", self.either);
    visitor.Field("colour", self.colour);
  }
};

std::string ErrorOf(const std::string& text) {
  const auto json = ParseJson(text, "file", ResultCode::kSettingsInvalid);
  EXPECT_TRUE(json.ok());
  const auto read = FromJson<Outer>(*json, "file", UnknownKeys::kRefuse);
  return read.ok() ? "" : std::string(read.status().message());
}

RC_GTEST_PROP(CodecTest, CborKeepsEveryRecord, ()) {
  Outer outer;
  outer.id = JobId(*rc::gen::arbitrary<std::string>());
  outer.slots = *rc::gen::inRange(1U, 65U);
  outer.wait =
      Milliseconds(*rc::gen::inRange<std::int64_t>(-1'000'000, 1'000'000));
  if (*rc::gen::arbitrary<bool>()) {
    outer.maybe = Inner{*rc::gen::inRange<std::int64_t>(-1000, 1000)};
  }
  const auto numbers =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(-5, 5));
  for (const int number : numbers) {
    outer.list.push_back(Inner{number});
    outer.map[PoolName(std::to_string(number))] = Inner{number};
  }
  if (*rc::gen::arbitrary<bool>()) {
    outer.either = Other{*rc::gen::arbitrary<std::string>()};
  }
  outer.colour = *rc::gen::element(Colour::kRed, Colour::kBlue);
  const auto read = FromCbor<Outer>(ToCbor(outer), "test");
  RC_ASSERT(read.ok());
  RC_ASSERT(*read == outer);
}

// Guards against a damaged log entry or message that ends its reader with an
// exception.
TEST(CodecTest, ATypeThatIsNoTextIsRefused) {
  for (const nlohmann::json& type :
       {nlohmann::json(5), nlohmann::json(nullptr), nlohmann::json::array()}) {
    const nlohmann::json json = {{"type", type}, {"text", "x"}};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto read = FromCbor<std::variant<Inner, Other>>(bytes, "bytes");
    EXPECT_EQ(read.status().message(),
              "bytes: /type: found " + type.dump() + ", allowed: a known type");
  }
}

// Guards against a large number that is read as another one, such as an amount
// of resources that is read as a negative one.
TEST(CodecTest, ANumberThatItsTypeCannotHoldIsRefused) {
  const auto is_read = []<typename T>(std::string_view text, T /*type*/) {
    const nlohmann::json json = nlohmann::json::parse(text);
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const bool is_read_as_json =
        FromJson<T>(json, "test", UnknownKeys::kRefuse).ok();
    EXPECT_EQ(FromCbor<T>(bytes, "test").ok(), is_read_as_json) << text;
    return is_read_as_json;
  };
  EXPECT_TRUE(is_read("9223372036854775807", std::int64_t{}));
  EXPECT_FALSE(is_read("9223372036854775808", std::int64_t{}));
  EXPECT_FALSE(is_read("18446744073709551615", Milliseconds{}));
  EXPECT_TRUE(is_read("18446744073709551615", std::uint64_t{}));
  EXPECT_FALSE(is_read("18446744073709551616", std::uint64_t{}));
  EXPECT_TRUE(is_read("4294967295", std::uint32_t{}));
  EXPECT_FALSE(is_read("4294967296", std::uint32_t{}));
  EXPECT_FALSE(is_read("-1", std::uint32_t{}));
  const auto read = FromJson<std::uint16_t>(nlohmann::json(65'536), "test",
                                            UnknownKeys::kRefuse);
  EXPECT_EQ(read.status().message(),
            "test: /: found 65536, allowed: a whole number from 0 to 65535");
}

TEST(CodecTest, ErrorsNameFileKeyFoundAndAllowed) {
  EXPECT_EQ(ErrorOf("{}"),
            "file: /id: found nothing, allowed: a value is required");
  EXPECT_EQ(ErrorOf(R"({"id":"a","slots":65})"),
            "file: /slots: found 65, allowed: a whole number from 1 to 64");
  EXPECT_EQ(ErrorOf(R"({"id":"a","slots":"5"})"),
            "file: /slots: found \"5\", allowed: a whole number from 1 to 64");
  EXPECT_EQ(ErrorOf(R"({"id":"a","slots":1.5})"),
            "file: /slots: found 1.5, allowed: a whole number from 1 to 64");
  EXPECT_EQ(ErrorOf(R"({"id":"a","list":[{"number":true}]})"),
            "file: /list/0/number: found true, allowed: a whole number from "
            "-1e+15 to 1e+15");
  EXPECT_EQ(ErrorOf(R"({"id":"a","colour":"green"})"),
            "file: /colour: found \"green\", allowed: one of red blue");
  EXPECT_EQ(ErrorOf(R"({"id":"a","either":{"type":"third"}})"),
            "file: /either/type: found third, allowed: a known type");
}

TEST(CodecTest, UnknownKeysAreErrorsInFilesAndPassedOverInRecords) {
  EXPECT_EQ(ErrorOf(R"({"id":"a","slot":1})"), "file: /slot: unknown key");
  EXPECT_EQ(ErrorOf(R"({"id":"a","map":{"p":{"numbr":1}}})"),
            "file: /map/p/numbr: unknown key");
  const nlohmann::json newer = {{"id", "a"}, {"added_later", 1}};
  EXPECT_TRUE(FromJson<Outer>(newer, "log", UnknownKeys::kIgnore).ok());
}

TEST(CodecTest, BrokenBytesAreErrors) {
  EXPECT_FALSE(ParseJson("{\"a\":", "file", ResultCode::kSettingsInvalid).ok());
  const std::string good = ToCbor(Outer{});
  for (std::size_t length = 0; length < good.size(); ++length) {
    EXPECT_FALSE(FromCbor<Outer>(good.substr(0, length), "cut").ok()) << length;
  }
}

// The answer to a sender quoted the library's exception, with its name and what
// the parser expected.
TEST(JsonTest, TextThatIsNoJsonIsNamedByItsPlace) {
  for (const auto& [text, message] :
       {std::pair("{\"a\":}", "file: not JSON at byte 6"),
        std::pair("[1e999]", "file: a number is beyond the range of numbers"),
        std::pair("\xff", "file: not JSON at byte 1")}) {
    const auto parsed = ParseJson(text, "file", ResultCode::kBadRequest);
    EXPECT_EQ(std::string(parsed.status().message()), message);
    EXPECT_EQ(CodeOf(parsed.status()), ResultCode::kBadRequest);
  }
}

}  // namespace
}  // namespace sumac
