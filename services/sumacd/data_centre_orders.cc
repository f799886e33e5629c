// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/data_centre_orders.h"

#include <string>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

fleet::Answer Stale(const char* reason) {
  return {.code = ResultCode::kDataCentreChanged, .message = reason};
}

void LogOrder(const jobs::DataCentreOrder& order, const fleet::Answer& answer) {
  LogEvent(answer.is_ok() ? LogLevel::kInfo : LogLevel::kWarning,
           "data-centre-ordered",
           {{"data_centre", order.data_centre.value()},
            {"use", NameOf(order.use)},
            {"requested_by", order.requested_by},
            {"code", static_cast<int>(answer.code)},
            {"message", answer.message}});
}

}  // namespace

kj::Promise<fleet::Answer> DataCentreOrders::Change(jobs::DataCentreOrder order,
                                                    Milliseconds limit,
                                                    SteadyTime now) {
  auto shared = std::make_shared<const jobs::DataCentreOrder>(std::move(order));
  kj::Promise<fleet::Answer> answered = nullptr;
  if (this->watch.MayBeStale(now)) {
    answered = Stale("this process was suspended; the order may be old");
  } else {
    answered = this->ask(jobs::ShowDataCentre{shared->data_centre}, limit)
                   .then([this, shared,
                          deadline = now + limit](const fleet::Answer& shown) {
                     return this->Commit(shared, deadline, shown);
                   });
  }
  return answered.then([shared](fleet::Answer&& answer) {
    LogOrder(*shared, answer);
    return kj::mv(answer);
  });
}

// Commits the change for the version that the leader has shown.
kj::Promise<fleet::Answer> DataCentreOrders::Commit(
    const std::shared_ptr<const jobs::DataCentreOrder>& order,
    SteadyTime deadline,
    const fleet::Answer& shown) {
  if (!shown.is_ok()) {
    return shown;
  }
  const SteadyTime now = this->clock.SteadyNow();
  if (now >= deadline || this->watch.MayBeStale(now)) {
    return Stale("the order took too long; it may be old");
  }
  if (order->is_awaited && !order->is_awaited()) {
    return Stale("the operator no longer waits for the answer");
  }
  if (shown.document.at("use").get<std::string>() == NameOf(order->use)) {
    return fleet::Answer::Success(StrCat("it is ", NameOf(order->use)));
  }
  return this->ask(
      jobs::Commit{jobs::ChangeDataCentre{
          .data_centre = order->data_centre,
          .use = order->use,
          .expected_version = shown.document.at("version").get<std::uint64_t>(),
          .requested_by = order->requested_by}},
      deadline - now);
}

}  // namespace sumac::daemon
