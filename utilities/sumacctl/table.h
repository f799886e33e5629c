// SPDX-License-Identifier: Apache-2.0
#ifndef UTILITIES_SUMACCTL_TABLE_H_
#define UTILITIES_SUMACCTL_TABLE_H_

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace sumac::ctl {

// One column of a table: its heading and the JSON pointer of its value in a
// row.
struct Column {
  std::string heading;
  std::string pointer;
};

// Formats rows of JSON as a table with aligned columns, for people.
std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<Column>& columns);

// Formats one decision with all its inputs and alternatives, for people.
std::string FormatDecision(const nlohmann::json& decision);

}  // namespace sumac::ctl

#endif  // UTILITIES_SUMACCTL_TABLE_H_
