// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/incarnation_end.h"

namespace sumac::scheduler {

std::string_view TextOf(IncarnationEnd end) {
  switch (end) {
    case IncarnationEnd::kListedAsDown:
      return "the platform lists its instance as down";
    case IncarnationEnd::kRestarted:
      return "its worker started again";
    case IncarnationEnd::kReplacedAtAddress:
      return "another life is at its address";
    case IncarnationEnd::kReplacedOnInstance:
      return "another life began on its instance";
    case IncarnationEnd::kPlanned:
      return "its life is over";
    case IncarnationEnd::kSilent:
      return "it has been silent for long";
  }
  return "";
}

bool IsUnexplained(IncarnationEnd end) {
  return end != IncarnationEnd::kPlanned && end != IncarnationEnd::kSilent;
}

}  // namespace sumac::scheduler
