// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_VERIFY_H_
#define LIBRARIES_BASE_VERIFY_H_

#include <cstdio>
#include <cstdlib>

namespace sumac::internal {

// Prints the broken invariant and aborts the process.
[[noreturn]] inline void FailVerification(const char* condition,
                                          const char* file,
                                          int line) {
  std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", condition, file, line);
  std::abort();
}

}  // namespace sumac::internal

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
