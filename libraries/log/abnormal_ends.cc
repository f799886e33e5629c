// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/abnormal_ends.h"

#include <cstdlib>
#include <exception>
#include <string>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/log/json_log.h"

namespace sumac {
namespace {

std::terminate_handler previous_handler = nullptr;

void ReportVerification(const char* condition, const char* file, int line) {
  LogLastEvent("verify-failed",
               {{"condition", condition}, {"place", StrCat(file, ":", line)}});
}

// Returns what is known about the exception in flight, if any.
std::string DescribeException() {
  const std::exception_ptr current = std::current_exception();
  if (!current) {
    return "terminated without an exception";
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "an exception of another type";
  }
}

[[noreturn]] void ReportTermination() {
  static bool is_reported = false;
  // A failure of the report itself ends up here again.
  if (!is_reported) {
    is_reported = true;
    LogLastEvent("uncaught-exception", {{"error", DescribeException()}});
  }
  if (previous_handler != nullptr) {
    previous_handler();
  }
  std::abort();
}

}  // namespace

void LogAbnormalEnds() {
  SetVerificationReporter(ReportVerification);
  const std::terminate_handler replaced = std::set_terminate(ReportTermination);
  if (replaced != ReportTermination) {
    previous_handler = replaced;
  }
}

}  // namespace sumac
