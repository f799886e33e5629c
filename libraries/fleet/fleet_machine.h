// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_FLEET_MACHINE_H_
#define LIBRARIES_FLEET_FLEET_MACHINE_H_

#include <string_view>

#include "libraries/fleet/answer.h"
#include "libraries/fleet/commands.h"
#include "libraries/fleet/fleet_state.h"

namespace sumac::fleet {

// The replicated state machine, which applies commands to the state. Every
// condition that a guarantee depends on is checked here, on the committed
// state, whatever the leader assumed when it proposed the command.
class FleetMachine {
 public:
  explicit FleetMachine(const Charts& charts) : fleet(charts) {}

  const FleetState& state() const { return this->fleet; }

  // Applies one committed command.
  Answer Apply(const StampedCommand& stamped);

  // Replaces the state with that of a snapshot.
  absl::Status LoadSnapshot(std::string_view bytes) {
    return this->fleet.LoadSnapshot(bytes);
  }

 private:
  FleetState fleet;
};

// Each overload applies one command. On an error it changes nothing, except
// that it may record the decision to refuse the command.
Answer Apply(FleetState& state, const ApplyDeclaration& command);
Answer Apply(FleetState& state, const OperateInstance& command);
Answer Apply(FleetState& state, const SubmitJob& command);
Answer Apply(FleetState& state, const CancelJob& command);
Answer Apply(FleetState& state, const RecordTargets& command);
Answer Apply(FleetState& state, const RecordInstanceEvents& command);
Answer Apply(FleetState& state, const RecordPlatformReport& command);
Answer Apply(FleetState& state, const PlaceJobs& command);
Answer Apply(FleetState& state, const RecordTasks& command);
Answer Apply(FleetState& state, const ExpireLeases& command);
Answer Apply(FleetState& state, const ClaimRequest& command);
Answer Apply(FleetState& state, const FinishClaim& command);
Answer Apply(FleetState& state, const ExpireClaims& command);

// Refuses the queued jobs of a pool that none of its workers could ever run any
// more.
void RefuseImpossibleJobs(FleetState& state, const PoolName& pool);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_FLEET_MACHINE_H_
