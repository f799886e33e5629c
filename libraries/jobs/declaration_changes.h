// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_DECLARATION_CHANGES_H_
#define LIBRARIES_JOBS_DECLARATION_CHANGES_H_

#include <cstddef>

#include "libraries/jobs/declaration.h"

namespace sumac::jobs {

// What differs between two declarations, in counts.
struct DeclarationChanges {
  // Queues by address: on one side only, on both sides under another name, and
  // on both sides for another service or with another need of a key.
  std::size_t added_queues = 0;
  std::size_t removed_queues = 0;
  std::size_t renamed_queues = 0;
  std::size_t moved_queues = 0;
  std::size_t reopened_queues = 0;
  // Names of queues that stand for another address than before.
  std::size_t readdressed_names = 0;
  // Keys on one side only, and keys of another customer than before.
  std::size_t added_keys = 0;
  std::size_t removed_keys = 0;
  std::size_t moved_keys = 0;
  std::size_t added_customers = 0;
  std::size_t removed_customers = 0;
  // Customers with another quota than before.
  std::size_t changed_quotas = 0;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("added_queues", self.added_queues);
    visitor.Field("removed_queues", self.removed_queues);
    visitor.Field("renamed_queues", self.renamed_queues);
    visitor.Field("moved_queues", self.moved_queues);
    visitor.Field("reopened_queues", self.reopened_queues);
    visitor.Field("readdressed_names", self.readdressed_names);
    visitor.Field("added_keys", self.added_keys);
    visitor.Field("removed_keys", self.removed_keys);
    visitor.Field("moved_keys", self.moved_keys);
    visitor.Field("added_customers", self.added_customers);
    visitor.Field("removed_customers", self.removed_customers);
    visitor.Field("changed_quotas", self.changed_quotas);
  }
};

// Compares a declaration with the one that it replaces.
DeclarationChanges CompareDeclarations(const JobsDeclaration& before,
                                       const JobsDeclaration& after);

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_DECLARATION_CHANGES_H_
