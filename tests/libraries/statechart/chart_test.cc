// SPDX-License-Identifier: Apache-2.0
#include "libraries/statechart/chart.h"

#include <gtest/gtest.h>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/codec/json_reader.h"
#include "libraries/fleet/charts.h"

namespace sumac {
namespace {

constexpr const char* kGood = R"({
  "chart": "door", "initial": "open", "events": ["close", "lock"],
  "states": {"open": {"on": {"close": "closed"}},
             "closed": {"tags": ["shut"], "on": {"lock": "locked"}},
             "locked": {"final": true}}})";

std::string ErrorOf(const std::string& text) {
  const auto chart = Chart::Create(nlohmann::json::parse(text), "chart");
  if (chart.ok()) {
    return "";
  }
  EXPECT_EQ(CodeOf(chart.status()), ResultCode::kChartInvalid);
  return std::string(chart.status().message());
}

// The good chart with one text replaced.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const std::size_t place = text.find(from);
  EXPECT_NE(place, std::string::npos);
  return text.replace(place, from.size(), to);
}

TEST(ChartTest, FollowsTheFile) {
  const auto chart = Chart::Create(nlohmann::json::parse(kGood), "chart");
  ASSERT_TRUE(chart.ok()) << chart.status();
  EXPECT_EQ(*chart->Next("open", "close"), "closed");
  EXPECT_TRUE(chart->HasTag("closed", "shut"));
  EXPECT_FALSE(chart->HasTag("open", "shut"));
}

TEST(ChartTest, UnknownStepsAreNumberedErrors) {
  const auto chart = Chart::Create(nlohmann::json::parse(kGood), "chart");
  ASSERT_TRUE(chart.ok());
  EXPECT_EQ(CodeOf(chart->Next("open", "lock").status()),
            ResultCode::kWrongState);
  EXPECT_EQ(CodeOf(chart->Next("open", "paint").status()),
            ResultCode::kWrongState);
  EXPECT_EQ(CodeOf(chart->Next("ajar", "close").status()),
            ResultCode::kWrongState);
}

TEST(ChartTest, InvalidChartsAreRefused) {
  EXPECT_EQ(ErrorOf(kGood), "");
  EXPECT_EQ(ErrorOf(With("\"initial\": \"open\"", "\"initial\": \"ajar\"")),
            "chart: no initial state ajar");
  EXPECT_EQ(ErrorOf(With("\"lock\"],", "\"lock\", \"paint\"],")),
            "chart: no state takes the event paint");
  EXPECT_EQ(
      ErrorOf(With("{\"lock\": \"locked\"}", "{\"lock\": \"nowhere\"}")),
      "chart: the event lock of closed leads to the unknown state nowhere");
  EXPECT_EQ(ErrorOf(With("{\"close\": \"closed\"}", "{\"slam\": \"closed\"}")),
            "chart: the event slam of open is missing from events");
  EXPECT_EQ(ErrorOf(With("{\"final\": true}", "{}")),
            "chart: the state locked has no way out and is not final");
  EXPECT_EQ(ErrorOf(With("\"on\": {\"lock\": \"locked\"}",
                         "\"on\": {\"lock\": \"open\"}")),
            "chart: the state locked can't be reached");
  EXPECT_EQ(ErrorOf(With("\"final\"", "\"last\"")),
            "chart: /states/locked/last: unknown key");
}

TEST(ChartTest, TheChartsOfTheProgramLoadAndMatchItsStates) {
  const auto charts =
      fleet::Charts::Load(std::string(SUMAC_SOURCE_DIR) + "/charts");
  EXPECT_TRUE(charts.ok()) << charts.status();
}

}  // namespace
}  // namespace sumac
