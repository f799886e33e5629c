// SPDX-License-Identifier: Apache-2.0
#include "libraries/codec/nesting.h"

namespace sumac {

bool IsNestedDeeperThan(std::string_view json_text, std::size_t limit) {
  std::size_t depth = 0;
  bool is_in_string = false;
  for (std::size_t place = 0; place < json_text.size(); ++place) {
    const char sign = json_text[place];
    if (is_in_string) {
      // The character after a backslash does not end the string.
      place += sign == '\\' ? 1 : 0;
      is_in_string = sign != '"';
    } else if (sign == '"') {
      is_in_string = true;
    } else if (sign == '[' || sign == '{') {
      if (++depth > limit) {
        return true;
      }
    } else if ((sign == ']' || sign == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace sumac
