// SPDX-License-Identifier: Apache-2.0
#include "utilities/sumacctl/table.h"

#include <algorithm>

#include "absl/time/time.h"
#include "libraries/base/text.h"

namespace sumac::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

std::string CellText(const nlohmann::json& row, const std::string& pointer) {
  const nlohmann::json::json_pointer place(pointer);
  if (!row.contains(place) || row[place].is_null()) {
    return "-";
  }
  const nlohmann::json& value = row[place];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string TimeText(const nlohmann::json& milliseconds) {
  return absl::FormatTime(
      "%Y-%m-%d %H:%M:%E3S UTC",
      absl::FromUnixMillis(milliseconds.get<std::int64_t>()),
      absl::UTCTimeZone());
}

}  // namespace

std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<Column>& columns) {
  std::vector<std::vector<std::string>> lines(1);
  for (const Column& column : columns) {
    lines.front().push_back(column.heading);
  }
  for (const nlohmann::json& row : rows) {
    std::vector<std::string> line;
    line.reserve(columns.size());
    for (const Column& column : columns) {
      line.push_back(CellText(row, column.pointer));
    }
    lines.push_back(std::move(line));
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t position = 0; position < line.size(); ++position) {
      widths[position] = std::max(widths[position], line[position].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t position = 0; position < line.size(); ++position) {
      const bool is_last = position + 1 == line.size();
      text += line[position];
      text.append(
          is_last ? 0 : widths[position] - line[position].size() + kColumnGap,
          ' ');
    }
    text += '\n';
  }
  return text;
}

std::string FormatDecision(const nlohmann::json& decision) {
  std::string text =
      StrCat(decision.value("id", ""), "  ",
             TimeText(decision.value("at", nlohmann::json(0))), "\n  ",
             decision.value("sentence", ""), "\n  ",
             decision.value("subject_kind", ""), " ",
             decision.value("subject", ""), ": ", decision.value("outcome", ""),
             " by rule ", decision.value("rule", ""), "\n");
  for (const nlohmann::json& input :
       decision.value("inputs", nlohmann::json::array())) {
    StrAppend(&text, "  because ", input.value("name", ""), " = ",
              input.value("value", ""));
    if (input.value("age_ms", 0) > 0) {
      StrAppend(&text, " (", input.value("age_ms", 0), " ms old)");
    }
    text += '\n';
  }
  for (const nlohmann::json& other :
       decision.value("alternatives", nlohmann::json::array())) {
    StrAppend(&text, "  not ", other.value("name", ""), ": ",
              other.value("why_not", ""), "\n");
  }
  return text;
}

}  // namespace sumac::ctl
