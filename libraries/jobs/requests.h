// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_REQUESTS_H_
#define LIBRARIES_JOBS_REQUESTS_H_

#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/names.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/job_spec.h"

namespace sumac::jobs {

// What any process may ask of the controller that leads. Callers address queues
// and jobs by host and path; only the leader, which knows what is declared now,
// resolves them. All of them may be sent again after a lost answer.

// Submits the job whose id is what the path holds after its queue's prefix.
struct SubmitAt {
  static constexpr std::string_view kTypeName = "submit-at";
  std::string host;
  std::string path;
  JobSpec spec;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
    visitor.Required("spec", self.spec);
  }
};

// Asks for the state of the job at the path, or, when the path is a queue's
// prefix, for the number of its jobs that have not begun.
struct ShowAt {
  static constexpr std::string_view kTypeName = "show-at";
  std::string host;
  std::string path;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
  }
};

// Cancels the job at the path.
struct CancelAt {
  static constexpr std::string_view kTypeName = "cancel-at";
  std::string host;
  std::string path;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
  }
};

// Commits a command.
struct Commit {
  static constexpr std::string_view kTypeName = "commit";
  Command command;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("command", self.command);
  }
};

// Asks for the operators' document in force.
struct ReadDeclaration {
  static constexpr std::string_view kTypeName = "read-declaration";

  template <typename Self, typename Visitor>
  static void Describe(Self& /*self*/, Visitor& /*visitor*/) {}
};

// Asks whether a maintenance wave is done.
struct ShowWave {
  static constexpr std::string_view kTypeName = "show-wave";
  WaveId wave;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("wave", self.wave);
  }
};

// An operator's question about all jobs, workers, waves, queues, pools or
// controllers, or about one that it names.
struct Show {
  static constexpr std::string_view kTypeName = "show";
  std::string kind;
  std::string name;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("kind", self.kind);
    visitor.Field("name", self.name);
  }
};

using Request = std::variant<SubmitAt,
                             ShowAt,
                             CancelAt,
                             Commit,
                             ReadDeclaration,
                             ShowWave,
                             Show>;

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_REQUESTS_H_
