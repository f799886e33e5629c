// SPDX-License-Identifier: Apache-2.0
#include "libraries/codec/json_file.h"

#include <fstream>
#include <sstream>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"

namespace sumac {

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    return MakeError(ResultCode::kSettingsUnreadable,
                     StrCat(path, ": can't be read"));
  }
  return text.str();
}

absl::StatusOr<nlohmann::json> ReadJsonFile(const std::string& path) {
  const std::string text = TRY(ReadTextFile(path));
  return ParseJson(text, path, ResultCode::kSettingsUnreadable);
}

}  // namespace sumac
