// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/queries.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/json_writer.h"
#include "libraries/fleet/budget.h"

namespace sumac::daemon {
namespace {

using fleet::Answer;
using nlohmann::json;

constexpr std::string_view kWhyPrefix = "why-";

Answer UnknownName(std::string_view kind, const std::string& name) {
  return Answer{.code = ResultCode::kUnknownName,
                .message = StrCat("no ", kind, " ", name)};
}

json DescribePool(const fleet::FleetState& state, const fleet::Pool& pool) {
  const fleet::BudgetLine line = fleet::WholePoolLine(state, pool);
  json row = ToJson(pool);
  row["members"] = state.CountsOf(pool.name).total().members;
  row["available"] = line.available;
  row["needed"] = line.needed;
  row["spare"] = line.spare();
  return row;
}

Answer QueryPools(const fleet::FleetState& state, const std::string& name) {
  json rows = json::array();
  for (const fleet::Pool& pool : state.record().declaration.pools) {
    if (name.empty() || pool.name.value() == name) {
      rows.push_back(DescribePool(state, pool));
    }
  }
  return !name.empty() && rows.empty() ? UnknownName("pool", name)
                                       : Answer{.document = rows};
}

Answer QueryServices(const fleet::FleetState& state, const std::string& name) {
  json rows = json::array();
  for (const fleet::Service& service : state.record().declaration.services) {
    if (name.empty() || service.name.value() == name) {
      rows.push_back(ToJson(service));
    }
  }
  return !name.empty() && rows.empty() ? UnknownName("service", name)
                                       : Answer{.document = rows};
}

template <typename Map>
Answer QueryMap(const Map& items,
                std::string_view kind,
                const std::string& name) {
  if (!name.empty()) {
    const auto found = items.find(typename Map::key_type(name));
    return found == items.end()
               ? UnknownName(kind, name)
               : Answer{.document = json::array({ToJson(found->second)})};
  }
  json rows = json::array();
  for (const auto& [key, item] : items) {
    rows.push_back(ToJson(item));
  }
  return Answer{.document = rows};
}

Answer QueryControllers(const Controller& controller) {
  const replication::Replica& replica = controller.replica();
  json rows = json::array();
  const auto add = [&](const replication::NodeId& node, std::string_view kind) {
    json row = {{"node", node.value()},
                {"kind", kind},
                {"leads", node == replica.self()},
                {"match_index", replica.last_index().value()}};
    const auto& members = replica.leadership()->members();
    const auto found = members.find(node);
    if (found != members.end()) {
      row["match_index"] = found->second.match_index.value();
      row["silent_ms"] = replica.silence().SilenceOf(node).count();
    }
    rows.push_back(row);
  };
  for (const replication::NodeId& node : replica.membership().AllVoters()) {
    add(node, "voter");
  }
  for (const replication::NodeId& node : replica.membership().learners) {
    add(node, "learner");
  }
  return Answer{.document = rows};
}

Answer QueryDecision(const fleet::FleetState& state, const std::string& name) {
  const auto& decisions = state.record().decisions;
  const auto found = std::find_if(decisions.begin(), decisions.end(),
                                  [&](const fleet::Decision& decision) {
                                    return decision.id.value() == name;
                                  });
  if (found == decisions.end()) {
    return Answer{.code = ResultCode::kUnknownDecision,
                  .message = StrCat("no decision ", name, " is kept")};
  }
  return Answer{.document = ToJson(*found)};
}

// Describes the recorded claim of a request as a decision, shown beside the
// decisions that entries made.
std::optional<fleet::Decision> DescribeClaim(const fleet::FleetState& state,
                                             const std::string& key) {
  const auto found = state.record().claims.find(IdempotencyKey(key));
  if (found == state.record().claims.end()) {
    return std::nullopt;
  }
  const fleet::Claim& claim = found->second;
  fleet::Decision decision{.id = DecisionId(StrCat("claim-", key)),
                           .at = claim.claimed_at,
                           .subject_kind = fleet::SubjectKind::kRequest,
                           .subject = key,
                           .outcome = std::string(NameOf(claim.state)),
                           .rule = "at-most-once"};
  decision.inputs = {{"entry", claim.entry.value()}, {"digest", claim.digest}};
  decision.sentence = StrCat("The key was claimed by ", claim.entry.value(),
                             "; the request is ", NameOf(claim.state), ".");
  return decision;
}

Answer QueryWhy(const fleet::FleetState& state,
                std::string_view kind_name,
                const std::string& name) {
  const auto kind = ParseEnum<fleet::SubjectKind>(kind_name);
  if (!kind) {
    return Answer{
        .code = ResultCode::kBadArgument,
        .message = StrCat("unknown kind ", kind_name,
                          "; known: instance pool job request declaration")};
  }
  json rows = json::array();
  if (*kind == fleet::SubjectKind::kRequest) {
    if (const auto claim = DescribeClaim(state, name)) {
      rows.push_back(ToJson(*claim));
    }
  }
  const auto& decisions = state.record().decisions;
  for (auto item = decisions.rbegin();
       item != decisions.rend() && rows.size() < kMaxDecisionsShown; ++item) {
    const bool is_about = item->subject_kind == *kind && item->subject == name;
    const bool is_in_pool =
        *kind == fleet::SubjectKind::kPool && item->pool.value() == name;
    if (is_about || is_in_pool) {
      rows.push_back(ToJson(*item));
    }
  }
  return Answer{.document = rows};
}

}  // namespace

Answer Query(const Controller& controller,
             const std::string& kind,
             const std::string& name) {
  const fleet::FleetState& state = controller.state();
  const fleet::FleetRecord& record = state.record();
  if (kind == "declaration") {
    return Answer{.document = {{"revision", record.revision.value()},
                               {"winner", record.revision_winner},
                               {"view_version", record.view_version},
                               {"declaration", ToJson(record.declaration)}}};
  }
  if (kind == "pools") {
    return QueryPools(state, name);
  }
  if (kind == "instances") {
    return QueryMap(record.instances, "instance", name);
  }
  if (kind == "services") {
    return QueryServices(state, name);
  }
  if (kind == "jobs") {
    return QueryMap(record.jobs, "job", name);
  }
  if (kind == "controllers") {
    return QueryControllers(controller);
  }
  if (kind == "decision") {
    return QueryDecision(state, name);
  }
  if (kind == "diff") {
    return DiffDeclaration(state, name);
  }
  if (kind.starts_with(kWhyPrefix)) {
    return QueryWhy(state, std::string_view(kind).substr(kWhyPrefix.size()),
                    name);
  }
  return Answer{
      .code = ResultCode::kBadArgument,
      .message = StrCat(
          "unknown kind ", kind,
          "; known: declaration pools instances services jobs controllers")};
}

Answer DiffDeclaration(const fleet::FleetState& state,
                       const std::string& text) {
  const auto parsed = fleet::ParseDeclaration(text, "declaration");
  if (!parsed.ok()) {
    return Answer::FromStatus(parsed.status());
  }
  const json before = ToJson(state.record().declaration);
  const json after = ToJson(*parsed);
  json lines = json::array();
  for (const json& step : json::diff(before, after)) {
    const std::string path = step["path"];
    json line = {{"key", path}, {"change", step["op"]}};
    const json::json_pointer pointer(path);
    if (before.contains(pointer)) {
      line["before"] = before[pointer];
    }
    if (step.contains("value")) {
      line["after"] = step["value"];
    }
    lines.push_back(line);
  }
  return Answer{.message = lines.empty() ? "nothing would change"
                                         : StrCat(lines.size(), " changes"),
                .document = {{"revision", state.record().revision.value()},
                             {"changes", lines}}};
}

}  // namespace sumac::daemon
