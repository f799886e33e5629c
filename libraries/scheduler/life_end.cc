// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/life_end.h"

namespace sumac::scheduler {

std::string_view TextOf(LifeEnd end) {
  switch (end) {
    case LifeEnd::kListedAsDown:
      return "the platform lists its instance as down";
    case LifeEnd::kRestarted:
      return "its worker started again";
    case LifeEnd::kReplacedAtAddress:
      return "another life is at its address";
    case LifeEnd::kReplacedOnInstance:
      return "another life began on its instance";
    case LifeEnd::kPlanned:
      return "its life is over";
    case LifeEnd::kSilent:
      return "it has been silent for long";
  }
  return "";
}

bool IsUnexplained(LifeEnd end) {
  return end != LifeEnd::kPlanned && end != LifeEnd::kSilent;
}

}  // namespace sumac::scheduler
