// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STORAGE_IDENTITY_H_
#define LIBRARIES_STORAGE_IDENTITY_H_

#include <cstdint>
#include <set>
#include <string>

#include "libraries/replication/types.h"

namespace sumac::storage {

// The identity of the replica whose data a folder holds, stored in
// identity.json. It is written once, when the folder is created.
struct Identity {
  // The version of the folder's layout. A program refuses a newer version and
  // upgrades an older one.
  std::uint32_t format_version = 1;
  // The id of the replica; it includes the incarnation of this disk.
  replication::NodeId node;
  // The initial voters of a new replication group, the same in the folders of
  // all its replicas; empty for a replica that joins later.
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
