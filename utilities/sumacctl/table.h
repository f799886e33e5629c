// SPDX-License-Identifier: Apache-2.0
#ifndef UTILITIES_SUMACCTL_TABLE_H_
#define UTILITIES_SUMACCTL_TABLE_H_

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace sumac::ctl {

// One column of a table: its heading and where in a row its value stands, as a
// JSON pointer.
struct Column {
  std::string heading;
  std::string pointer;
};

// Rows of JSON as a table with aligned columns, for people.
std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<Column>& columns);

// One decision in full, for people.
std::string FormatDecision(const nlohmann::json& decision);

}  // namespace sumac::ctl

#endif  // UTILITIES_SUMACCTL_TABLE_H_
