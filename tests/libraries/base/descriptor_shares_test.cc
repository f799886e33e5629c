// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/descriptor_shares.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "libraries/base/error.h"

namespace sumac {
namespace {

// Guards against connections to workers using up the descriptors that the disk
// needs. A controller with 1,100 workers had some 4,100 of 4,324 descriptors on
// such connections and ended with "snapshot ...: open: Too many open files".
TEST(DescriptorSharesTest, TheSharesNeverExceedTheLimitAndDiskAndPeersAreKept) {
  for (const std::size_t limit : {128U, 256U, 1'024U, 4'324U, 20'000U}) {
    const auto shares = ShareDescriptors(limit);
    ASSERT_TRUE(shares.ok()) << limit;
    EXPECT_LE(shares->process + shares->disk + shares->peers +
                  3 * shares->side_listener + shares->incoming +
                  shares->outgoing,
              limit);
    EXPECT_GE(shares->disk, 16U) << limit;
    EXPECT_GE(shares->peers, 12U) << limit;
    EXPECT_GE(shares->incoming, 24U) << limit;
  }
  // A platform keeps up to 200 of these for files outside the data folder.
  EXPECT_GE(ShareDescriptors(4'324)->process, 200U);
  // One connection for renewals and one for orders to each of 1,100 workers.
  EXPECT_GE(ShareDescriptors(4'324)->outgoing, 2'200U);
}

TEST(DescriptorSharesTest, TooFewAreRefusedWithBothFigures) {
  const auto shares = ShareDescriptors(100);
  EXPECT_EQ(CodeOf(shares.status()), ResultCode::kSettingsInvalid);
  EXPECT_NE(shares.status().message().find("128"), std::string::npos);
  EXPECT_NE(shares.status().message().find("100"), std::string::npos);
}

TEST(DescriptorSharesTest, MoreThanIsAllowedIsRefusedWithBothFigures) {
  EXPECT_EQ(*DescriptorLimit(0, 1'024), 1'024U);
  EXPECT_EQ(*DescriptorLimit(512, 1'024), 512U);
  const auto limit = DescriptorLimit(4'096, 1'024);
  EXPECT_EQ(CodeOf(limit.status()), ResultCode::kSettingsInvalid);
  EXPECT_NE(limit.status().message().find("4096"), std::string::npos);
  EXPECT_NE(limit.status().message().find("1024"), std::string::npos);
}

}  // namespace
}  // namespace sumac
