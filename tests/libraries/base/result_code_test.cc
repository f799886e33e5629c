// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/result_code.h"

#include <gtest/gtest.h>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/json_file.h"

namespace sumac {
namespace {

TEST(ResultCodeTest, NumbersAscendSoNoneIsUsedTwice) {
  int previous = -1;
  for (const ResultInfo& info : ResultTable()) {
    EXPECT_GT(static_cast<int>(info.code), previous) << info.name;
    previous = static_cast<int>(info.code);
  }
}

TEST(ResultCodeTest, DocumentHasExactlyTheTable) {
  const auto document =
      ReadTextFile(std::string(SUMAC_SOURCE_DIR) + "/docs/RESULTS.md");
  ASSERT_TRUE(document.ok());
  std::string rows;
  for (const ResultInfo& info : ResultTable()) {
    const std::string status =
        info.http_status == 0 ? "-" : std::to_string(info.http_status);
    StrAppend(&rows, "| ", static_cast<int>(info.code), " | ", info.name, " | ",
              status, " | ", NameOf(info.effect), " | ", info.meaning, " |\n");
  }
  EXPECT_NE(document->find(rows), std::string::npos)
      << "docs/RESULTS.md must hold:\n"
      << rows;
}

TEST(ErrorTest, CarriesItsNumber) {
  EXPECT_EQ(CodeOf(MakeError(ResultCode::kRevisionConflict, "x")),
            ResultCode::kRevisionConflict);
  EXPECT_EQ(CodeOf(absl::OkStatus()), ResultCode::kOk);
  EXPECT_EQ(CodeOf(absl::InternalError("x")), ResultCode::kInternal);
}

}  // namespace
}  // namespace sumac
