// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/declaration_changes.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace sumac::jobs {
namespace {

QueueDeclaration Queue(const std::string& name,
                       const std::string& path_prefix,
                       const std::string& service = "s") {
  return {.name = QueueName(name),
          .host = "h",
          .path_prefix = path_prefix,
          .service = ServiceName(service)};
}

CustomerDeclaration Customer(const std::string& name,
                             const std::vector<std::string>& keys) {
  CustomerDeclaration customer{.name = CustomerName(name), .weight = 1};
  for (const std::string& key : keys) {
    customer.keys.emplace_back(key);
  }
  return customer;
}

JobsDeclaration Declared(std::vector<QueueDeclaration> queues,
                         std::vector<CustomerDeclaration> customers = {}) {
  return JobsDeclaration(
      1, std::move(queues),
      {{.name = ServiceName("s")}, {.name = ServiceName("t")}},
      std::move(customers));
}

TEST(DeclarationChangesTest, CountsQueuesByTheirAddresses) {
  QueueDeclaration opened = Queue("open", "/open/");
  const JobsDeclaration before =
      Declared({Queue("stays", "/stays/"), Queue("goes", "/goes/"),
                Queue("old-name", "/renamed/"), Queue("moves", "/moves/"),
                Queue("elsewhere", "/here/"), opened});
  opened.is_public = true;
  const JobsDeclaration after = Declared(
      {Queue("stays", "/stays/"), Queue("new-name", "/renamed/"),
       Queue("moves", "/moves/", "t"), Queue("elsewhere", "/there/"), opened});
  const DeclarationChanges changes = CompareDeclarations(before, after);
  EXPECT_EQ(changes.added_queues, 1U);
  EXPECT_EQ(changes.removed_queues, 2U);
  EXPECT_EQ(changes.renamed_queues, 1U);
  EXPECT_EQ(changes.moved_queues, 1U);
  EXPECT_EQ(changes.reopened_queues, 1U);
  EXPECT_EQ(changes.readdressed_names, 1U);
}

TEST(DeclarationChangesTest, CountsKeysByTheirOwners) {
  CustomerDeclaration limited = Customer("stays", {"k1", "k2"});
  const JobsDeclaration before =
      Declared({}, {limited, Customer("goes", {"k3", "k4"})});
  limited.keys.erase(limited.keys.begin());
  limited.quota.millicores = 5;
  const JobsDeclaration after =
      Declared({}, {limited, Customer("comes", {"k3", "k5"})});
  const DeclarationChanges changes = CompareDeclarations(before, after);
  EXPECT_EQ(changes.added_customers, 1U);
  EXPECT_EQ(changes.removed_customers, 1U);
  EXPECT_EQ(changes.added_keys, 1U);
  EXPECT_EQ(changes.removed_keys, 2U);
  EXPECT_EQ(changes.moved_keys, 1U);
  EXPECT_EQ(changes.changed_quotas, 1U);
}

}  // namespace
}  // namespace sumac::jobs
