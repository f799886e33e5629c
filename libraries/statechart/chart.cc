// SPDX-License-Identifier: Apache-2.0
#include "libraries/statechart/chart.h"

#include <utility>

#include "absl/strings/str_join.h"
#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_file.h"
#include "libraries/codec/json_reader.h"

namespace sumac {
namespace {

constexpr ReaderCodes kChartCodes{ResultCode::kChartInvalid,
                                  ResultCode::kChartInvalid};

// The content of a chart file.
struct ChartFile {
  std::string chart;
  std::string initial;
  std::set<std::string> events;
  std::map<std::string, ChartState> states;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("chart", self.chart);
    visitor.Required("initial", self.initial);
    visitor.Required("events", self.events);
    visitor.Required("states", self.states);
  }
};

absl::Status Invalid(std::string_view source, std::string_view problem) {
  return MakeError(ResultCode::kChartInvalid, StrCat(source, ": ", problem));
}

}  // namespace

absl::StatusOr<Chart> Chart::Create(const nlohmann::json& json,
                                    std::string_view source) {
  ChartFile file =
      TRY(FromJson<ChartFile>(json, source, UnknownKeys::kRefuse, kChartCodes));
  Chart chart;
  chart.chart_name = std::move(file.chart);
  chart.initial_state = std::move(file.initial);
  chart.events = std::move(file.events);
  chart.states = std::move(file.states);
  TRY(chart.Validate(source));
  return chart;
}

absl::StatusOr<Chart> Chart::CreateFromFile(const std::string& path) {
  return Create(TRY(ReadJsonFile(path)), path);
}

absl::Status Chart::Validate(std::string_view source) const {
  if (!this->states.contains(this->initial_state)) {
    return Invalid(source, StrCat("no initial state ", this->initial_state));
  }
  for (const auto& [state_name, state] : this->states) {
    TRY(this->ValidateState(source, state_name, state));
  }
  std::set<std::string> used;
  for (const auto& [state_name, state] : this->states) {
    for (const auto& [event, target] : state.on) {
      used.insert(event);
    }
  }
  for (const std::string& event : this->events) {
    if (!used.contains(event)) {
      return Invalid(source, StrCat("no state takes the event ", event));
    }
  }
  const std::set<std::string> reachable = this->FindReachable();
  for (const auto& [state_name, state] : this->states) {
    if (!reachable.contains(state_name)) {
      return Invalid(source,
                     StrCat("the state ", state_name, " can't be reached"));
    }
  }
  return absl::OkStatus();
}

absl::Status Chart::ValidateState(std::string_view source,
                                  const std::string& state_name,
                                  const ChartState& state) const {
  if (state.on.empty() != state.is_final) {
    return Invalid(source,
                   StrCat("the state ", state_name,
                          state.is_final ? " is final but has a way out"
                                         : " has no way out and is not final"));
  }
  for (const auto& [event, target] : state.on) {
    if (!this->events.contains(event)) {
      return Invalid(source, StrCat("the event ", event, " of ", state_name,
                                    " is missing from events"));
    }
    if (!this->states.contains(target)) {
      return Invalid(source, StrCat("the event ", event, " of ", state_name,
                                    " leads to the unknown state ", target));
    }
  }
  return absl::OkStatus();
}

std::set<std::string> Chart::FindReachable() const {
  std::set<std::string> reachable;
  std::vector<std::string> open = {this->initial_state};
  while (!open.empty()) {
    const std::string state_name = open.back();
    open.pop_back();
    if (!reachable.insert(state_name).second) {
      continue;
    }
    for (const auto& [event, target] : this->states.at(state_name).on) {
      open.push_back(target);
    }
  }
  return reachable;
}

absl::StatusOr<std::string> Chart::Next(std::string_view state,
                                        std::string_view event) const {
  const auto row = this->states.find(std::string(state));
  if (row == this->states.end()) {
    return MakeError(ResultCode::kWrongState,
                     StrCat(this->chart_name, ": unknown state ", state));
  }
  const auto next = row->second.on.find(std::string(event));
  if (next == row->second.on.end()) {
    const auto add_event = [](std::string* text, const auto& step) {
      StrAppend(text, step.first);
    };
    return MakeError(ResultCode::kWrongState,
                     StrCat(this->chart_name, ": the state ", state,
                            " does not take ", event, "; it takes ",
                            absl::StrJoin(row->second.on, " ", add_event)));
  }
  return next->second;
}

bool Chart::HasTag(std::string_view state, std::string_view tag) const {
  const auto row = this->states.find(std::string(state));
  return row != this->states.end() &&
         row->second.tags.contains(std::string(tag));
}

absl::Status Chart::CheckStates(const std::set<std::string>& names) const {
  for (const std::string& state_name : names) {
    if (!this->states.contains(state_name)) {
      return Invalid(this->chart_name, StrCat("lacks the state ", state_name));
    }
  }
  for (const auto& [state_name, state] : this->states) {
    if (!names.contains(state_name)) {
      return Invalid(this->chart_name,
                     StrCat("the program has no state ", state_name));
    }
  }
  return absl::OkStatus();
}

std::string Chart::ToMermaid() const {
  std::string text =
      StrCat("stateDiagram-v2\n  [*] --> ", this->initial_state, "\n");
  for (const auto& [state_name, state] : this->states) {
    for (const auto& [event, target] : state.on) {
      StrAppend(&text, "  ", state_name, " --> ", target, ": ", event, "\n");
    }
    if (state.is_final) {
      StrAppend(&text, "  ", state_name, " --> [*]\n");
    }
  }
  return text;
}

}  // namespace sumac
