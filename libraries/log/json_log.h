// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_LOG_JSON_LOG_H_
#define LIBRARIES_LOG_JSON_LOG_H_

#include <string>
#include <string_view>

#include "libraries/base/names.h"
#include "nlohmann/json.hpp"

namespace sumac {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Parses debug, info, warning or error; anything else is kInfo.
LogLevel ParseLogLevel(std::string_view name);

// Sends log lines to `path`, or to standard output when it is empty. Each line
// is one JSON object with the fields at (RFC 3339, UTC), level, process and
// event beside those given.
void StartLogging(const ProcessName& process,
                  const std::string& path,
                  LogLevel lowest);

// Writes one line. `event` names what happened in kebab-case; `fields` is a
// JSON object. Safe to call from any thread; never waits for a reader. Lines
// below the lowest level are left out, and so are those beyond the bounds on
// lines a second of one kind and on bytes that wait to be written; a line
// log-lines-dropped counts the latter two.
void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields);

// Writes what waits and can be written now.
void FlushLog();

}  // namespace sumac

#endif  // LIBRARIES_LOG_JSON_LOG_H_
