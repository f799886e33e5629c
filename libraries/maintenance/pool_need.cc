// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/pool_need.h"

#include <algorithm>

#include "libraries/maintenance/instance_packing.h"

namespace sumac::maintenance {
namespace {

constexpr std::int64_t kPermille = 1'000;
// The number of standard deviations of the demand that stand ready above it. By
// the time that an instance has moved, other jobs have come for many of the
// present ones, so that the error of the forecast is that of two such demands:
// three deviations of one are two of their difference.
constexpr std::int64_t kReservedDeviations = 3;

std::int64_t DivideRoundingUp(std::int64_t amount, std::int64_t divisor) {
  return (amount + divisor - 1) / divisor;
}

}  // namespace

std::int64_t ReserveFor(const jobs::ServiceDemand& demand,
                        std::int64_t max_reserve_permille) {
  const std::int64_t most =
      demand.short_millicores * max_reserve_permille / kPermille;
  return demand.deviation_millicores
             ? std::min(most,
                        *demand.deviation_millicores * kReservedDeviations)
             : most;
}

PoolNeed CountNeed(const jobs::ServiceDemand& demand,
                   const jobs::Resources& instance,
                   const PoolNeedSettings& settings) {
  const std::int64_t reserve =
      ReserveFor(demand, settings.max_reserve_permille);
  const auto instances_for = [&instance](std::int64_t millicores) {
    return DivideRoundingUp(millicores, instance.millicores);
  };
  InstancePacking packing(instance);
  packing.Add(demand.long_running_tasks);
  PoolNeed need;
  std::int64_t millicores = demand.long_running_millicores;
  need[WorkClass::kStanding] =
      std::max(packing.instances(), instances_for(millicores));

  packing.Add(demand.short_tasks);
  millicores += demand.short_millicores + reserve;
  need[WorkClass::kInTime] =
      std::max({need[WorkClass::kStanding], settings.min_instances,
                demand.min_instances, instances_for(millicores),
                packing.instances() + instances_for(reserve)});

  millicores += demand.late_millicores;
  need[WorkClass::kLate] =
      std::max(need[WorkClass::kInTime], instances_for(millicores));
  millicores += demand.worthless_millicores;
  need[WorkClass::kWorthless] =
      std::max(need[WorkClass::kLate], instances_for(millicores));
  return need;
}

}  // namespace sumac::maintenance
