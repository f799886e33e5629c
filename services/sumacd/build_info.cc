// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/build_info.h"

#include <sys/resource.h>
#include <sys/utsname.h>

#include <cstdint>

#include "libraries/base/version.h"
#include "source_digest.h"

namespace sumac::daemon {
namespace {

std::uint64_t StackKibibytes() {
  constexpr std::uint64_t kKibibyte = 1'024;
  rlimit limit{};
  const bool is_limited =
      ::getrlimit(RLIMIT_STACK, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return is_limited ? limit.rlim_cur / kKibibyte : 0;
}

}  // namespace

std::string_view SourceDigest() {
  return SUMAC_SOURCE_DIGEST;
}

nlohmann::json DescribeBuild() {
  utsname machine{};
  ::uname(&machine);
  return {{"version", kVersion},
          {"sources", SourceDigest()},
          {"machine", machine.machine},
          {"compiler", __VERSION__},
          {"stack_kib", StackKibibytes()}};
}

}  // namespace sumac::daemon
