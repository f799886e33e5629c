// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <string>

#include "libraries/base/error.h"
#include "libraries/codec/cbor_cursor.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/nesting.h"

namespace sumac {
namespace {

constexpr std::size_t kDeep = 100'000;

std::string NestedLists(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// CBOR's list of one element, so often, around an empty list.
std::string NestedCbor(std::size_t depth) {
  return std::string(depth - 1, '\x81') + '\x80';
}

// Guards against a document that ends the process which writes a part of it
// into an error message.
TEST(NestingTest, ADeeplyNestedDocumentIsRefused) {
  const auto read =
      ParseJson(NestedLists(kDeep), "body", ResultCode::kBadRequest);
  ASSERT_FALSE(read.ok());
  EXPECT_EQ(CodeOf(read.status()), ResultCode::kBadRequest);
  EXPECT_NE(read.status().message().find("nested"), std::string::npos);
}

TEST(NestingTest, AnOrdinaryDepthIsRead) {
  EXPECT_TRUE(
      ParseJson(NestedLists(kMaxNesting), "body", ResultCode::kBadRequest)
          .ok());
  EXPECT_FALSE(
      ParseJson(NestedLists(kMaxNesting + 1), "body", ResultCode::kBadRequest)
          .ok());
}

TEST(NestingTest, OnlyListsAndObjectsThatAreOpenCount) {
  EXPECT_FALSE(IsNestedDeeperThan("[[],[],{},{\"a\":[]}]", 3));
  EXPECT_TRUE(IsNestedDeeperThan("[[],[],{},{\"a\":[]}]", 2));
  EXPECT_TRUE(IsNestedDeeperThan("{\"a\":{\"b\":{}}}", 2));
}

TEST(NestingTest, BracketsInStringsDoNotCount) {
  EXPECT_FALSE(IsNestedDeeperThan(R"(["[[[[\"[[[[", "\\"])", 1));
  EXPECT_TRUE(IsNestedDeeperThan(R"(["\\",[])", 1));
}

TEST(NestingTest, DeeplyNestedCborIsRefused) {
  EXPECT_FALSE(ParseCbor(NestedCbor(kDeep), "answer").ok());
  EXPECT_TRUE(ParseCbor(NestedCbor(kMaxNesting), "answer").ok());
  const std::string bytes = NestedCbor(kMaxNesting + 1);
  EXPECT_FALSE(internal::CborCursor(bytes).Skip());
}

}  // namespace
}  // namespace sumac
