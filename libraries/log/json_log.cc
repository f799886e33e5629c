// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/json_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sumac {
namespace {

// The whole line is built here, so log4cxx only adds the end of line.
constexpr const char* kPattern = "%m%n";

std::string& ProcessLabel() {
  static std::string label;
  return label;
}

log4cxx::LevelPtr ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

}  // namespace

LogLevel ParseLogLevel(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kWarning, LogLevel::kError}) {
    if (NameOf(level) == name) {
      return level;
    }
  }
  return LogLevel::kInfo;
}

void StartLogging(const ProcessName& process,
                  const std::string& path,
                  LogLevel lowest) {
  ProcessLabel() = process.value();
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  if (path.empty()) {
    root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut()));
  } else {
    root->addAppender(
        std::make_shared<log4cxx::FileAppender>(layout, path, true));
  }
  root->setLevel(ToLibraryLevel(lowest));
}

void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields) {
  static const auto kRoot = log4cxx::Logger::getRootLogger();
  const auto library_level = ToLibraryLevel(level);
  if (!kRoot->isEnabledFor(library_level)) {
    return;
  }
  fields["at"] =
      absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone());
  fields["level"] = NameOf(level);
  fields["process"] = ProcessLabel();
  fields["event"] = event;
  kRoot->log(
      library_level,
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace sumac
