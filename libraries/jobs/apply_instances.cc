// SPDX-License-Identifier: Apache-2.0

// The commands of JobsState about instances and data centres.

#include <algorithm>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::jobs {

fleet::Answer JobsState::ApplyCommand(const StartWave& command, WallTime at) {
  if (this->own_record.waves.contains(command.wave)) {
    return fleet::Answer::Success("started before");
  }
  Wave& wave = this->own_record.waves[command.wave];
  wave.id = command.wave;
  wave.started_at = at;
  wave.ramp = command.ramp;
  wave.most_at_once = std::max(command.most_at_once, 1U);
  for (const InstanceName& instance : command.instances) {
    wave.instances[instance] = {};
  }
  return fleet::Answer::Success("started");
}

fleet::Answer JobsState::ApplyCommand(const RecordMaintenance& command,
                                      WallTime at) {
  const auto wave = this->own_record.waves.find(command.wave);
  if (wave == this->own_record.waves.end() ||
      !wave->second.instances.contains(command.instance)) {
    return fleet::Answer{.code = ResultCode::kUnknownName,
                         .message = "no such wave or instance"};
  }
  InstanceMaintenance& maintenance = wave->second.instances[command.instance];
  // A late answer never reverts a step. The exception is an order that
  // certainly was not carried out: it may be given again.
  const bool is_withdrawn = maintenance.state == MaintenanceState::kOrdered &&
                            command.state == MaintenanceState::kWaiting;
  if (command.state <= maintenance.state && !is_withdrawn) {
    return fleet::Answer::Success("an older step changes nothing");
  }
  maintenance.state = command.state;
  if (is_withdrawn) {
    // The next leader has no order to wait for.
    const auto move = this->own_record.moves.find(command.instance);
    if (move != this->own_record.moves.end() &&
        move->second.worker == maintenance.worker) {
      this->own_record.moves.erase(move);
    }
  }
  if (command.state == MaintenanceState::kOrdered) {
    maintenance.worker = command.worker;
    this->own_record.moves[command.instance] =
        MoveRecord{this->own_record.epoch, at, command.worker};
  }
  return fleet::Answer::Success("recorded");
}

fleet::Answer JobsState::ApplyCommand(const RecordMoves& command, WallTime at) {
  for (const InstanceName& instance : command.instances) {
    const auto worker = command.workers.find(instance);
    this->own_record.moves[instance] = MoveRecord{
        this->own_record.epoch, at,
        worker == command.workers.end() ? WorkerId() : worker->second};
  }
  return fleet::Answer::Success("recorded");
}

DataCentreRecord JobsState::FindDataCentre(const DataCentre& name) const {
  const auto found = this->own_record.data_centres.find(name);
  return found == this->own_record.data_centres.end() ? DataCentreRecord()
                                                      : found->second;
}

fleet::Answer JobsState::ApplyCommand(const ChangeDataCentre& command,
                                      WallTime at) {
  DataCentreRecord data_centre = this->FindDataCentre(command.data_centre);
  if (data_centre.use == command.use) {
    return fleet::Answer::Success(StrCat("it is ", NameOf(command.use)));
  }
  if (data_centre.version != command.expected_version) {
    return fleet::Answer{
        .code = ResultCode::kDataCentreChanged,
        .message = StrCat("version ", data_centre.version, " of ",
                          command.data_centre.value(),
                          " is in force, the order was for version ",
                          command.expected_version)};
  }
  data_centre = {.use = command.use,
                 .version = data_centre.version + 1,
                 .changed_at = at,
                 .requested_by = command.requested_by};
  this->own_record.data_centres[command.data_centre] = std::move(data_centre);
  if (command.use == DataCentreUse::kEvacuated) {
    this->evacuated.insert(command.data_centre);
  } else {
    this->evacuated.erase(command.data_centre);
  }
  return fleet::Answer::Success(StrCat("it is ", NameOf(command.use)));
}

}  // namespace sumac::jobs
