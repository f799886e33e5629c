// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_DATA_CENTRE_ORDER_H_
#define LIBRARIES_JOBS_DATA_CENTRE_ORDER_H_

#include <functional>
#include <string>

#include "libraries/base/names.h"
#include "libraries/jobs/data_centre_use.h"

namespace sumac::jobs {

// An operator's order about the use of a data centre, as a process received it.
struct DataCentreOrder {
  DataCentre data_centre;
  DataCentreUse use = DataCentreUse::kInUse;
  // The operator's call, for people.
  std::string requested_by;
  // Returns false once the operator no longer waits for the answer. An order
  // that nobody waits for may be an old copy, and is not carried out.
  std::function<bool()> is_awaited;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_DATA_CENTRE_ORDER_H_
