// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_NODE_OPERATOR_SERVICE_H_
#define SERVICES_SUMACD_NODE_OPERATOR_SERVICE_H_

#include <string>

#include "libraries/wire/generated/operator.capnp.h"
#include "services/sumacd/job_controller.h"
#include "services/sumacd/jobs_link.h"
#include "services/sumacd/node_settings.h"

namespace sumac::daemon {

// Serves the operators' interface (schemas/operator.capnp) in a process that
// discovers the others from seeds: jobs of steps, workers, waves. Calls are
// forwarded to the leading controller. Methods that such a system does not
// support answer kBadArgument.
class NodeOperatorService final : public wire::Operator::Server {
 public:
  // `controller` is this process's own controller, or null.
  NodeOperatorService(const NodeSettings& settings,
                      JobsLink& link,
                      JobController* controller)
      : settings(settings), link(link), controller(controller) {}

  kj::Promise<void> get(GetContext context) override;
  kj::Promise<void> submitJob(SubmitJobContext context) override;
  kj::Promise<void> cancelJob(CancelJobContext context) override;
  kj::Promise<void> status(StatusContext context) override;
  kj::Promise<void> handOver(HandOverContext context) override;
  kj::Promise<void> apply(ApplyContext context) override;
  kj::Promise<void> diff(DiffContext context) override;
  kj::Promise<void> drain(DrainContext context) override;
  kj::Promise<void> undrain(UndrainContext context) override;
  kj::Promise<void> reboot(RebootContext context) override;
  kj::Promise<void> move(MoveContext context) override;
  kj::Promise<void> explain(ExplainContext context) override;
  kj::Promise<void> why(WhyContext context) override;
  kj::Promise<void> changeController(ChangeControllerContext context) override;
  kj::Promise<void> inForce(InForceContext context) override;

 private:
  const NodeSettings& settings;
  JobsLink& link;
  JobController* controller;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_NODE_OPERATOR_SERVICE_H_
