// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/vote_log.h"

#include <string>
#include <utility>
#include <variant>

#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

// Stores `value` as the last one of `node`. Returns false if it was so already.
template <typename Value>
bool Replace(std::map<replication::NodeId, Value>& last,
             const replication::NodeId& node,
             Value value) {
  const auto [known, is_new] = last.try_emplace(node, value);
  if (is_new) {
    return true;
  }
  return std::exchange(known->second, std::move(value)) != known->second;
}

}  // namespace

void VoteLog::Record(const replication::Message& message,
                     const replication::Replica& replica) {
  if (message.to != replica.self()) {
    // It is for the replica of an earlier disk, and is dropped.
    return;
  }
  if (const auto* request =
          std::get_if<replication::VoteRequest>(&message.body)) {
    this->RecordRequest(message, *request, replica);
  } else if (const auto* answer =
                 std::get_if<replication::VoteAnswer>(&message.body)) {
    this->RecordAnswer(message, *answer, replica);
  }
}

void VoteLog::RecordRequest(const replication::Message& message,
                            const replication::VoteRequest& request,
                            const replication::Replica& replica) {
  if (!Replace(this->last_requests, message.from,
               Request(message.term, request.is_pre_vote, request.last_index,
                       request.last_term))) {
    return;
  }
  LogEvent(LogLevel::kInfo, "vote-asked",
           {{"candidate", message.from.value()},
            {"is_pre_vote", request.is_pre_vote},
            {"term", message.term.value()},
            {"last_index", request.last_index.value()},
            {"last_term", request.last_term.value()},
            {"own_term", replica.term().value()},
            {"own_last_index", replica.last_index().value()},
            {"own_last_term", replica.last_term().value()},
            {"is_voter_here", replica.membership().is_voter(replica.self())},
            {"leader", replica.leader() ? replica.leader()->value() : ""}});
}

void VoteLog::RecordAnswer(const replication::Message& message,
                           const replication::VoteAnswer& answer,
                           const replication::Replica& replica) {
  if (!Replace(this->last_answers, message.from,
               Answer(message.term, answer.is_pre_vote, answer.is_granted))) {
    return;
  }
  LogEvent(LogLevel::kInfo, "vote-answered",
           {{"voter", message.from.value()},
            {"is_pre_vote", answer.is_pre_vote},
            {"is_granted", answer.is_granted},
            {"term", message.term.value()},
            {"own_term", replica.term().value()}});
}

}  // namespace sumac::daemon
