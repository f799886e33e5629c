// SPDX-License-Identifier: Apache-2.0
#include "libraries/routing/decision_ring.h"

#include <utility>

#include "libraries/base/text.h"

namespace sumac::routing {

DecisionRing::DecisionRing(ProcessName process,
                           std::uint64_t start,
                           std::size_t max_decisions)
    : process(std::move(process)), start(start), max_decisions(max_decisions) {}

const fleet::Decision& DecisionRing::Add(fleet::Decision decision) {
  decision.id = DecisionId(StrCat(this->process.value(), ".", this->start, "-",
                                  this->next_number++));
  if (this->decisions.size() >= this->max_decisions) {
    this->decisions.pop_front();
  }
  this->decisions.push_back(std::move(decision));
  return this->decisions.back();
}

std::optional<fleet::Decision> DecisionRing::Find(const DecisionId& id) const {
  const std::size_t dash = id.value().rfind('-');
  std::uint64_t number = 0;
  if (dash == std::string::npos ||
      !ParseNumber(std::string_view(id.value()).substr(dash + 1), &number)) {
    return std::nullopt;
  }
  const std::uint64_t oldest = this->next_number - this->decisions.size();
  if (number < oldest || number >= this->next_number) {
    return std::nullopt;
  }
  const fleet::Decision& found = this->decisions[number - oldest];
  return found.id == id ? std::optional(found) : std::nullopt;
}

std::vector<fleet::Decision> DecisionRing::FindAbout(fleet::SubjectKind kind,
                                                     std::string_view subject,
                                                     std::size_t limit) const {
  std::vector<fleet::Decision> found;
  for (auto item = this->decisions.rbegin();
       item != this->decisions.rend() && found.size() < limit; ++item) {
    if (item->subject_kind == kind && item->subject == subject) {
      found.push_back(*item);
    }
  }
  return found;
}

std::optional<ProcessName> DecisionRing::ProcessOf(const DecisionId& id) {
  const std::size_t dot = id.value().rfind('.');
  if (dot == std::string::npos || dot == 0) {
    return std::nullopt;
  }
  return ProcessName(id.value().substr(0, dot));
}

}  // namespace sumac::routing
