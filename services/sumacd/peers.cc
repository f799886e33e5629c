// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/peers.h"

namespace sumac::daemon {

Peers::Peers(kj::Network& network, kj::Timer& timer, const Settings& settings) {
  for (const ProcessSettings& process : settings.processes) {
    this->names.push_back(process.name);
    if (process.roles.contains(ProcessRole::kController)) {
      this->controller_names.push_back(process.name);
    }
    this->channels[process.name] =
        std::make_unique<rpc::Channel>(network, timer, process.peer_address);
  }
}

rpc::Channel* Peers::Find(const ProcessName& name) {
  const auto found = this->channels.find(name);
  return found == this->channels.end() ? nullptr : found->second.get();
}

}  // namespace sumac::daemon
