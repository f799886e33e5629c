// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_PEERS_H_
#define SERVICES_SUMACD_PEERS_H_

#include <kj/async-io.h>
#include <kj/timer.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/rpc/channel.h"
#include "services/sumacd/settings.h"

namespace sumac::daemon {

// Connections to the other processes of the system, by name. Belongs to the
// core's event loop.
class Peers {
 public:
  Peers(kj::Network& network, kj::Timer& timer, const Settings& settings);
  // Without a list of processes: a process is named by the address where the
  // others reach it, and any such name can be found. `seeds` are some of the
  // controllers.
  Peers(kj::Network& network, kj::Timer& timer, std::vector<ProcessName> seeds);

  // Takes in that the settings name other seeds now.
  void SetSeeds(std::vector<ProcessName> seeds) {
    this->controller_names = std::move(seeds);
  }

  // The connection to a process, or nothing for an unknown name.
  rpc::Channel* Find(const ProcessName& name);

  // The names of all processes and of the controllers, this one included.
  const std::vector<ProcessName>& all() const { return this->names; }
  const std::vector<ProcessName>& controllers() const {
    return this->controller_names;
  }

 private:
  kj::Network& network;
  kj::Timer& timer;
  // True if names are addresses.
  bool is_open = false;
  std::vector<ProcessName> names;
  std::vector<ProcessName> controller_names;
  std::map<ProcessName, std::unique_ptr<rpc::Channel>> channels;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PEERS_H_
