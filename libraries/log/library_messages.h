// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_LOG_LIBRARY_MESSAGES_H_
#define LIBRARIES_LOG_LIBRARY_MESSAGES_H_

#include <kj/common.h>
#include <kj/exception.h>
#include <kj/string.h>

namespace sumac {

// While an object of this class exists, messages of the kj library on its
// thread become lines of the log. The library would write them to standard
// error, in a format of its own and without a limit.
class LibraryMessages : private kj::ExceptionCallback {
 public:
  LibraryMessages() = default;

 private:
  void logMessage(kj::LogSeverity severity,
                  const char* file,
                  int line,
                  int context_depth,
                  kj::String&& text) override;
};

}  // namespace sumac

#endif  // LIBRARIES_LOG_LIBRARY_MESSAGES_H_
