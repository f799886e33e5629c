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

// The connections to the other processes of the system, by name. Must be used
// on the core's event loop.
class Peers {
 public:
  Peers(kj::Network& network, kj::Timer& timer, const Settings& settings);
  // Creates peers without a list of processes: a process is named by the
  // address at which the others reach it, and any such name can be found.
  // `seeds` are some of the controllers.
  Peers(kj::Network& network, kj::Timer& timer, std::vector<ProcessName> seeds);

  // Replaces the seeds after a change of the settings.
  void SetSeeds(std::vector<ProcessName> seeds) {
    this->controller_names = std::move(seeds);
  }

  // Returns the connection to a process, or null for an unknown name.
  rpc::Channel* Find(const ProcessName& name);

  // Return the names of all processes and of the controllers, including this
  // one.
  const std::vector<ProcessName>& all() const { return this->names; }
  const std::vector<ProcessName>& controllers() const {
    return this->controller_names;
  }

 private:
  kj::Network& network;
  kj::Timer& timer;
  // True if names are addresses and there is no list of processes.
  bool is_open = false;
  std::vector<ProcessName> names;
  std::vector<ProcessName> controller_names;
  std::map<ProcessName, std::unique_ptr<rpc::Channel>> channels;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_PEERS_H_
