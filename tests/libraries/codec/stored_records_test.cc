// SPDX-License-Identifier: Apache-2.0
// Guards against a process that can't read what it or another process wrote: a
// log, a snapshot or a message. Any value of a field counts, since the writer
// checks none.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <concepts>
#include <string>
#include <variant>
#include <vector>

#include "libraries/codec/cbor_reader.h"
#include "libraries/codec/cbor_writer.h"
#include "libraries/codec/json_reader.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/fleet_state.h"
#include "libraries/fleet/soft_state.h"
#include "libraries/fleet/view.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/jobs/requests.h"
#include "libraries/storage/identity.h"
#include "tests/libraries/codec/arbitrary_record.h"

namespace sumac {
namespace {

// Checks that a value reads as it was written. A reading that has no equality
// is compared by what is written for it.
template <typename T>
void CheckThatItIsRead(const T& value) {
  const std::string bytes = ToCbor(value);
  const absl::StatusOr<T> read = FromCbor<T>(bytes, "bytes");
  RC_ASSERT(read.status() == absl::OkStatus());
  if constexpr (Described<T> && std::equality_comparable<T>) {
    RC_ASSERT(*read == value);
  }
  RC_ASSERT(ToCbor(*read) == bytes);
}

template <typename T>
class StoredRecordsTest : public testing::Test {};

using StoredRecords = testing::Types<jobs::StampedCommand,
                                     jobs::JobsRecord,
                                     jobs::Request,
                                     fleet::StampedCommand,
                                     fleet::Command,
                                     fleet::FleetRecord,
                                     fleet::View,
                                     fleet::RoutedMinion,
                                     fleet::TargetDescription,
                                     jobs::Resources,
                                     fleet::Decision,
                                     fleet::Claim,
                                     std::vector<fleet::Announcement>,
                                     std::vector<fleet::TargetOrders>>;
TYPED_TEST_SUITE(StoredRecordsTest, StoredRecords);

TYPED_TEST(StoredRecordsTest, WhatIsWrittenIsReadAsItWas) {
  EXPECT_TRUE(rc::check([] { CheckThatItIsRead(DrawAny<TypeParam>()); }));
}

template <typename Any, typename Command>
void CheckCommand() {
  EXPECT_TRUE(rc::check(std::string(Command::kTypeName),
                        [] { CheckThatItIsRead(Any(DrawAny<Command>())); }));
}

// Draws each command as often as the others.
template <typename... Commands>
void CheckEachOf(const std::variant<Commands...>& /*kind*/) {
  (CheckCommand<std::variant<Commands...>, Commands>(), ...);
}

// Guards against a command that is committed and that no replica can apply.
TEST(StoredCommandsTest, EachCommandAboutJobsIsReadAsItWas) {
  CheckEachOf(jobs::Command());
}

// Guards against a command that is committed and that no replica can apply.
TEST(StoredCommandsTest, EachCommandAboutTheFleetIsReadAsItWas) {
  CheckEachOf(fleet::Command());
}

// Guards against limits that operators' input loses because what the system
// itself wrote is read without them.
TEST(StoredRecordsLimitsTest, InputKeepsTheLimitsThatWhatIsStoredHasNot) {
  fleet::Declaration declaration;
  declaration.pools.push_back({.name = PoolName("p"), .capacity = 0});
  const nlohmann::json json = ToJson(declaration);
  EXPECT_TRUE(FromOwnJson<fleet::Declaration>(json, "stored").ok());
  const auto read = fleet::ParseDeclaration(json.dump(), "declaration");
  EXPECT_EQ(read.status().message(),
            "declaration: /pools/0/capacity: found 0, allowed: a whole number "
            "from 1 to 100000");
  const auto spec = FromJson<jobs::JobSpec>(nlohmann::json{{"interval_ms", -1}},
                                            "job", UnknownKeys::kRefuse);
  EXPECT_EQ(spec.status().message(),
            "job: /interval_ms: found -1, allowed: a whole number from 0");
}

// Returns a text that a process may have for a name: names come from settings,
// which are UTF-8.
std::string DrawName() {
  const nlohmann::json text = DrawAny<std::string>();
  return nlohmann::json::parse(
      text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

// Guards against a replica that can't open its own folder.
TEST(StoredRecordsIdentityTest, AnIdentityIsReadAsItWas) {
  EXPECT_TRUE(rc::check([] {
    auto identity = DrawAny<storage::Identity>();
    identity.node = replication::NodeId(DrawName());
    identity.first_voters = {replication::NodeId(DrawName()),
                             replication::NodeId(DrawName())};
    const std::string text = ToJson(identity).dump(2);
    const auto json =
        ParseJson(text, "identity.json", ResultCode::kSettingsUnreadable);
    RC_ASSERT(json.status() == absl::OkStatus());
    const auto read = FromJson<storage::Identity>(*json, "identity.json",
                                                  UnknownKeys::kIgnore);
    RC_ASSERT(read.status() == absl::OkStatus());
    RC_ASSERT(ToJson(*read) == ToJson(identity));
  }));
}

}  // namespace
}  // namespace sumac
