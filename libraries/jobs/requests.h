// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_REQUESTS_H_
#define LIBRARIES_JOBS_REQUESTS_H_

#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/names.h"
#include "libraries/jobs/caller_address.h"
#include "libraries/jobs/commands.h"
#include "libraries/jobs/job_spec.h"

namespace sumac::jobs {

// The requests that any process may send to the leading controller. Callers
// address queues and jobs by host and path. Only the leader resolves these
// addresses, because it has the current declaration. Every request may be sent
// again after its answer was lost.

// Submits a job. Its id is the part of the path that follows the queue's
// prefix.
struct SubmitAt {
  static constexpr std::string_view kTypeName = "submit-at";
  std::string host;
  std::string path;
  Credentials credentials;
  JobSpec spec;

  CallerAddress address() const {
    return {this->host, this->path, this->credentials};
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
    visitor.Field("credentials", self.credentials);
    visitor.Required("spec", self.spec);
  }
};

// Asks for the state of the job at the path or, if the path is a queue's
// prefix, for the number of the queue's jobs that have not begun.
struct ShowAt {
  static constexpr std::string_view kTypeName = "show-at";
  std::string host;
  std::string path;
  Credentials credentials;

  CallerAddress address() const {
    return {this->host, this->path, this->credentials};
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
    visitor.Field("credentials", self.credentials);
  }
};

// Cancels the job at the path.
struct CancelAt {
  static constexpr std::string_view kTypeName = "cancel-at";
  std::string host;
  std::string path;
  Credentials credentials;

  CallerAddress address() const {
    return {this->host, this->path, this->credentials};
  }

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("host", self.host);
    visitor.Required("path", self.path);
    visitor.Field("credentials", self.credentials);
  }
};

// Asks the leader to commit a command.
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

// Asks for the state of a data centre and its version, which an order to change
// that state must name.
struct ShowDataCentre {
  static constexpr std::string_view kTypeName = "show-data-centre";
  DataCentre data_centre;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("data_centre", self.data_centre);
  }
};

// Asks whether a maintenance wave is complete.
struct ShowWave {
  static constexpr std::string_view kTypeName = "show-wave";
  WaveId wave;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Required("wave", self.wave);
  }
};

// Asks for an operator's view of all jobs, workers, waves, queues, pools or
// controllers, or of the one named.
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
                             Show,
                             ShowDataCentre>;

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_REQUESTS_H_
