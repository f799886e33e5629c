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

// The failure domain whose sudden loss a pool's buffer must survive during
// planned work.
enum class FailureDomain { kNone, kInstance, kRack, kDataCentre };

// What of a pool must stay available whatever is planned. All parts hold at
// once.
struct Budget {
  // A number of instances.
  std::uint32_t smallest_available = 0;
  // A share of the pool's capacity, 0 to 1, rounded up to whole instances.
  double smallest_share = 0;
  // The same shares within each data centre and rack, of the instances that the
  // pool has there.
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

// A set of instances with a promise.
struct Pool {
  PoolName name;
  // How many instances the pool is meant to have.
  std::uint32_t capacity = 0;
  Budget budget;
  // The domain whose loss during planned work must not break the budget.
  FailureDomain survives = FailureDomain::kNone;
  // How long an instance must be well after it came or came back before it
  // counts.
  Milliseconds settle_time{10'000};
  // How long an instance may be silent before it counts as gone.
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

// How urgent a request is when there is not room for all.
enum class RequestClass { kInteractive, kBackground };

// What an entry does for the requests of one service.
struct Service {
  ServiceName name;
  PoolName pool;
  // False where running a request twice does harm; such requests need an
  // idempotency key.
  bool repeatable = true;
  RequestClass request_class = RequestClass::kInteractive;
  // How long a request may take when it does not say.
  Milliseconds deadline{2'000};
  // Requests of one caller open at one entry at once.
  std::uint32_t most_open_per_caller = 64;
  // Requests that may wait for a slot at one entry.
  std::uint32_t most_queued = 256;
  // Tries after the first, for requests that may be tried again.
  std::uint32_t most_retries = 2;
  // Retries are at most this share of first tries.
  double retry_budget = 0.2;
  // Bytes of a request or an answer.
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

// A team and what its jobs may hold at once; 0 means no limit.
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

// How much the fleet's owner minds each cost of planned work.
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

// All that operators declare; it is replaced as a whole.
struct Declaration {
  std::vector<Pool> pools;
  std::vector<Service> services;
  std::vector<Team> teams;
  Weights weights;
  // How long an idempotency key is remembered, from the time that it carries.
  Milliseconds key_window{900'000};
  // How long a worker may run a task without hearing from a controller.
  Milliseconds job_lease{10'000};

  // The pool or service with this name, or nothing.
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

// Reads a declaration as an operator wrote it; the error names `source`, the
// key, what was found and what is allowed.
absl::StatusOr<Declaration> ParseDeclaration(std::string_view text,
                                             std::string_view source);

// Checks what no single field can: names are unique, services name pools,
// budgets fit.
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
