// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_STATECHART_CHART_H_
#define LIBRARIES_STATECHART_CHART_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace sumac {

// One state of the chart file.
struct ChartState {
  // The properties of this state, e.g. "available"; the code checks tags rather
  // than states.
  std::set<std::string> tags;
  // The next state, by event.
  std::map<std::string, std::string> on;
  // True for a state that has no outgoing transitions.
  bool is_final = false;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("tags", self.tags);
    visitor.Field("on", self.on);
    visitor.Field("final", self.is_final);
  }
};

// A state chart read from a file in charts/. The file defines the states,
// events and transitions; the code defines the actions of the transitions.
class Chart {
 public:
  // Parses and validates a chart: the initial state and the target of each
  // transition exist, each state is reachable, exactly the listed events are
  // used, and exactly the final states have no outgoing transitions.
  static absl::StatusOr<Chart> Create(const nlohmann::json& json,
                                      std::string_view source);

  // Reads and validates the chart file at `path`.
  static absl::StatusOr<Chart> CreateFromFile(const std::string& path);

  // The chart's name.
  const std::string& name() const { return this->chart_name; }

  // The initial state.
  const std::string& initial() const { return this->initial_state; }

  // Returns the state after `event` in `state`. Fails with kWrongState for an
  // unknown state, and for an event that is unknown or has no transition from
  // `state`; the message then lists the events that have one.
  absl::StatusOr<std::string> Next(std::string_view state,
                                   std::string_view event) const;

  // Returns true if `state` has the tag `tag`.
  bool HasTag(std::string_view state, std::string_view tag) const;

  // Checks that the chart's states are exactly those in `names`, the states
  // that the code defines.
  absl::Status CheckStates(const std::set<std::string>& names) const;

  // Returns the chart as a Mermaid state diagram, for the docs.
  std::string ToMermaid() const;

 private:
  Chart() = default;

  absl::Status Validate(std::string_view source) const;
  absl::Status ValidateState(std::string_view source,
                             const std::string& state_name,
                             const ChartState& state) const;
  std::set<std::string> FindReachable() const;

  std::string chart_name;
  std::string initial_state;
  std::set<std::string> events;
  std::map<std::string, ChartState> states;
};

}  // namespace sumac

#endif  // LIBRARIES_STATECHART_CHART_H_
