// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_DECLARATION_LOG_H_
#define SERVICES_SUMACD_DECLARATION_LOG_H_

#include <cstdint>

#include "libraries/fleet/answer.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/declaration.h"
#include "libraries/jobs/jobs_state.h"

namespace sumac::daemon {

// Logs a declaration that a replica applied: the version in force before and
// after it, and the answer.
void LogAppliedDeclaration(std::uint64_t version_before,
                           const jobs::Declare& command,
                           const jobs::JobsState& state,
                           const fleet::Answer& answer);

// Logs what a declaration that came into force changed.
void LogDeclarationChanges(const jobs::JobsDeclaration& before,
                           const jobs::JobsDeclaration& after);

// Logs the declaration that came into force with a snapshot.
void LogLoadedDeclaration(std::uint64_t version_before,
                          const jobs::JobsState& state);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_DECLARATION_LOG_H_
