// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_CODEC_NESTING_H_
#define LIBRARIES_CODEC_NESTING_H_

#include <cstddef>
#include <string_view>

namespace sumac {

// The maximum depth of arrays and objects in a document that is read. Writing a
// value takes a stack frame for each level, so an unlimited depth lets any
// sender end the process.
constexpr std::size_t kMaxNesting = 128;

// Returns true if arrays and objects in a JSON text are nested deeper than
// `limit`. Takes a time linear in the text's length, and no stack.
bool IsNestedDeeperThan(std::string_view json_text, std::size_t limit);

}  // namespace sumac

#endif  // LIBRARIES_CODEC_NESTING_H_
