// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_DECISION_H_
#define LIBRARIES_FLEET_DECISION_H_

#include <array>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::fleet {

// The kinds of things that a decision can be about.
enum class SubjectKind {
  kInstance,
  kPool,
  kJob,
  kRequest,
  kDeclaration,
  kWave
};

// One input of a decision, and its age at that time.
struct DecisionInput {
  std::string name;
  std::string value;
  Milliseconds age{0};

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("name", self.name);
    visitor.Field("value", self.value);
    visitor.Field("age_ms", self.age);
  }
};

// An alternative that was not chosen, and the reason.
struct Alternative {
  std::string name;
  std::string why_not;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("name", self.name);
    visitor.Field("why_not", self.why_not);
  }
};

// The record of one decision. It tells an operator what was done, by which
// rule, and why each alternative was not chosen.
struct Decision {
  DecisionId id;
  WallTime at;
  SubjectKind subject_kind = SubjectKind::kInstance;
  std::string subject;
  // The pool that the decision concerns, for queries by pool; may be empty.
  PoolName pool;
  // The outcome, such as placed, granted, refused, moved, taken-back or
  // quarantined.
  std::string outcome;
  // The rule that was applied, in kebab-case.
  std::string rule;
  std::vector<DecisionInput> inputs;
  std::vector<Alternative> alternatives;
  // A sentence that summarizes the decision and that an on-call operator can
  // act on.
  std::string sentence;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("id", self.id);
    visitor.Field("at", self.at);
    visitor.Field("subject_kind", self.subject_kind);
    visitor.Field("subject", self.subject);
    visitor.Field("pool", self.pool);
    visitor.Field("outcome", self.outcome);
    visitor.Field("rule", self.rule);
    visitor.Field("inputs", self.inputs);
    visitor.Field("alternatives", self.alternatives);
    visitor.Field("sentence", self.sentence);
  }
};

}  // namespace sumac::fleet

namespace sumac {

template <>
struct EnumNames<fleet::SubjectKind> {
  using Kind = fleet::SubjectKind;
  static constexpr std::array kNames = {
      EnumName<Kind>{Kind::kInstance, "instance"},
      EnumName<Kind>{Kind::kPool, "pool"},
      EnumName<Kind>{Kind::kJob, "job"},
      EnumName<Kind>{Kind::kRequest, "request"},
      EnumName<Kind>{Kind::kDeclaration, "declaration"},
      EnumName<Kind>{Kind::kWave, "wave"},
  };
};

}  // namespace sumac

#endif  // LIBRARIES_FLEET_DECISION_H_
