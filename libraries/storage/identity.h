// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_IDENTITY_H_
#define LIBRARIES_STORAGE_IDENTITY_H_

#include <cstdint>
#include <set>
#include <string>

#include "libraries/replication/types.h"

namespace sumac::storage {

// Whose data a folder holds; the file identity.json. It is written once, when
// the folder is made.
struct Identity {
  // Version of the folder's layout. A program refuses a newer one and upgrades
  // an older one.
  std::uint32_t format_version = 1;
  // The replica, with the incarnation of this disk.
  replication::NodeId node;
  // The voters of a new group, the same in all its folders; empty for a replica
  // that joins later.
  std::set<replication::NodeId> first_voters;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("format_version", self.format_version);
    visitor.Required("node", self.node);
    visitor.Field("first_voters", self.first_voters);
  }
};

}  // namespace sumac::storage

#endif  // LIBRARIES_STORAGE_IDENTITY_H_
