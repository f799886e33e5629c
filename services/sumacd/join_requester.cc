// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/join_requester.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/base/kj_time.h"
#include "libraries/base/result_code.h"

namespace sumac::daemon {
namespace {

constexpr Milliseconds kJoinInterval{500};

}  // namespace

JoinRequester::JoinRequester(kj::Timer& timer,
                             ProcessName self,
                             KnownControllers known_controllers,
                             AskToJoin ask)
    : timer(timer),
      self(std::move(self)),
      known_controllers(std::move(known_controllers)),
      ask(std::move(ask)) {}

ProcessName JoinRequester::NextController() {
  ProcessName hint = std::exchange(this->leader_hint, ProcessName());
  if (!hint.value().empty() && hint != this->self) {
    return hint;
  }
  std::vector<ProcessName> controllers = this->known_controllers();
  std::erase(controllers, this->self);
  return controllers.empty() ? ProcessName()
                             : controllers[this->next++ % controllers.size()];
}

kj::Promise<void> JoinRequester::Join(const replication::NodeId& node) {
  const ProcessName controller = this->NextController();
  kj::Promise<fleet::Answer> asked =
      controller.value().empty() ? kj::Promise<fleet::Answer>(fleet::Answer{
                                       .code = ResultCode::kUnreachable})
                                 : this->ask(controller, node);
  return asked
      .catch_([](kj::Exception&& exception) {
        return fleet::Answer{.code = ResultCode::kUnreachable,
                             .message = exception.getDescription().cStr()};
      })
      .then([this, node,
             controller](const fleet::Answer& answer) -> kj::Promise<void> {
        if (answer.is_ok()) {
          return kj::READY_NOW;
        }
        if (answer.code == ResultCode::kNotLeader) {
          this->leader_hint = ProcessName(answer.message);
        } else if (answer.code == ResultCode::kWrongState) {
          this->leader_hint = controller;
        }
        return this->timer.afterDelay(ToKj(kJoinInterval)).then([this, node] {
          return this->Join(node);
        });
      });
}

}  // namespace sumac::daemon
