// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/base/verify.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/budget.h"
#include "libraries/fleet/fleet_machine.h"

namespace sumac::fleet {
namespace {

constexpr std::string_view kCountsTag = "counts";

// True if entries route by this instance.
bool IsRouted(const Instance& instance) {
  return instance.target.kind == TargetKind::kMinion;
}

Answer RecordRefusal(FleetState& state, ResultCode code, Decision decision) {
  decision.outcome = "refused";
  std::string sentence = decision.sentence;
  return Answer{
      code, std::move(sentence), state.AddDecision(std::move(decision)), {}};
}

Answer RecordAcceptance(FleetState& state, Decision decision) {
  std::string sentence = decision.sentence;
  Answer answer = Answer::Success(std::move(sentence));
  answer.decision = state.AddDecision(std::move(decision));
  return answer;
}

Decision DecisionAbout(const Instance& instance, std::string rule) {
  Decision decision{.subject_kind = SubjectKind::kInstance,
                    .subject = instance.target.name.value(),
                    .pool = instance.pool,
                    .rule = std::move(rule)};
  decision.inputs.push_back(
      DecisionInput{"state", std::string(NameOf(instance.state))});
  return decision;
}

// True if the instance would count at once if its planned work were taken back.
bool CanCountAgain(const FleetState& state, const Instance& instance) {
  return state.InstanceHasTag(instance, "can_be_taken_back") &&
         instance.operation && instance.operation->counted_before &&
         !instance.is_silent_while_planned;
}

// Takes planned work back while a pool's budget is broken: the latest grant
// first, and only where the instance still has its work.
void RestoreBudget(FleetState& state, const PoolName& pool_name) {
  const Pool* pool = state.record().declaration.FindPool(pool_name);
  if (pool == nullptr) {
    return;
  }
  while (WholePoolLine(state, *pool).is_broken()) {
    const Instance* latest = nullptr;
    for (const InstanceName& name : state.instances_not_available()) {
      const Instance* instance = state.FindInstance(name);
      if (instance->pool == pool_name && CanCountAgain(state, *instance) &&
          (latest == nullptr ||
           instance->operation->granted_at > latest->operation->granted_at)) {
        latest = instance;
      }
    }
    if (latest == nullptr) {
      return;
    }
    Instance restored = *latest;
    Decision decision = DecisionAbout(restored, "grant-taken-back-on-failure");
    const BudgetLine line = WholePoolLine(state, *pool);
    decision.inputs.push_back(DecisionInput{"budget of pool", ToString(line)});
    decision.outcome = "taken-back";
    decision.sentence = StrCat(
        "The ", NameOf(restored.operation->kind), " of ",
        restored.target.name.value(),
        " had not begun and was taken back, since failures left the pool ",
        pool_name.value(), " with ", ToString(line), ".");
    VERIFY(state.FireInstanceEvent(restored, InstanceEvent::kTakeBack).ok());
    restored.operation.reset();
    state.PutInstance(std::move(restored));
    state.AddDecision(std::move(decision));
    state.IncrementViewVersion();
  }
}

// The lines of the budget that a grant would break, for an instance that counts
// now.
std::optional<BudgetLine> FindLineWithoutSpare(
    const std::vector<BudgetLine>& lines) {
  const auto broken =
      std::find_if(lines.begin(), lines.end(),
                   [](const BudgetLine& line) { return line.spare() < 1; });
  return broken == lines.end() ? std::nullopt : std::optional(*broken);
}

OperationKind ToOperationKind(InstanceRequest request) {
  switch (request) {
    case InstanceRequest::kReboot:
      return OperationKind::kReboot;
    case InstanceRequest::kMove:
      return OperationKind::kMove;
    case InstanceRequest::kDrain:
    case InstanceRequest::kUndrain:
      return OperationKind::kDrain;
  }
  return OperationKind::kDrain;
}

// Gives the instance back its work.
Answer Undrain(FleetState& state,
               Instance instance,
               const OperateInstance& command) {
  Decision decision = DecisionAbout(instance, "undrain-asked");
  const InstanceEvent event = CanCountAgain(state, instance)
                                  ? InstanceEvent::kTakeBack
                                  : InstanceEvent::kTakeBackUnsettled;
  const absl::Status status = state.FireInstanceEvent(instance, event);
  if (!status.ok()) {
    decision.sentence = StrCat("Can't undrain ", instance.target.name.value(),
                               ": ", status.message(), ".");
    return RecordRefusal(state, ResultCode::kWrongState, std::move(decision));
  }
  instance.operation.reset();
  decision.outcome = "taken-back";
  decision.sentence = StrCat(command.identity.operator_name, " gave ",
                             instance.target.name.value(), " back to the pool ",
                             instance.pool.value(), ".");
  if (IsRouted(instance)) {
    state.IncrementViewVersion();
  }
  state.PutInstance(std::move(instance));
  return RecordAcceptance(state, std::move(decision));
}

// Gives a drained, waiting instance its next operation without another drain.
Answer GrantWithoutDrain(FleetState& state,
                         Instance instance,
                         Operation operation,
                         Decision decision) {
  decision.rule = "already-drained";
  decision.outcome = "granted";
  decision.sentence = StrCat(
      "The ", NameOf(operation.kind), " of ", instance.target.name.value(),
      " goes on at once, since it is drained already. Operation ",
      operation.id.value(), ".");
  instance.operation = std::move(operation);
  state.PutInstance(std::move(instance));
  return RecordAcceptance(state, std::move(decision));
}

Answer Grant(FleetState& state,
             Instance instance,
             const OperateInstance& command) {
  const OperationKind kind = ToOperationKind(command.request);
  Operation operation{
      .id = OperationId(StrCat("op-", state.record().next_operation)),
      .kind = kind,
      .target_pool = command.pool,
      .granted_by = command.identity.operator_name,
      .granted_at = state.record().now,
      .counted_before = state.InstanceHasTag(instance, kCountsTag)};
  Decision decision = DecisionAbout(instance, "within-budget");
  if (instance.state == InstanceState::kDrained && instance.operation &&
      instance.operation->kind == OperationKind::kDrain) {
    ++state.mutable_record().next_operation;
    return GrantWithoutDrain(state, std::move(instance), std::move(operation),
                             std::move(decision));
  }
  const Pool* pool = state.record().declaration.FindPool(instance.pool);
  if (pool != nullptr && state.InstanceHasTag(instance, kCountsTag)) {
    const std::vector<BudgetLine> lines =
        BudgetLinesFor(state, *pool, instance);
    const std::vector<DecisionInput> inputs = ToInputs(lines);
    decision.inputs.insert(decision.inputs.end(), inputs.begin(), inputs.end());
    if (const auto broken = FindLineWithoutSpare(lines)) {
      decision.rule = "budget-would-break";
      decision.alternatives.push_back(Alternative{
          "grant now", StrCat(broken->where, " has ", ToString(*broken),
                              "; one less would break the budget")});
      decision.sentence = StrCat(
          "The ", NameOf(kind), " of ", instance.target.name.value(),
          " was refused: the ", broken->where, " of ", instance.pool.value(),
          " has ", ToString(*broken), ". Wait until ", 1 - broken->spare(),
          " more instances count, or lower the budget.");
      return RecordRefusal(state, ResultCode::kBudgetWouldBreak,
                           std::move(decision));
    }
  }
  const absl::Status status =
      state.FireInstanceEvent(instance, InstanceEvent::kGrant);
  if (!status.ok()) {
    decision.rule = "wrong-state";
    decision.sentence =
        StrCat("The ", NameOf(kind), " of ", instance.target.name.value(),
               " was refused: ", status.message(), ".");
    return RecordRefusal(state, ResultCode::kWrongState, std::move(decision));
  }
  ++state.mutable_record().next_operation;
  decision.outcome = "granted";
  decision.sentence =
      StrCat("The ", NameOf(kind), " of ", instance.target.name.value(),
             " was granted to ", command.identity.operator_name,
             " as operation ", operation.id.value(), ".");
  instance.operation = std::move(operation);
  if (IsRouted(instance)) {
    state.IncrementViewVersion();
  }
  state.PutInstance(std::move(instance));
  return RecordAcceptance(state, std::move(decision));
}

absl::Status CheckMoveTarget(const FleetState& state,
                             const Instance& instance,
                             const PoolName& pool) {
  if (state.record().declaration.FindPool(pool) == nullptr) {
    return MakeError(ResultCode::kUnknownName,
                     StrCat("no pool ", pool.value(), " is declared"));
  }
  if (instance.pool == pool) {
    return MakeError(ResultCode::kWrongState,
                     StrCat(instance.target.name.value(), " is in the pool ",
                            pool.value(), " already"));
  }
  return absl::OkStatus();
}

// Puts the instance into the pool that its move names; one entry of the log, so
// that it is in one pool before and in one pool after.
void FinishMove(FleetState& state, Instance instance) {
  Decision decision = DecisionAbout(instance, "move-after-drain");
  const PoolName from = instance.pool;
  if (!state.FireInstanceEvent(instance, InstanceEvent::kMoved).ok()) {
    return;
  }
  instance.pool = instance.operation->target_pool;
  decision.pool = instance.pool;
  decision.outcome = "moved";
  decision.inputs.push_back(
      DecisionInput{"operation", instance.operation->id.value()});
  decision.sentence =
      StrCat(instance.target.name.value(), " was drained and moved from ",
             from.value(), " to ", instance.pool.value(), " for ",
             instance.operation->granted_by, ".");
  instance.operation.reset();
  if (IsRouted(instance)) {
    state.IncrementViewVersion();
  }
  state.PutInstance(std::move(instance));
  state.AddDecision(std::move(decision));
  RefuseImpossibleJobs(state, from);
}

void AddNewInstance(FleetState& state, const TargetDescription& target) {
  Instance instance{
      .target = target, .pool = target.pool, .state_since = state.record().now};
  Decision decision = DecisionAbout(instance, "first-announcement");
  decision.outcome = "joined";
  decision.sentence = StrCat(target.name.value(),
                             " announced itself for the first time and "
                             "joined the pool ",
                             target.pool.value(), ".");
  state.PutInstance(std::move(instance));
  state.AddDecision(std::move(decision));
}

// Ends a reboot once the platform says that it is done and the instance has
// started anew. An earlier start may be a crash before the reboot, which is
// still to come.
void FinishRebootIfDone(const FleetState& state, Instance& instance) {
  const Operation& operation = *instance.operation;
  const bool is_over =
      operation.progress == PlatformProgress::kDone &&
      instance.target.incarnation > operation.incarnation_before;
  if (is_over &&
      state.FireInstanceEvent(instance, InstanceEvent::kReturned).ok()) {
    instance.operation.reset();
    instance.failed_jobs.clear();
  }
}

// Takes in a known target's announcement: a new start, a change, or the end of
// a silence.
void UpdateInstance(FleetState& state,
                    const Instance& known,
                    const TargetDescription& target) {
  Instance instance = known;
  const bool is_new_start = target.incarnation > instance.target.incarnation;
  const bool counted = state.InstanceHasTag(instance, kCountsTag);
  instance.is_silent_while_planned = false;
  // NOTE: The pool that a target names counts only the first time; after that
  // it is ours.
  instance.target = target;
  if (instance.state == InstanceState::kRebooting) {
    FinishRebootIfDone(state, instance);
  } else if (is_new_start || instance.state == InstanceState::kLeft) {
    if (!state.FireInstanceEvent(instance, InstanceEvent::kReturned).ok()) {
      return;
    }
    instance.failed_jobs.clear();
  } else if (instance.state == InstanceState::kSilent) {
    if (!state.FireInstanceEvent(instance, InstanceEvent::kHeard).ok()) {
      return;
    }
  }
  state.PutInstance(std::move(instance));
  if (counted) {
    RestoreBudget(state, known.pool);
  }
}

void ApplyTargetDescription(FleetState& state,
                            const TargetDescription& target) {
  const Instance* known = state.FindInstance(target.name);
  if (known == nullptr) {
    AddNewInstance(state, target);
  } else if (target.incarnation >= known->target.incarnation) {
    UpdateInstance(state, *known, target);
  } else {
    return;
  }
  if (target.kind == TargetKind::kMinion) {
    state.IncrementViewVersion();
  }
}

void ApplyDetectedEvent(FleetState& state,
                        const RecordInstanceEvents::Item& item) {
  const Instance* known = state.FindInstance(item.instance);
  if (known == nullptr || known->target.incarnation != item.incarnation) {
    return;
  }
  Instance instance = *known;
  if (!state.FireInstanceEvent(instance, item.event).ok()) {
    return;
  }
  const PoolName pool = instance.pool;
  const bool is_planned = state.InstanceHasTag(instance, "planned");
  instance.is_silent_while_planned =
      is_planned && item.event == InstanceEvent::kSilence;
  const bool is_move =
      instance.operation && instance.operation->kind == OperationKind::kMove;
  if (item.event == InstanceEvent::kLeave) {
    instance.operation.reset();
  }
  if (IsRouted(instance)) {
    state.IncrementViewVersion();
  }
  if (item.event == InstanceEvent::kSilence && !is_planned) {
    Decision decision = DecisionAbout(instance, "silent-counts-as-down");
    decision.outcome = "set-aside";
    decision.sentence = StrCat(item.instance.value(),
                               " was silent for too long and no "
                               "longer counts for the pool ",
                               pool.value(), ".");
    state.AddDecision(std::move(decision));
  }
  if (item.event == InstanceEvent::kDrained && is_move) {
    FinishMove(state, std::move(instance));
  } else {
    state.PutInstance(std::move(instance));
  }
  if (item.event == InstanceEvent::kSilence ||
      item.event == InstanceEvent::kLeave) {
    RestoreBudget(state, pool);
  }
  if (item.event == InstanceEvent::kLeave) {
    RefuseImpossibleJobs(state, pool);
  }
}

}  // namespace

Answer Apply(FleetState& state, const OperateInstance& command) {
  const absl::StatusOr<const Instance*> found =
      state.GetInstance(command.instance);
  if (!found.ok()) {
    return Answer::FromStatus(found.status());
  }
  const Instance& instance = **found;
  if (command.request == InstanceRequest::kUndrain) {
    return Undrain(state, instance, command);
  }
  if (command.request == InstanceRequest::kMove) {
    const absl::Status status = CheckMoveTarget(state, instance, command.pool);
    if (!status.ok()) {
      return Answer::FromStatus(status);
    }
  }
  return Grant(state, instance, command);
}

Answer Apply(FleetState& state, const RecordTargets& command) {
  for (const TargetDescription& target : command.targets) {
    ApplyTargetDescription(state, target);
  }
  return Answer::Success("recorded");
}

Answer Apply(FleetState& state, const RecordInstanceEvents& command) {
  for (const RecordInstanceEvents::Item& item : command.items) {
    ApplyDetectedEvent(state, item);
  }
  return Answer::Success("recorded");
}

Answer Apply(FleetState& state, const RecordPlatformReport& command) {
  const absl::StatusOr<const Instance*> found =
      state.GetInstance(command.instance);
  if (!found.ok()) {
    return Answer::FromStatus(found.status());
  }
  Instance instance = **found;
  if (!instance.operation || instance.operation->id != command.operation) {
    return Answer{.code = ResultCode::kStaleReport,
                  .message = StrCat("operation ", command.operation.value(),
                                    " is not the present one of ",
                                    command.instance.value())};
  }
  // The platform may report late and out of order; progress only goes on.
  if (command.progress <= instance.operation->progress) {
    return Answer::Success("known already");
  }
  instance.operation->progress = command.progress;
  const bool is_reboot = instance.operation->kind == OperationKind::kReboot;
  if (is_reboot && instance.state == InstanceState::kDrained) {
    TRY_OR_ANSWER(
        state.FireInstanceEvent(instance, InstanceEvent::kRebootBegun));
  }
  if (command.progress == PlatformProgress::kFailed &&
      instance.state == InstanceState::kRebooting) {
    TRY_OR_ANSWER(
        state.FireInstanceEvent(instance, InstanceEvent::kRebootFailed));
    Decision decision = DecisionAbout(instance, "platform-reported-failure");
    decision.outcome = "failed";
    decision.sentence =
        StrCat("The platform could not reboot ", command.instance.value(), ": ",
               command.detail, ". It stays out of its pool.");
    state.AddDecision(std::move(decision));
    instance.operation.reset();
  }
  if (instance.state == InstanceState::kRebooting) {
    FinishRebootIfDone(state, instance);
  }
  state.PutInstance(std::move(instance));
  return Answer::Success("recorded");
}

}  // namespace sumac::fleet
