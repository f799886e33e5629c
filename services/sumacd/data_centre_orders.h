// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_DATA_CENTRE_ORDERS_H_
#define SERVICES_SUMACD_DATA_CENTRE_ORDERS_H_

#include <kj/async.h>

#include <functional>
#include <memory>

#include "libraries/base/suspension_watch.h"
#include "libraries/base/time.h"
#include "libraries/fleet/answer.h"
#include "libraries/jobs/data_centre_order.h"
#include "libraries/jobs/requests.h"

namespace sumac::daemon {

// Carries out operators' orders to evacuate a data centre or to return it to
// use. An order has two steps: the leader is asked for the data centre's
// version, and the change is committed for just that version. A copy of an
// order that is delayed between or after these steps, in whatever process or
// log, changes nothing once a later order is in force. A copy that is delayed
// before them is recognised by this process having been suspended, or by the
// operator no longer waiting.
class DataCentreOrders {
 public:
  // Sends a request to the leading controller and waits for at most the given
  // time.
  using AskLeader =
      std::function<kj::Promise<fleet::Answer>(jobs::Request, Milliseconds)>;

  // `watch` must outlive this object.
  DataCentreOrders(AskLeader ask, const SuspensionWatch& watch)
      : ask(std::move(ask)), watch(watch) {}

  // Carries out an order that was received at `now`, within `limit`. The code
  // is kDataCentreChanged if the order is stale or another order came between;
  // it may be sent again then.
  kj::Promise<fleet::Answer> Change(jobs::DataCentreOrder order,
                                    Milliseconds limit,
                                    SteadyTime now);

 private:
  kj::Promise<fleet::Answer> Commit(
      const std::shared_ptr<const jobs::DataCentreOrder>& order,
      SteadyTime deadline,
      const fleet::Answer& shown);

  AskLeader ask;
  const SuspensionWatch& watch;
  SystemClock clock;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_DATA_CENTRE_ORDERS_H_
