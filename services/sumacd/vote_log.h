// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_VOTE_LOG_H_
#define SERVICES_SUMACD_VOTE_LOG_H_

#include <map>
#include <tuple>

#include "libraries/base/names.h"
#include "libraries/replication/replica.h"
#include "libraries/replication/types.h"

namespace sumac::daemon {

// Writes the requests for votes that a replica receives and the answers to its
// own to the log, each with what decides it. A group that elects nobody repeats
// them for as long as that lasts, so a message that says the same as the last
// one of its sender is left out.
class VoteLog {
 public:
  // Records a message before `replica` handles it.
  void Record(const replication::Message& message,
              const replication::Replica& replica);

 private:
  using Request = std::tuple<Term, bool, LogIndex, Term>;
  using Answer = std::tuple<Term, bool, bool>;

  void RecordRequest(const replication::Message& message,
                     const replication::VoteRequest& request,
                     const replication::Replica& replica);
  void RecordAnswer(const replication::Message& message,
                    const replication::VoteAnswer& answer,
                    const replication::Replica& replica);

  std::map<replication::NodeId, Request> last_requests;
  std::map<replication::NodeId, Answer> last_answers;
};

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_VOTE_LOG_H_
