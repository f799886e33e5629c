// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_CALLER_ADDRESS_H_
#define LIBRARIES_JOBS_CALLER_ADDRESS_H_

#include <string>

#include "libraries/base/names.h"

namespace sumac::jobs {

// What a caller sent to identify itself.
struct Credentials {
  // Whether the caller sent anything.
  bool is_present = false;
  // The digest of the caller's key; empty if what it sent holds no key.
  KeyDigest key;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("is_present", self.is_present);
    visitor.Field("key", self.key);
  }
};

// Where a caller sent a request about jobs, and as whom. What it means depends
// on the declaration in force.
struct CallerAddress {
  std::string host;
  std::string path;
  Credentials credentials;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
    visitor.Field("credentials", self.credentials);
  }
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_CALLER_ADDRESS_H_
