// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_BUILD_INFO_H_
#define SERVICES_SUMACD_BUILD_INFO_H_

#include <string_view>

#include "nlohmann/json.hpp"

namespace sumac::daemon {

// Returns the digest of the sources from which this program was built, as
// meta/source_digest.cmake prints it.
std::string_view SourceDigest();

// Returns what tells this program from others on the same settings: version,
// digest of the sources, kind of machine, compiler and the size of the stack,
// in KiB; 0 for no limit.
nlohmann::json DescribeBuild();

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_BUILD_INFO_H_
