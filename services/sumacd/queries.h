// SPDX-License-Identifier: Apache-2.0
#ifndef SERVICES_SUMACD_QUERIES_H_
#define SERVICES_SUMACD_QUERIES_H_

#include <string>
#include <string_view>

#include "libraries/fleet/answer.h"
#include "libraries/fleet/fleet_state.h"
#include "services/sumacd/controller.h"

namespace sumac::daemon {

// How many decisions an answer to "why" holds at most.
inline constexpr std::size_t kMaxDecisionsShown = 20;

// Answers one question about the committed state. Kinds: declaration, pools,
// instances, services, jobs, controllers, decision (name is an id),
// why-instance, why-pool, why-job, why-request, diff (name is a declaration's
// text). An empty name means all.
fleet::Answer Query(const Controller& controller,
                    const std::string& kind,
                    const std::string& name);

// What a declaration would change, line by line.
fleet::Answer DiffDeclaration(const fleet::FleetState& state,
                              const std::string& text);

}  // namespace sumac::daemon

#endif  // SERVICES_SUMACD_QUERIES_H_
