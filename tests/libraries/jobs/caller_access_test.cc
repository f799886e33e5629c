// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/caller_access.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"

namespace sumac::jobs {
namespace {

QueueDeclaration Queue(const std::string& name, bool is_public) {
  return {.name = QueueName(name),
          .host = "h",
          .path_prefix = "/" + name + "/",
          .service = ServiceName("s"),
          .is_public = is_public};
}

CustomerDeclaration Customer(const std::string& name,
                             std::vector<std::string> keys,
                             double weight = 1) {
  CustomerDeclaration customer{.name = CustomerName(name), .weight = weight};
  for (std::string& key : keys) {
    customer.keys.emplace_back(std::move(key));
  }
  return customer;
}

JobsDeclaration Declared(
    std::optional<std::vector<CustomerDeclaration>> customers) {
  return JobsDeclaration(3, {Queue("closed", false), Queue("open", true)},
                         {{.name = ServiceName("s")}}, std::move(customers));
}

Credentials Key(const std::string& key) {
  return {.is_present = true, .key = KeyDigest(key)};
}

class CallerAccessTest : public testing::Test {
 protected:
  ResultCode CodeFor(const Credentials& credentials,
                     const std::string& queue = "closed") const {
    return CodeOf(
        AuthenticateCaller(this->declaration,
                           *this->declaration.FindQueue(QueueName(queue)),
                           credentials)
            .status());
  }
  ResultCode AccessCode(const std::string& address,
                        const std::string& caller,
                        const Job& job) const {
    return CodeOf(
        AuthorizeJobAccess(*this->declaration.FindQueue(QueueName(address)),
                           CustomerName(caller), job));
  }

  JobsDeclaration declaration =
      Declared(std::vector{Customer("ann", {"k1", "k2"}),
                           Customer("bob", {"k3"}), Customer("eve", {})});
};

TEST_F(CallerAccessTest, AKeyNamesItsCustomer) {
  const QueueDeclaration& queue =
      *this->declaration.FindQueue(QueueName("closed"));
  EXPECT_EQ(AuthenticateCaller(this->declaration, queue, Key("k2"))->value(),
            "ann");
  EXPECT_EQ(AuthenticateCaller(this->declaration, queue, Key("k3"))->value(),
            "bob");
}

TEST_F(CallerAccessTest, OtherCallsToAClosedQueueAreRefused) {
  EXPECT_EQ(this->CodeFor({}), ResultCode::kNoCredentials);
  EXPECT_EQ(this->CodeFor(Key("k4")), ResultCode::kUnknownKey);
  EXPECT_EQ(this->CodeFor({.is_present = true}), ResultCode::kUnknownKey);
}

TEST_F(CallerAccessTest, APublicQueueNeedsNoKey) {
  EXPECT_EQ(this->CodeFor({}, "open"), ResultCode::kOk);
  EXPECT_EQ(this->CodeFor(Key("k4"), "open"), ResultCode::kOk);
}

TEST_F(CallerAccessTest, WithoutACustomerListNoCallNeedsAKey) {
  this->declaration = Declared(std::nullopt);
  EXPECT_EQ(this->CodeFor({}), ResultCode::kOk);
  this->declaration = Declared(std::vector<CustomerDeclaration>());
  EXPECT_EQ(this->CodeFor({}), ResultCode::kNoCredentials);
}

TEST_F(CallerAccessTest, AJobIsOpenToItsCustomerOnly) {
  const Job job{.queue = QueueName("closed"), .customer = CustomerName("ann")};
  EXPECT_EQ(this->AccessCode("closed", "ann", job), ResultCode::kOk);
  EXPECT_EQ(this->AccessCode("closed", "bob", job), ResultCode::kForeignJob);
  // The address of a public queue opens no job of another queue.
  EXPECT_EQ(this->AccessCode("open", "", job), ResultCode::kForeignJob);
}

TEST_F(CallerAccessTest, AQueueThatBecamePublicOpensItsJobs) {
  const Job job{.queue = QueueName("open"), .customer = CustomerName("ann")};
  EXPECT_EQ(this->AccessCode("open", "", job), ResultCode::kOk);
}

TEST_F(CallerAccessTest, AJobOfNoCustomerIsOpenToEveryKey) {
  const Job job{.queue = QueueName("closed")};
  EXPECT_EQ(this->AccessCode("closed", "bob", job), ResultCode::kOk);
}

TEST(CustomerDeclarationTest, WrongListsOfCustomersAreRefused) {
  const auto message = [](std::vector<CustomerDeclaration> customers) {
    const absl::Status status = Declared(std::move(customers)).Check();
    EXPECT_EQ(CodeOf(status), ResultCode::kInvalidDeclaration);
    return std::string(status.message());
  };
  EXPECT_EQ(message({Customer("ann", {"k1"}), Customer("bob", {"k1"})}),
            "customer bob: shares a key with ann");
  EXPECT_EQ(message({Customer("ann", {"k1", "k1"})}),
            "customer ann: has the same key twice");
  EXPECT_EQ(message({Customer("ann", {"k1"}), Customer("ann", {"k2"})}),
            "customer ann: is declared twice");
  EXPECT_EQ(message({Customer("ann", {"k1"}, 0)}),
            "customer ann: has no weight above 0");
  EXPECT_TRUE(Declared(std::vector{Customer("ann", {})}).Check().ok());
}

}  // namespace
}  // namespace sumac::jobs
