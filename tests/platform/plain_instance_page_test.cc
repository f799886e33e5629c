// SPDX-License-Identifier: Apache-2.0
// The fast parser of instance pages must give the same result as the complete
// parser for every page that it accepts.
#include "platform/plain_instance_page.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/wire_codec.h"

namespace sumac::platform {
namespace {

// Returns values of a wrong type for some fields, and some that are not JSON.
const std::vector<std::string>& StrangeValues() {
  static const std::vector<std::string> kValues = {
      "null",
      "true",
      "false",
      "truex",
      "nul",
      "",
      "0",
      "7",
      "007",
      "-1",
      "-0",
      "1.5",
      "1e3",
      "1.",
      "999999999999999",
      "1000000000000000",
      "9223372036854775807",
      "9223372036854775808",
      "18446744073709551616",
      "\"\"",
      "\"a\\\"b\"",
      "\"\\u0041\"",
      "\"\\x\"",
      "\"\xC3\xA4\"",
      "\"\xFF\"",
      "\"\t\"",
      "\"\x7F\"",
      "\"open",
      "[]",
      "{}",
      "[1,]",
      "[,]",
      "{\"a\":1,}",
      "{\"a\"}",
      "{1:2}",
      "[\"a\",1]",
      "[[[[[[[[[[[[[[[[[[[[\"deep\"]]]]]]]]]]]]]]]]]]]]",
      "{\"cpu\":1,\"cpu\":2}",
      "{\"cpu\":\"4\"}",
      "{\"cpu\":-4,\"mem_mb\":1}",
      "{\"gpu\":1.0}",
      "{\"machine\":\"m-9\"}"};
  return kValues;
}

rc::Gen<std::string> GenSpace() {
  return rc::gen::weightedElement<std::string>(
      {{8, ""}, {1, " "}, {1, "\n\t"}, {1, "\r "}});
}

rc::Gen<std::string> GenName() {
  return rc::gen::map(rc::gen::inRange(0, 30), [](int number) {
    return "\"m-" + std::to_string(number) + "\"";
  });
}

rc::Gen<std::string> GenCapacity() {
  return rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, 100'000), rc::gen::inRange(0, 4)),
      [](const std::pair<int, int>& counts) {
        return "{\"cpu\":" + std::to_string(counts.first) +
               ",\"mem_mb\":32768,\"gpu\":" + std::to_string(counts.second) +
               "}";
      });
}

// Returns a valid value for a field.
std::string GoodValue(const std::string& key) {
  if (key == "machine") {
    return *GenName();
  }
  if (key == "state") {
    return *rc::gen::element<std::string>("\"up\"", "\"moving\"", "\"upkeep\"",
                                          "\"down\"", "\"resting\"");
  }
  if (key == "capacity") {
    return *GenCapacity();
  }
  if (key == "labels") {
    return *rc::gen::element<std::string>("[]", "[\"a\"]",
                                          "[ \"a\" , \"r1-3\"]");
  }
  if (key == "id") {
    return *rc::gen::element<std::string>("null", "\"i-1\"", "\"i-27\"");
  }
  if (key == "zone") {
    return *rc::gen::element<std::string>("null", "\"z-a\"", "\"z-b\"", "12");
  }
  return *rc::gen::element<std::string>("\"x\"", "12", "{\"a\":[1,null]}");
}

// Generates an object whose fields are mostly valid. Occasionally a field is
// missing, repeated, or has a strange value.
std::string GenObject(const std::vector<std::string>& keys, int strange) {
  std::string text = "{";
  std::string separator;
  for (const std::string& key : keys) {
    const int luck = *rc::gen::inRange(0, 100);
    const int copies = luck == 0 ? 0 : luck == 1 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const bool is_strange = *rc::gen::inRange(0, 100) < strange;
      const std::string before_name = *GenSpace();
      const std::string after_name = *GenSpace();
      const std::string before_value = *GenSpace();
      const std::string value =
          is_strange ? *rc::gen::elementOf(StrangeValues()) : GoodValue(key);
      text.append(separator).append(before_name).append("\"").append(key);
      text.append("\"").append(after_name).append(":").append(before_value);
      text.append(value).append(*GenSpace());
      separator = ",";
    }
  }
  return text + "}";
}

std::string GenPage(int strange) {
  const std::vector<std::string> keys = {"machine", "pool",     "state", "zone",
                                         "labels",  "capacity", "id"};
  const int rows = *rc::gen::inRange(0, 6);
  std::string list = "[";
  for (int row = 0; row < rows; ++row) {
    list += (row == 0 ? "" : ",") +
            (*rc::gen::inRange(0, 200) < strange
                 ? *rc::gen::elementOf(StrangeValues())
                 : GenObject(keys, strange)) +
            *GenSpace();
  }
  const std::string token =
      *rc::gen::element<std::string>("null", "\"\"", "\"t-2\"");
  return *GenSpace() + "{\"machines\":" + list + "],\"next_token\":" + token +
         "}" + *GenSpace();
}

