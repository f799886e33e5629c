// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_VERSION_H_
#define LIBRARIES_BASE_VERSION_H_

#include <string_view>

namespace sumac {

// The version of both programs, equal to the one in the root CMakeLists.txt.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace sumac

#endif  // LIBRARIES_BASE_VERSION_H_
