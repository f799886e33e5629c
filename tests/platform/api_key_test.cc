// SPDX-License-Identifier: Apache-2.0
#include "platform/api_key.h"

#include <gtest/gtest.h>

#include <string>

namespace sumac::platform {
namespace {

TEST(ApiKeyTest, TheDigestIsSha256) {
  // The first test vector of FIPS 180-2.
  EXPECT_EQ(DigestOf("abc").value(),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(ApiKeyTest, ReadsABearerToken) {
  const jobs::Credentials expected{.is_present = true,
                                   .key = DigestOf("k-1~x")};
  for (const char* value :
       {"Bearer k-1~x", "bearer k-1~x", "BEARER   k-1~x "}) {
    const jobs::Credentials read = ReadAuthorization(value);
    EXPECT_TRUE(read.is_present) << value;
    EXPECT_EQ(read.key, expected.key) << value;
  }
}

TEST(ApiKeyTest, OtherCredentialsHoldNoKey) {
  const std::string long_key(64U << 10, 'k');
  for (const std::string& value :
       {std::string(), std::string("Bearer"), std::string("Bearer "),
        std::string("Basic azo6eA=="), std::string("Bearer one, Bearer two"),
        std::string("Bearer one two"), std::string("Bearerone"),
        std::string("Bearer k\xc3\xa9y"), "Bearer " + long_key}) {
    const jobs::Credentials read = ReadAuthorization(value);
    EXPECT_TRUE(read.is_present);
    EXPECT_TRUE(read.key.value().empty()) << value.substr(0, 40);
  }
}

}  // namespace
}  // namespace sumac::platform
