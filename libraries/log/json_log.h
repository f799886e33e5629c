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

// Starts to write log lines to the file at `path`, or to standard output if
// `path` is empty. Each line is one JSON object with the fields at (RFC 3339,
// UTC), level, process and event beside those of the call.
void StartLogging(const ProcessName& process,
                  const std::string& path,
                  LogLevel lowest);

// Writes one line. `event` names what happened in kebab-case; `fields` is a
// JSON object. Thread-safe; never blocks on a slow reader. Lines below the
// lowest level are left out. Lines above the maximum of one kind per second, or
// above the maximum of buffered bytes, are left out too, and a line
// log-lines-dropped reports their number.
void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields);

// Writes the last line of a process that is about to end, at the level error,
// after the lines that are buffered. Waits a moment for a slow reader, but
// never for another thread's use of the log. Does nothing before StartLogging.
void LogLastEvent(std::string_view event, nlohmann::json fields);

// Writes the last line and ends the process at once with EXIT_FAILURE; neither
// destructors nor handlers run.
[[noreturn]] void EndProcess(std::string_view event, nlohmann::json fields);

// Writes as much of the buffered lines as can be written without blocking.
void FlushLog();

}  // namespace sumac

#endif  // LIBRARIES_LOG_JSON_LOG_H_
