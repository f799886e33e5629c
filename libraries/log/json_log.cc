// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/json_log.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <mutex>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "libraries/base/time.h"
#include "libraries/log/bounded_writer.h"
#include "libraries/log/event_rate.h"

namespace sumac {
namespace {

// The maximum size of the lines that are buffered for a slow reader, in bytes:
// some seconds of a busy leader's lines, and small beside the memory of a
// process.
constexpr std::size_t kMaxBufferedBytes = 1U << 20;
// The maximum number of lines of one kind per second. A busy leader writes some
// tens.
constexpr std::uint64_t kMaxLinesPerSecond = 200;
// The maximum length of a text in a line, in bytes. Some texts come from the
// senders of requests, and lines that are too long crowd out others.
constexpr std::size_t kMaxTextBytes = 2'048;
// The maximum time that a process which is about to end waits for a slow reader
// of its log, for each of what is buffered and the last line.
constexpr Milliseconds kMaxLastWait{250};
constexpr const char* kDropEvent = "log-lines-dropped";

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
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

// A log4cxx appender that writes whole lines to a BoundedWriter.
class BoundedAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit BoundedAppender(int descriptor)
      : writer(descriptor, kMaxBufferedBytes) {}

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    const std::lock_guard lock(this->writer_mutex);
    this->writer.WriteLine(event->getMessage());
  }
  void close() override { this->Flush(); }
  bool requiresLayout() const override { return false; }

  void Flush() {
    const std::lock_guard lock(this->writer_mutex);
    this->writer.Flush();
  }
  std::uint64_t TakeDropCount() {
    const std::lock_guard lock(this->writer_mutex);
    return this->writer.TakeDropCount();
  }

  // Writes the buffer and the last line of the process, waiting for the reader
  // for at most `max_wait`. The line is left out if the writer is held for that
  // long.
  void WriteLastLine(const std::string& line, Milliseconds max_wait) {
    const std::unique_lock lock(this->writer_mutex, max_wait);
    if (lock.owns_lock()) {
      this->writer.FlushWithin(max_wait);
      this->writer.WriteLine(line);
      this->writer.FlushWithin(max_wait);
    }
  }

 private:
  std::timed_mutex writer_mutex;
  BoundedWriter writer;
};

// The state of the log, one for the whole process.
struct LogState {
  std::string process;
  std::shared_ptr<BoundedAppender> appender;
  std::mutex rate_mutex;
  EventRate rate{kMaxLinesPerSecond};
};

// NOTE: The state is never destroyed: log4cxx destroys its memory pools when
// the process ends, and the destructor of an appender that outlives them
// crashes.
LogState& State() {
  static LogState& state = *new LogState;
  return state;
}

// Opens the log file at `path`. Returns the descriptor of standard output if
// `path` is empty or can't be opened.
int OpenLog(const std::string& path) {
  constexpr mode_t kReadableByAll = 0644;
  if (path.empty()) {
    return STDOUT_FILENO;
  }
  const int opened = ::open(
      path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kReadableByAll);
  // NOTE: The descriptor stays open until the process ends.
  return opened < 0 ? STDOUT_FILENO : opened;
}

std::string FormatLine(LogLevel level,
                       std::string_view event,
                       nlohmann::json fields) {
  fields["at"] =
      absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone());
  fields["level"] = NameOf(level);
  fields["process"] = State().process;
  fields["event"] = event;
  return fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void WriteLine(LogLevel level, std::string_view event, nlohmann::json fields) {
  static const auto kRoot = log4cxx::Logger::getRootLogger();
  kRoot->log(ToLog4cxxLevel(level),
             FormatLine(level, event, std::move(fields)));
}

// Shortens the texts of a line's fields that are longer than kMaxTextBytes.
void ShortenTexts(nlohmann::json& fields) {
  for (auto& field : fields) {
    if (field.is_string()) {
      auto& text = field.get_ref<std::string&>();
      if (text.size() > kMaxTextBytes) {
        text.resize(kMaxTextBytes);
        text += "...";
      }
    }
  }
}

// Logs the number of lines left out since the last report.
void ReportDrops(SteadyTime now) {
  LogState& state = State();
  EventRate::Counts left_out;
  {
    const std::lock_guard lock(state.rate_mutex);
    left_out = state.rate.TakeLeftOut(now);
  }
  const std::uint64_t unwritten =
      state.appender ? state.appender->TakeDropCount() : 0;
  if (left_out.empty() && unwritten == 0) {
    return;
  }
  WriteLine(LogLevel::kWarning, kDropEvent,
            {{"too_many_of_kind", left_out}, {"unwritten", unwritten}});
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
  LogState& state = State();
  state.process = process.value();
  state.appender = std::make_shared<BoundedAppender>(OpenLog(path));
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(state.appender);
  root->setLevel(ToLog4cxxLevel(lowest));
}

void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields) {
  static const auto kRoot = log4cxx::Logger::getRootLogger();
  if (!kRoot->isEnabledFor(ToLog4cxxLevel(level))) {
    return;
  }
  LogState& state = State();
  const SteadyTime now = SystemClock().SteadyNow();
  ReportDrops(now);
  {
    const std::lock_guard lock(state.rate_mutex);
    if (!state.rate.Admit(event, now)) {
      return;
    }
  }
  ShortenTexts(fields);
  WriteLine(level, event, std::move(fields));
}

void LogLastEvent(std::string_view event, nlohmann::json fields) {
  LogState& state = State();
  if (state.appender) {
    ShortenTexts(fields);
    state.appender->WriteLastLine(
        FormatLine(LogLevel::kError, event, std::move(fields)), kMaxLastWait);
  }
}

void EndProcess(std::string_view event, nlohmann::json fields) {
  LogLastEvent(event, std::move(fields));
  std::_Exit(EXIT_FAILURE);
}

void FlushLog() {
  LogState& state = State();
  if (state.appender) {
    state.appender->Flush();
    ReportDrops(SystemClock().SteadyNow());
  }
}

}  // namespace sumac
