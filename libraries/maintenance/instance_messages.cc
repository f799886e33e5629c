// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/instance_messages.h"

namespace sumac::maintenance {

std::string_view NameOfResult(InstanceResult result) {
  using enum InstanceResult;
  switch (result) {
    case kDone:
      return "done";
    case kBusy:
      return "busy";
    case kFenced:
      return "fenced";
    case kNotInWave:
      return "not of this wave";
    case kUnknownInstance:
      return "unknown instance";
    case kRefused:
      return "refused";
    case kUnknown:
      return "unanswered";
  }
  return "?";
}

}  // namespace sumac::maintenance
