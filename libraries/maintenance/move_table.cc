// SPDX-License-Identifier: Apache-2.0
#include "libraries/maintenance/move_table.h"

#include <algorithm>
#include <utility>

namespace sumac::maintenance {

bool IsHeadroom(const jobs::JobsState& state, const ServiceName& service) {
  const jobs::ServiceDeclaration* found =
      state.declaration().FindService(service);
  return found != nullptr && found->is_headroom;
}

std::int64_t MoveTable::CountFree() const {
  const auto waiting = std::count_if(
      this->moves.begin(), this->moves.end(), [](const auto& item) {
        return !item.second.is_accepted && !item.second.is_draining;
      });
  return this->window.CountFree(waiting);
}

void MoveTable::Begin(const InstanceName& name, Move move) {
  this->moves[name] = std::move(move);
}

// True if the instance is in its new pool. No worker appears on an instance
// that is switched off, so that its move counts as complete after the move
// time.
bool MoveTable::HasArrived(const jobs::JobsState& state,
                           const std::map<InstanceName, InstanceFacts>& facts,
                           const InstanceName& name,
                           const Move& move,
                           SteadyTime now) const {
  const auto known = facts.find(name);
  return (known != facts.end() && !known->second.is_only_announced &&
          known->second.worker != move.worker) ||
         (IsHeadroom(state, move.to) &&
          now - move.accepted_at >= this->settings.move_time);
}

bool MoveTable::IsOver(const jobs::JobsState& state,
                       const std::map<InstanceName, InstanceFacts>& facts,
                       const EvacuatedInstances& evacuated,
                       const InstanceName& name,
                       const Move& move,
                       SteadyTime now) const {
  if (move.is_under_way) {
    return false;
  }
  if (move.is_accepted) {
    return this->HasArrived(state, facts, name, move, now) ||
           now - move.accepted_at > this->settings.max_move_duration;
  }
  // A move that has not been ordered yet ends with the evacuation of the
  // instance's data centre.
  return evacuated.Has(state, facts, name) ||
         now - move.since > this->settings.max_move_duration;
}

// True if a record of a move of the instance by this leader is committed, so
// that the order may be sent.
bool MoveTable::HasRecord(const jobs::JobsState& state,
                          const InstanceName& name) const {
  const auto record = state.record().moves.find(name);
  return record != state.record().moves.end() &&
         record->second.epoch == this->epoch;
}

// True if no record of this move is committed yet, although one of an earlier
// move of the instance may be. An earlier record names another worker, and will
// soon be too old to keep the next leader from giving orders about the
// instance.
bool MoveTable::IsRecordOld(const jobs::JobsState& state,
                            const InstanceName& name,
                            Move& move) const {
  if (!this->HasRecord(state, name)) {
    return true;
  }
  const jobs::MoveRecord& record = state.record().moves.at(name);
  if (!std::exchange(move.has_checked_record, true)) {
    move.earlier_record = record;
  }
  return move.earlier_record && move.earlier_record->at == record.at;
}

// Gives up the moves of instances that a task needs, unless an order may be
// carried out: what starts there would be lost.
void MoveTable::GiveBackNeeded(
    const std::map<InstanceName, InstanceFacts>& facts,
    SteadyTime now) {
  std::erase_if(this->moves, [&](const auto& item) {
    const auto& [name, move] = item;
    const auto known = facts.find(name);
    const bool is_given_back = known != facts.end() &&
                               known->second.is_needed && !move.is_accepted &&
                               !move.is_under_way && !move.is_unanswered;
    if (is_given_back) {
      this->pauses.Record(name, now);
    }
    return is_given_back;
  });
}

void MoveTable::Advance(const jobs::JobsState& state,
                        const std::map<InstanceName, InstanceFacts>& facts,
                        const EvacuatedInstances& evacuated,
                        SteadyTime now,
                        CapacityOutput& output) {
  std::erase_if(this->moves, [&](const auto& item) {
    return this->IsOver(state, facts, evacuated, item.first, item.second, now);
  });
  this->GiveBackNeeded(facts, now);
  jobs::RecordMoves to_record;
  for (auto& [name, move] : this->moves) {
    output.cordoned.insert(name);
    const auto known = facts.find(name);
    const bool is_empty =
        known == facts.end() ||
        (known->second.budgeted_runs == 0 && known->second.other_runs == 0);
    const bool is_open = !move.is_accepted && !move.is_under_way;
    move.is_draining = is_open && !is_empty;
    const bool is_due = is_open && is_empty && now >= move.due;
    const bool is_record_wanted =
        is_due && this->IsRecordOld(state, name, move);
    if (is_record_wanted && now >= move.record_due) {
      move.record_due = now + this->settings.retry;
      to_record.instances.push_back(name);
      if (!move.worker.value().empty()) {
        to_record.workers[name] = move.worker;
      }
    }
    // NOTE: At peak load instances move between pools every few seconds. If
    // each order waited for its own record, it would come too late for the
    // shift in demand. Only the first move of an instance under a leader waits
    // for its record.
    if (is_due && this->HasRecord(state, name)) {
      move.is_under_way = true;
      move.ordered_at = now;
      output.orders.push_back(InstanceOrder{.instance = name,
                                            .pool = move.to,
                                            .holder = this->holder,
                                            .epoch = this->epoch});
    }
  }
  if (!to_record.instances.empty()) {
    output.commands.emplace_back(std::move(to_record));
  }
}

std::vector<jobs::Command> MoveTable::HandleOrderResult(
    const InstanceOrder& order,
    InstanceResult result,
    SteadyTime now) {
  std::vector<jobs::Command> commands;
  const auto found = this->moves.find(order.instance);
  if (found == this->moves.end()) {
    return commands;
  }
  Move& move = found->second;
  move.is_under_way = false;
  move.due = now + this->settings.retry;
  this->window.RecordAnswer(now - move.ordered_at,
                            result == InstanceResult::kRefused, now);
  move.is_unanswered = move.is_unanswered || result == InstanceResult::kUnknown;
  switch (result) {
    case InstanceResult::kDone:
      move.is_accepted = true;
      move.accepted_at = now;
      if (!move.worker.value().empty()) {
        commands.emplace_back(jobs::ForgetWorker{move.worker, true});
      }
      break;
    case InstanceResult::kBusy:
    case InstanceResult::kNotInWave:
    case InstanceResult::kUnknownInstance:
      this->moves.erase(found);
      break;
    case InstanceResult::kFenced:
      this->is_fenced = true;
      break;
    case InstanceResult::kRefused:
    case InstanceResult::kUnknown:
      break;
  }
  return commands;
}

}  // namespace sumac::maintenance
