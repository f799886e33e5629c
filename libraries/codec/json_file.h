// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_JSON_FILE_H_
#define LIBRARIES_CODEC_JSON_FILE_H_

#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/result_code.h"
#include "nlohmann/json.hpp"

namespace sumac {

// Reads the whole file at `path`; an error has the code kSettingsUnreadable.
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

// Reads and parses the JSON file at `path`; an error has the code
// kSettingsUnreadable.
absl::StatusOr<nlohmann::json> ReadJsonFile(const std::string& path);

}  // namespace sumac

#endif  // LIBRARIES_CODEC_JSON_FILE_H_