std::string Damage(std::string text) {
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto length = *rc::gen::inRange<std::size_t>(1, 12);
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      text.resize(place);
      break;
    case 1:
      text.erase(place, length);
      break;
    case 2:
      text.insert(place, text.substr(place, length));
      break;
    case 3:
      text.insert(place, *rc::gen::elementOf(StrangeValues()));
      break;
    default:
      text[place] = *rc::gen::arbitrary<char>();
  }
  return text;
}

void ExpectSame(const maintenance::InstancePage& page,
                const maintenance::InstancePage& expected) {
  RC_ASSERT(page.nameless_rows == expected.nameless_rows);
  RC_ASSERT(page.next_token == expected.next_token);
  RC_ASSERT(page.instances.size() == expected.instances.size());
  for (std::size_t row = 0; row < page.instances.size(); ++row) {
    const maintenance::ListedInstance& one = page.instances[row];
    const maintenance::ListedInstance& other = expected.instances[row];
    RC_ASSERT(one.name == other.name);
    RC_ASSERT(one.service == other.service);
    RC_ASSERT(one.data_centre == other.data_centre);
    RC_ASSERT(one.state == other.state);
    RC_ASSERT(one.capacity == other.capacity);
    RC_ASSERT(one.labels == other.labels);
    RC_ASSERT(one.worker == other.worker);
  }
}

// Checks that both parsers give the same result for the text.
void CheckReading(const std::string& text) {
  const auto expected = ReadAnyInstancePage(text);
  const auto plain = ReadPlainInstancePage(text);
  const auto read = ReadInstancePage(text);
  RC_TAG(plain ? "plain" : expected.ok() ? "other" : "unreadable");
  RC_ASSERT(read.ok() == expected.ok());
  if (!expected.ok()) {
    RC_ASSERT(!plain);
    RC_ASSERT(read.status() == expected.status());
    return;
  }
  ExpectSame(*read, *expected);
  if (plain) {
    ExpectSame(*plain, *expected);
  }
}

RC_GTEST_PROP(PlainInstancePageTest, ReadsWholePagesLikeACompleteParser, ()) {
  CheckReading(GenPage(0));
}

RC_GTEST_PROP(PlainInstancePageTest, ReadsStrangePagesLikeACompleteParser, ()) {
  CheckReading(GenPage(*rc::gen::inRange(1, 12)));
}

RC_GTEST_PROP(PlainInstancePageTest, ReadsDamagedPagesLikeACompleteParser, ()) {
  std::string text = GenPage(0);
  const int damages = *rc::gen::inRange(1, 4);
  for (int damage = 0; damage < damages && !text.empty(); ++damage) {
    text = Damage(std::move(text));
  }
  CheckReading(text);
}

TEST(PlainInstancePageTest, EachStrangeValueIsReadLikeByACompleteParser) {
  const std::vector<std::string> keys = {"machine", "pool",     "state", "zone",
                                         "labels",  "capacity", "id"};
  const std::vector<std::string> good = {
      "\"m-1\"", "\"p\"", "\"up\"", "\"z\"", "[\"a\"]", "{\"cpu\":1}", "null"};
  for (std::size_t strange = 0; strange < keys.size(); ++strange) {
    for (const std::string& value : StrangeValues()) {
      std::string row;
      for (std::size_t key = 0; key < keys.size(); ++key) {
        row += (key == 0 ? "\"" : ",\"") + keys[key] +
               "\":" + (key == strange ? value : good[key]);
      }
      const std::string text =
          "{\"machines\":[{" + row + "}],\"next_token\":\"t\"}";
      const auto expected = ReadAnyInstancePage(text);
      const auto read = ReadInstancePage(text);
      ASSERT_EQ(read.status(), expected.status()) << text;
      if (!expected.ok()) {
        EXPECT_FALSE(ReadPlainInstancePage(text)) << text;
        continue;
      }
      ASSERT_EQ(read->nameless_rows, expected->nameless_rows) << text;
      ASSERT_EQ(read->instances.size(), expected->instances.size()) << text;
      if (!read->instances.empty()) {
        EXPECT_EQ(read->instances[0].name, expected->instances[0].name) << text;
        EXPECT_EQ(read->instances[0].state, expected->instances[0].state)
            << text;
        EXPECT_EQ(read->instances[0].capacity, expected->instances[0].capacity)
            << text;
        EXPECT_EQ(read->instances[0].labels, expected->instances[0].labels)
            << text;
        EXPECT_EQ(read->instances[0].worker, expected->instances[0].worker)
            << text;
      }
    }
  }
}

// A page in the platform's usual form must be accepted by the fast parser.
TEST(PlainInstancePageTest, AWholePageIsPlain) {
  const auto page = ReadPlainInstancePage(
      R"({"machines":[{"machine":"m-1","pool":"p","state":"upkeep","zone":"z",
          "labels":["a","r1"],"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
          "id":null}],"next_token":"t"})");
  ASSERT_TRUE(page);
  EXPECT_EQ(page->instances.size(), 1U);
}

}  // namespace
}  // namespace sumac::platform
