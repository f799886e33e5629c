// SPDX-License-Identifier: Apache-2.0
// Preloaded into a process: keeps a PowerCopy of the folder SUMAC_POWER_DATA in
// the folder SUMAC_POWER_COPY. For a loss of power, kill the process, put
// SUMAC_POWER_COPY/names in place of the data and remove SUMAC_POWER_COPY.
#include <dlfcn.h>

#include <cstdlib>

#include "tests/stand_ins/power_copy.h"

namespace {

using SyncFunction = int(int);

SyncFunction* Next(const char* name) {
  return reinterpret_cast<SyncFunction*>(::dlsym(RTLD_NEXT, name));
}

// Returns the copy, or nullptr if the environment asks for none.
sumac::stand_ins::PowerCopy* Copy() {
  static auto* copy = [] {
    const char* data = std::getenv("SUMAC_POWER_DATA");
    const char* target = std::getenv("SUMAC_POWER_COPY");
    return data != nullptr && target != nullptr
               ? new sumac::stand_ins::PowerCopy(data, target)
               : nullptr;
  }();
  return copy;
}

int SyncThroughCopy(int descriptor, SyncFunction* next) {
  auto* const copy = Copy();
  return copy == nullptr ? next(descriptor) : copy->Sync(descriptor, next);
}

// The copy has to see the folder before the process changes it.
[[gnu::constructor]] void CopyAtStart() {
  Copy();
}

}  // namespace

extern "C" {

int fsync(int descriptor) {
  static SyncFunction* next = Next("fsync");
  return SyncThroughCopy(descriptor, next);
}

int fdatasync(int descriptor) {
  static SyncFunction* next = Next("fdatasync");
  return SyncThroughCopy(descriptor, next);
}

}  // extern "C"
