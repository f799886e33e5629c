// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_DECLARATION_H_
#define LIBRARIES_FLEET_DECLARATION_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::fleet {

// The failure domain whose sudden loss a pool must survive during planned work
// without breaking its budget.
enum class FailureDomain { kNone, kInstance, kRack, kDataCentre };

// The minimum part of a pool that must stay available during planned work. All
// constraints apply together.
struct Budget {
  // The minimum number of available instances.
  std::uint32_t smallest_available = 0;
  // The minimum available share of the pool's capacity, 0 to 1, rounded up to
  // whole instances.
  double smallest_share = 0;
  // The minimum available shares, 0 to 1, within each data centre and each
  // rack, of the instances that the pool has there.
  double smallest_share_per_data_centre = 0;
  double smallest_share_per_rack = 0;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("smallest_available", self.smallest_available,
                  Limits{0, 100'000});
    visitor.Field("smallest_share", self.smallest_share, Limits{0, 1});
    visitor.Field("smallest_share_per_data_centre",
                  self.smallest_share_per_data_centre, Limits{0, 1});
    visitor.Field("smallest_share_per_rack", self.smallest_share_per_rack,
                  Limits{0, 1});
  }
};

// A set of instances with an availability budget.
struct Pool {
  PoolName name;
  // The number of instances that the pool is meant to have.
  std::uint32_t capacity = 0;
  Budget budget;
  // The failure domain whose loss during planned work must not break the
  // budget.
  FailureDomain survives = FailureDomain::kNone;
  // How long an instance must be healthy after it joined or returned before it
  // counts as available.
  Milliseconds settle_time{10'000};
  // How long an instance may be silent before it counts as down.
  Milliseconds silence_time{3'000};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("name", self.name);
    visitor.Required("capacity", self.capacity, Limits{1, 100'000});
    visitor.Field("budget", self.budget);
    visitor.Field("survives", self.survives);
    visitor.Field("settle_ms", self.settle_time, Limits{0, 86'400'000});
    visitor.Field("silence_ms", self.silence_time, Limits{500, 600'000});
  }
};

// The urgency of a request when there is no capacity for all requests.
enum class RequestClass { kInteractive, kBackground };

// The declaration of one service: how entries handle its requests.
struct Service {
  ServiceName name;
  PoolName pool;
  // False if running a request twice does harm; such requests need an
  // idempotency key.
  bool repeatable = true;
  RequestClass request_class = RequestClass::kInteractive;
  // The deadline of a request that doesn't specify one.
  Milliseconds deadline{2'000};
  // The maximum number of requests of one caller open at one entry at the same
  // time.
  std::uint32_t most_open_per_caller = 64;
  // The maximum number of requests that wait for a slot at one entry.
  std::uint32_t most_queued = 256;
  // The maximum number of retries of a request that may be retried.
  std::uint32_t most_retries = 2;
  // The maximum ratio of retries to first attempts.
  double retry_budget = 0.2;
  // The maximum size of the body of a request or an answer, in bytes.
  std::uint32_t most_body_bytes = 1U << 20;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("name", self.name);
    visitor.Required("pool", self.pool);
    visitor.Field("repeatable", self.repeatable);
    visitor.Field("class", self.request_class);
    visitor.Field("deadline_ms", self.deadline, Limits{1, 3'600'000});
    visitor.Field("most_open_per_caller", self.most_open_per_caller,
                  Limits{1, 100'000});
    visitor.Field("most_queued", self.most_queued, Limits{0, 100'000});
    visitor.Field("most_retries", self.most_retries, Limits{0, 10});
    visitor.Field("retry_budget", self.retry_budget, Limits{0, 1});
    visitor.Field("most_body_bytes", self.most_body_bytes, Limits{1, 64 << 20});
  }
};

// A team and the maximum resources that its jobs may hold at once; 0 means no
// limit.
struct Team {
  TeamName name;
  std::uint64_t most_millicores = 0;
  std::uint32_t most_accelerators = 0;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("name", self.name);
    visitor.Field("most_millicores", self.most_millicores);
    visitor.Field("most_accelerators", self.most_accelerators);
  }
};

// The weight that the fleet's owner gives to each cost of planned work.
struct Weights {
  double buffer_cost = 1;
  double roll_out_time = 1;
  double moves = 1;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("buffer_cost", self.buffer_cost, Limits{0, 1'000});
    visitor.Field("roll_out_time", self.roll_out_time, Limits{0, 1'000});
    visitor.Field("moves", self.moves, Limits{0, 1'000});
  }
};

// The complete declaration of the operators. It is always replaced as a whole.
struct Declaration {
  std::vector<Pool> pools;
  std::vector<Service> services;
  std::vector<Team> teams;
  Weights weights;
  // How long an idempotency key is kept, counted from the time that it carries.
  Milliseconds key_window{900'000};
  // How long a worker may run a task without an answer from a controller.
  Milliseconds job_lease{10'000};

  // Returns the pool, service or team with this name, or null.
  const Pool* FindPool(const PoolName& name) const;
  const Service* FindService(const ServiceName& name) const;
  const Team* FindTeam(const TeamName& name) const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("pools", self.pools);
    visitor.Field("services", self.services);
    visitor.Field("teams", self.teams);
    visitor.Field("weights", self.weights);
    visitor.Field("key_window_ms", self.key_window, Limits{1'000, 86'400'000});
    visitor.Field("job_lease_ms", self.job_lease, Limits{1'000, 600'000});
  }
};

// Parses a declaration as an operator wrote it. The error names `source`, the
// key, the value found and the values allowed.
absl::StatusOr<Declaration> ParseDeclaration(std::string_view text,
                                             std::string_view source);

// Checks the constraints between fields: names are unique, services refer to
// declared pools, and budgets fit the capacity of their pools.
absl::Status ValidateDeclaration(const Declaration& declaration);

}  // namespace sumac::fleet

namespace sumac {

template <>
struct EnumNames<fleet::FailureDomain> {
  static constexpr std::array kNames = {
      EnumName<fleet::FailureDomain>{fleet::FailureDomain::kNone, "none"},
      EnumName<fleet::FailureDomain>{fleet::FailureDomain::kInstance,
                                     "instance"},
      EnumName<fleet::FailureDomain>{fleet::FailureDomain::kRack, "rack"},
      EnumName<fleet::FailureDomain>{fleet::FailureDomain::kDataCentre,
                                     "data_centre"},
  };
};

template <>
struct EnumNames<fleet::RequestClass> {
  static constexpr std::array kNames = {
      EnumName<fleet::RequestClass>{fleet::RequestClass::kInteractive,
                                    "interactive"},
      EnumName<fleet::RequestClass>{fleet::RequestClass::kBackground,
                                    "background"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_FLEET_DECLARATION_H_
