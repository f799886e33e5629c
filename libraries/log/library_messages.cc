// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/library_messages.h"

#include "libraries/log/json_log.h"

namespace sumac {
namespace {

LogLevel LevelOf(kj::LogSeverity severity) {
  switch (severity) {
    case kj::LogSeverity::INFO:
      return LogLevel::kInfo;
    case kj::LogSeverity::WARNING:
      return LogLevel::kWarning;
    case kj::LogSeverity::DBG:
      return LogLevel::kDebug;
    default:
      return LogLevel::kError;
  }
}

}  // namespace

void LibraryMessages::logMessage(kj::LogSeverity severity,
                                 const char* file,
                                 int line,
                                 int /*context_depth*/,
                                 kj::String&& text) {
  LogEvent(LevelOf(severity), "library-message",
           {{"file", file}, {"line", line}, {"message", text.cStr()}});
}

}  // namespace sumac
