// SPDX-License-Identifier: Apache-2.0
#include "libraries/base/text.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/fleet_machine.h"

namespace sumac::fleet {
namespace {

// Instances stay in the pool they are in, so a pool with members may not vanish
// under them.
absl::Status CheckPoolsInUse(const FleetState& state, const Declaration& next) {
  for (const Pool& pool : state.record().declaration.pools) {
    const std::uint32_t members = state.CountsOf(pool.name).total().members;
    if (members > 0 && next.FindPool(pool.name) == nullptr) {
      return MakeError(ResultCode::kInvalidDeclaration,
                       StrCat("the pool ", pool.name.value(), " still has ",
                              members, " instances; move them first"));
    }
  }
  return absl::OkStatus();
}

}  // namespace

Answer Apply(FleetState& state, const ApplyDeclaration& command) {
  FleetRecord& record = state.mutable_record();
  if (command.expected != record.revision) {
    Decision decision{.subject_kind = SubjectKind::kDeclaration,
                      .subject = StrCat(record.revision.value()),
                      .outcome = "refused",
                      .rule = "expected-revision"};
    decision.sentence = StrCat(
        "The declaration was made from revision ", command.expected.value(),
        ", but revision ", record.revision.value(), " by ",
        record.revision_winner.empty() ? "nobody" : record.revision_winner,
        " is in force. Look at it with get declaration, take it over and apply "
        "again.");
    const std::string sentence = decision.sentence;
    return Answer{ResultCode::kRevisionConflict,
                  sentence,
                  state.AddDecision(std::move(decision)),
                  {}};
  }
  absl::Status status = ValidateDeclaration(command.declaration);
  if (status.ok()) {
    status = CheckPoolsInUse(state, command.declaration);
  }
  if (!status.ok()) {
    return Answer::FromStatus(status);
  }
  record.declaration = command.declaration;
  record.revision = record.revision.Next();
  record.revision_winner = StrCat(command.identity.operator_name, " (request ",
                                  command.identity.request_id.value(), ")");
  state.IncrementViewVersion();
  Decision decision{.subject_kind = SubjectKind::kDeclaration,
                    .subject = StrCat(record.revision.value()),
                    .outcome = "accepted",
                    .rule = "expected-revision"};
  decision.sentence = StrCat("Revision ", record.revision.value(), " by ",
                             record.revision_winner, " is in force.");
  Answer answer = Answer::Success(decision.sentence);
  answer.decision = state.AddDecision(std::move(decision));
  answer.document = {{"revision", record.revision.value()},
                     {"view_version", record.view_version}};
  return answer;
}

}  // namespace sumac::fleet
