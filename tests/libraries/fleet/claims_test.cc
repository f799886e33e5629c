// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "libraries/base/text.h"
#include "libraries/fleet/idempotency.h"
#include "tests/libraries/fleet/fleet_harness.h"

namespace sumac::fleet {
namespace {

class ClaimsTest : public testing::Test, protected FleetHarness {
 protected:
  void SetUp() override { this->Declare({.key_window = Milliseconds(60'000)}); }

  IdempotencyKey KeyMadeAt(WallTime time,
                           const std::string& token = "abcdefgh") const {
    return IdempotencyKey(StrCat(time.time_since_epoch().count(), "-", token));
  }

  Answer Claim(const IdempotencyKey& key,
               std::uint64_t attempt,
               const std::string& digest = "d",
               const std::string& entry = "e1") {
    return this->Apply(ClaimRequest{key, digest, ProcessName(entry), attempt,
                                    Milliseconds(1'000)});
  }

  Answer Finish(const IdempotencyKey& key,
                std::uint64_t attempt,
                ClaimState state,
                const std::string& entry = "e1") {
    return this->Apply(FinishClaim{key, ProcessName(entry), attempt, state,
                                   KeptAnswer{200, "text/plain", "first"}});
  }
};

TEST_F(ClaimsTest, OnlyOneAttemptHoldsTheClaim) {
  const IdempotencyKey key = this->KeyMadeAt(this->clock.Now());
  EXPECT_TRUE(this->Claim(key, 1).document.is_null());
  // The same try told twice still holds it; any other does not, through
  // whichever entry.
  EXPECT_TRUE(this->Claim(key, 1).is_ok());
  EXPECT_EQ(this->Claim(key, 2).code, ResultCode::kStillRunning);
  EXPECT_EQ(this->Claim(key, 1, "d", "e2").code, ResultCode::kStillRunning);
}

TEST_F(ClaimsTest, ResendsGetTheFirstAnswerAlsoAfterARestart) {
  const IdempotencyKey key = this->KeyMadeAt(this->clock.Now());
  this->Claim(key, 1);
  ASSERT_TRUE(this->Finish(key, 1, ClaimState::kAnswered).is_ok());
  this->RestartFromSnapshot();
  const Answer again = this->Claim(key, 7, "d", "e3");
  ASSERT_TRUE(again.is_ok());
  EXPECT_EQ(again.document["answer"]["body"], "first");
  // A late word of an earlier try changes nothing.
  EXPECT_FALSE(this->Finish(key, 1, ClaimState::kUnknown).is_ok());
}

TEST_F(ClaimsTest, AnEntryThatDiedLeavesAnUnknownOutcomeAndNoSecondRun) {
  const IdempotencyKey key = this->KeyMadeAt(this->clock.Now());
  this->Claim(key, 1);
  EXPECT_EQ(this->Claim(key, 2).code, ResultCode::kStillRunning);
  this->clock.Advance(Milliseconds(4'000));
  EXPECT_EQ(this->Claim(key, 3).code, ResultCode::kOutcomeUnknown);
  // Its late answer is still taken, for it is the truth.
  EXPECT_TRUE(this->Finish(key, 1, ClaimState::kAnswered).is_ok());
  EXPECT_TRUE(this->Claim(key, 4).is_ok());
}

TEST_F(ClaimsTest, ARequestThatDidNotRunMayBeClaimedAgain) {
  const IdempotencyKey key = this->KeyMadeAt(this->clock.Now());
  this->Claim(key, 1);
  ASSERT_TRUE(this->Finish(key, 1, ClaimState::kNotRun).is_ok());
  const Answer again = this->Claim(key, 2);
  EXPECT_TRUE(again.is_ok());
  EXPECT_TRUE(again.document.is_null());
  EXPECT_EQ(this->Finish(key, 1, ClaimState::kAnswered).code,
            ResultCode::kStaleReport);
}

TEST_F(ClaimsTest, TheSameKeyWithAnotherRequestIsAnError) {
  const IdempotencyKey key = this->KeyMadeAt(this->clock.Now());
  this->Claim(key, 1, "one");
  EXPECT_EQ(this->Claim(key, 2, "two").code, ResultCode::kKeyReused);
}

TEST_F(ClaimsTest, AnExpiredKeyIsRefusedAndNotTreatedAsNew) {
  const IdempotencyKey key = this->KeyMadeAt(this->clock.Now());
  this->Claim(key, 1);
  this->Finish(key, 1, ClaimState::kAnswered);
  this->clock.Advance(Milliseconds(200'000));
  this->PassTime(Milliseconds(200));
  EXPECT_TRUE(this->state().record().claims.empty());
  EXPECT_EQ(this->Claim(key, 2).code, ResultCode::kKeyTooOld);
  // Not even when a longer window is declared afterwards.
  this->Declare({.key_window = Milliseconds(86'000'000)});
  EXPECT_EQ(this->Claim(key, 3).code, ResultCode::kKeyTooOld);
}

TEST_F(ClaimsTest, KeysFromTheFutureAreRefused) {
  const IdempotencyKey key =
      this->KeyMadeAt(this->clock.Now() + kMaxKeySkew + Milliseconds(1'000));
  EXPECT_EQ(this->Claim(key, 1).code, ResultCode::kBadIdempotencyKey);
}

TEST(IdempotencyTest, KeysMustCarryTheirTime) {
  for (const char* bad :
       {"", "abc", "123", "123-", "123-short", "x-abcdefgh", "-5-abcdefgh",
        "123-abc defgh", "1790000000000000000-abcdefgh"}) {
    EXPECT_FALSE(TimeOfKey(IdempotencyKey(bad)).ok()) << bad;
  }
  EXPECT_TRUE(TimeOfKey(IdempotencyKey("1790000000000-abcdefgh")).ok());
}

}  // namespace
}  // namespace sumac::fleet
