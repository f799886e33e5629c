// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_VERIFY_H_
#define LIBRARIES_BASE_VERIFY_H_

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace sumac {

// Reports a broken invariant before the process aborts.
using VerificationReporter = void (*)(const char* condition,
                                      const char* file,
                                      int line);

namespace internal {

inline std::atomic<VerificationReporter> verification_reporter = nullptr;

// Prints and reports the broken invariant and aborts the process.
[[noreturn]] inline void FailVerification(const char* condition,
                                          const char* file,
                                          int line) {
  std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", condition, file, line);
  // A reporter that breaks an invariant itself must not be called again.
  if (const auto reporter = verification_reporter.exchange(nullptr)) {
    reporter(condition, file, line);
  }
  std::abort();
}

}  // namespace internal

// Sets the function that is called before the process aborts.
inline void SetVerificationReporter(VerificationReporter reporter) {
  internal::verification_reporter = reporter;
}

}  // namespace sumac

// Aborts the process when an invariant of the program itself is broken, in
// release builds too: state that breaks an invariant must not be replicated or
// acted on.
#define VERIFY(condition)                                                  \
  do {                                                                     \
    if (!(condition)) [[unlikely]] {                                       \
      ::sumac::internal::FailVerification(#condition, __FILE__, __LINE__); \
    }                                                                      \
  } while (false)

// Marks code that no correct program reaches.
#define VERIFY_NOT_REACHED() \
  ::sumac::internal::FailVerification("not reached", __FILE__, __LINE__)

#endif  // LIBRARIES_BASE_VERIFY_H_
