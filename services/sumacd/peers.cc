// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/peers.h"

namespace sumac::daemon {

Peers::Peers(kj::Network& network, kj::Timer& timer, const Settings& settings)
    : network(network), timer(timer) {
  for (const ProcessSettings& process : settings.processes) {
    this->names.push_back(process.name);
    if (process.roles.contains(ProcessRole::kController)) {
      this->controller_names.push_back(process.name);
    }
    this->channels[process.name] =
        std::make_unique<rpc::Channel>(network, timer, process.peer_address);
  }
}

Peers::Peers(kj::Network& network,
             kj::Timer& timer,
             std::vector<ProcessName> seeds)
    : network(network),
      timer(timer),
      is_open(true),
      controller_names(std::move(seeds)) {}

rpc::Channel* Peers::Find(const ProcessName& name) {
  const auto found = this->channels.find(name);
  if (found != this->channels.end()) {
    return found->second.get();
  }
  if (!this->is_open || name.value().empty()) {
    return nullptr;
  }
  auto channel =
      std::make_unique<rpc::Channel>(this->network, this->timer, name.value());
  return this->channels.emplace(name, std::move(channel)).first->second.get();
}

}  // namespace sumac::daemon
