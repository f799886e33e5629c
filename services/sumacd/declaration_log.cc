// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/declaration_log.h"

#include <utility>

#include "libraries/codec/json_writer.h"
#include "libraries/jobs/declaration_changes.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {

void LogAppliedDeclaration(std::uint64_t version_before,
                           const jobs::Declare& command,
                           const jobs::JobsState& state,
                           const fleet::Answer& answer) {
  LogEvent(answer.is_ok() ? LogLevel::kInfo : LogLevel::kWarning,
           "declaration-applied",
           {{"version", command.version},
            {"in_force_before", version_before},
            {"in_force", state.declaration().version()},
            {"code", static_cast<int>(answer.code)},
            {"message", answer.message}});
}

void LogDeclarationChanges(const jobs::JobsDeclaration& before,
                           const jobs::JobsDeclaration& after) {
  nlohmann::json fields = ToJson(CompareDeclarations(before, after));
  fields["from"] = before.version();
  fields["to"] = after.version();
  LogEvent(LogLevel::kInfo, "declaration-changes", std::move(fields));
}

void LogLoadedDeclaration(std::uint64_t version_before,
                          const jobs::JobsState& state) {
  LogEvent(LogLevel::kInfo, "declaration-loaded",
           {{"in_force_before", version_before},
            {"in_force", state.declaration().version()}});
}

}  // namespace sumac::daemon
