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

// One state as the chart file describes it.
struct ChartState {
  // What this state counts as, e.g. "available"; the code asks by tag and not
  // by state.
  std::set<std::string> tags;
  // The next state by event.
  std::map<std::string, std::string> on;
  // True where the thing described needs no way out.
  bool is_final = false;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("tags", self.tags);
    visitor.Field("on", self.on);
    visitor.Field("final", self.is_final);
  }
};

// A state chart read from a file in charts/. The file holds states, events and
// what follows what; the code holds what is done on the way.
class Chart {
 public:
  // Reads and validates a chart: the initial state exists, each target exists,
  // each state can be reached, each listed event is used and no other is, each
  // state but a final one has a way out.
  static absl::StatusOr<Chart> Create(const nlohmann::json& json,
                                      std::string_view source);

  // Reads and validates the chart file at `path`.
  static absl::StatusOr<Chart> CreateFromFile(const std::string& path);

  // The chart's name.
  const std::string& name() const { return this->chart_name; }

  // The state in which everything starts.
  const std::string& initial() const { return this->initial_state; }

  // The state after `event` in `state`. An unknown state or event, or an event
  // that the state doesn't take, is the error kWrongState, which names the
  // events that it does take.
  absl::StatusOr<std::string> Next(std::string_view state,
                                   std::string_view event) const;

  // True if `state` carries `tag`.
  bool HasTag(std::string_view state, std::string_view tag) const;

  // Checks that the chart's states are just those in `names`, the states that
  // the code knows.
  absl::Status CheckStates(const std::set<std::string>& names) const;

  // The chart as a Mermaid state diagram, for the docs.
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
