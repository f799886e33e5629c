// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_NODE_OPERATOR_SERVICE_H_
#define SERVICES_SUMACD_NODE_OPERATOR_SERVICE_H_

#include <string>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/wire/generated/operator.capnp.h"
#include "services/sumacd/data_centre_orders.h"
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
  // `controller` is this process's own controller, or null, and
  // `data_centre_orders` carries out its orders about data centres.
  NodeOperatorService(const NodeSettings& settings,
                      JobsLink& link,
                      JobController* controller,
                      DataCentreOrders* data_centre_orders)
      : settings(settings),
        link(link),
        controller(controller),
        data_centre_orders(data_centre_orders) {}

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
  kj::Promise<void> evacuate(EvacuateContext context) override;
  kj::Promise<void> restore(RestoreContext context) override;

 private:
  // Changes the use of a data centre for the operator of a call.
  kj::Promise<fleet::Answer> ChangeDataCentre(wire::Identity::Reader identity,
                                              const DataCentre& data_centre,
                                              jobs::DataCentreUse use);

  const NodeSettings& settings;
  JobsLink& link;
  JobController* controller;
  DataCentreOrders* data_centre_orders;
  SystemClock clock;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_NODE_OPERATOR_SERVICE_H_
