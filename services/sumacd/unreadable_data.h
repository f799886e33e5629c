// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_UNREADABLE_DATA_H_
#define SERVICES_SUMACD_UNREADABLE_DATA_H_

#include <kj/async-io.h>

#include <string>

#include "absl/status/status.h"
#include "libraries/base/names.h"
#include "libraries/fleet/answer.h"
#include "libraries/replication/types.h"
#include "services/sumacd/join_requester.h"
#include "services/sumacd/peers.h"

namespace sumac::daemon {

// Replaces the damaged data of a controller, as if its disk was lost: the
// process asks to join the group as another replica, and once that is
// committed, sets the data aside and formats the folder anew. Until then
// nothing is changed: if no majority is left without this process, a program
// that can read the data has to find it.
//
// Data that is whole, and of another version than this program, is never
// replaced: one controller after another would give up what their own program
// can read.
class UnreadableData {
 public:
  // `folder` is the data folder of the process `self`.
  UnreadableData(kj::Timer& timer,
                 Peers& peers,
                 ProcessName self,
                 std::string folder);

  // Logs `error`, which is why the data can't be read, and replaces the data.
  // Waits for as long as no leader accepts this process, and for ever if the
  // data isn't damaged.
  kj::Promise<absl::Status> Replace(const absl::Status& error);

 private:
  kj::Promise<fleet::Answer> AskToJoin(const ProcessName& controller,
                                       const replication::NodeId& node);
  absl::Status Format(const replication::NodeId& node);
  bool IsReadableAgain();

  Peers& peers;
  ProcessName self;
  std::string folder;
  JoinRequester requester;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_UNREADABLE_DATA_H_
