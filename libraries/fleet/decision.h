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

// What a decision is about.
enum class SubjectKind {
  kInstance,
  kPool,
  kJob,
  kRequest,
  kDeclaration,
  kWave
};

// Something that mattered for a decision, and how old it was.
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

// What could have been decided instead, and why it was not.
struct Alternative {
  std::string name;
  std::string why_not;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("name", self.name);
    visitor.Field("why_not", self.why_not);
  }
};

// The record of one decision: enough to tell an operator what was done, by
// which rule and why nothing else was.
struct Decision {
  DecisionId id;
  WallTime at;
  SubjectKind subject_kind = SubjectKind::kInstance;
  std::string subject;
  // The pool it concerns, for asking by pool; may be empty.
  PoolName pool;
  // placed, granted, refused, moved, taken-back, quarantined and so on.
  std::string outcome;
  // The rule that fired, in kebab-case.
  std::string rule;
  std::vector<DecisionInput> inputs;
  std::vector<Alternative> alternatives;
  // All of it in a sentence that an on-call operator can act on.
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
