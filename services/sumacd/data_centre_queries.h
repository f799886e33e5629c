// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_DATA_CENTRE_QUERIES_H_
#define SERVICES_SUMACD_DATA_CENTRE_QUERIES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/fleet/answer.h"
#include "libraries/jobs/jobs_state.h"
#include "libraries/scheduler/scheduler.h"

namespace sumac::daemon {

// Lists the data centres, or the one named: those that the settings name, and
// those that have workers or were ever evacuated. Each has its use, since when
// and by which operator's call, its workers and runs, its free room, and for
// each pool what remains in the other data centres in use. Returns kUnknownName
// for an unknown name.
fleet::Answer ShowDataCentres(const jobs::JobsState& state,
                              const scheduler::Scheduler& scheduler,
                              const std::vector<DataCentre>& named,
                              const std::string& name);

// Returns what an evacuation of the data centre described by a row of
// ShowDataCentres would take away altogether, as a sentence for operators;
// empty if something of everything remains.
std::string DescribeLoss(const nlohmann::json& row);

// Writes a log line about an order that was just applied.
void LogDataCentreChange(const jobs::JobsState& state,
                         const jobs::ChangeDataCentre& change,
                         const fleet::Answer& answer);

// Returns the number of runs in a data centre.
std::size_t CountRunsIn(const scheduler::Scheduler& scheduler,
                        const DataCentre& data_centre);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_DATA_CENTRE_QUERIES_H_
