// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_DATA_CENTRE_USE_H_
#define LIBRARIES_JOBS_DATA_CENTRE_USE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::jobs {

// Whether tasks may be started in a data centre.
enum class DataCentreUse {
  kInUse,
  // Operators have ordered an evacuation: nothing is started there, and what
  // runs there continues.
  kEvacuated,
};

// The state of one data centre, as operators last ordered it. A data centre
// without a record is in use.
struct DataCentreRecord {
  DataCentreUse use = DataCentreUse::kInUse;
  // The number of changes of this state so far.
  std::uint64_t version = 0;
  // The time of the last change, by the wall clock of the leader that proposed
  // it.
  WallTime changed_at{};
  // The operator's call that requested the last change, for people.
  std::string requested_by;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("use", self.use);
    visitor.Field("version", self.version);
    visitor.Field("changed_at", self.changed_at);
    visitor.Field("requested_by", self.requested_by);
  }
};

// Takes a data centre out of use, or returns it to use.
struct ChangeDataCentre {
  static constexpr std::string_view kTypeName = "change-data-centre";
  DataCentre data_centre;
  DataCentreUse use = DataCentreUse::kInUse;
  // The version that the data centre had when the order was received. The
  // command changes nothing once the version is another one, so that a delayed
  // copy of an order does not undo a later order.
  std::uint64_t expected_version = 0;
  std::string requested_by;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("data_centre", self.data_centre);
    visitor.Required("use", self.use);
    visitor.Required("expected_version", self.expected_version);
    visitor.Field("requested_by", self.requested_by);
  }
};

}  // namespace sumac::jobs

namespace sumac {

template <>
struct EnumNames<jobs::DataCentreUse> {
  using enum jobs::DataCentreUse;
  static constexpr std::array kNames = {
      EnumName<jobs::DataCentreUse>{kInUse, "in-use"},
      EnumName<jobs::DataCentreUse>{kEvacuated, "evacuated"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_JOBS_DATA_CENTRE_USE_H_
