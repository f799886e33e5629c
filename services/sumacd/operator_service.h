// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_OPERATOR_SERVICE_H_
#define SERVICES_SUMACD_OPERATOR_SERVICE_H_

#include <functional>
#include <string>

#include "libraries/wire/generated/operator.capnp.h"
#include "services/sumacd/controller.h"
#include "services/sumacd/entry.h"
#include "services/sumacd/leader_link.h"
#include "services/sumacd/peers.h"
#include "services/sumacd/view_follower.h"

namespace sumac::daemon {

// The parts of the process that OperatorService uses. `controller`, `entry` and
// `follower` may be null.
struct OperatorParts {
  const Settings& settings;
  Peers& peers;
  LeaderLink& leader;
  kj::Timer& timer;
  Controller* controller;
  Entry* entry;
  const ViewFollower* follower;
};

// Serves the operators' interface (schemas/operator.capnp): an adapter that
// forwards each call to the leader or to the process that has the answer.
class OperatorService final : public wire::Operator::Server {
 public:
  explicit OperatorService(OperatorParts parts) : parts(parts) {}

  kj::Promise<void> apply(ApplyContext context) override;
  kj::Promise<void> diff(DiffContext context) override;
  kj::Promise<void> get(GetContext context) override;
  kj::Promise<void> drain(DrainContext context) override;
  kj::Promise<void> undrain(UndrainContext context) override;
  kj::Promise<void> reboot(RebootContext context) override;
  kj::Promise<void> move(MoveContext context) override;
  kj::Promise<void> submitJob(SubmitJobContext context) override;
  kj::Promise<void> cancelJob(CancelJobContext context) override;
  kj::Promise<void> explain(ExplainContext context) override;
  kj::Promise<void> why(WhyContext context) override;
  kj::Promise<void> status(StatusContext context) override;
  kj::Promise<void> handOver(HandOverContext context) override;
  kj::Promise<void> changeController(ChangeControllerContext context) override;
  kj::Promise<void> inForce(InForceContext context) override;
  kj::Promise<void> evacuate(EvacuateContext context) override;
  kj::Promise<void> restore(RestoreContext context) override;

 private:
  // The version of the view that one entry reports as its current one.
  struct EntryView {
    ProcessName process;
    bool has_answered = false;
    std::uint64_t version = 0;
  };

  template <typename Context>
  kj::Promise<void> Commit(Context context, fleet::Command command);
  template <typename Context>
  kj::Promise<void> Ask(Context context,
                        const std::string& kind,
                        const std::string& name);
  template <typename Context>
  kj::Promise<void> Operate(Context context,
                            fleet::InstanceRequest request,
                            const std::string& pool);
  kj::Promise<fleet::Answer> ExplainAt(const ProcessName& process,
                                       const DecisionId& id);
  kj::Promise<fleet::Answer> WhyAt(const ProcessName& process,
                                   const std::string& kind,
                                   const std::string& name);
  nlohmann::json DescribeProcess() const;
  kj::Promise<fleet::Answer> ChangeControllerAt(const ProcessName& process,
                                                const std::string& action,
                                                const std::string& node);
  kj::Promise<EntryView> AskView(const ProcessName& process);
  kj::Promise<fleet::Answer> AwaitInForce(std::uint64_t version,
                                          SteadyTime deadline);

  OperatorParts parts;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_OPERATOR_SERVICE_H_
