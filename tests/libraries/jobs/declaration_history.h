// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_JOBS_DECLARATION_HISTORY_H_
#define TESTS_LIBRARIES_JOBS_DECLARATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/fleet/answer.h"
#include "libraries/jobs/jobs_state.h"
#include "tests/libraries/replication/machine_history.h"

namespace sumac::jobs {

// A fault that is built into the controllers, to show that the history finds
// it.
enum class Plant {
  kNone,
  // A request is decided by the declaration under which it was read alone.
  kDecidesWhenRead,
  // A declaration that is sent again is refused.
  kRefusesRepetition,
  // Other content under the version in force comes into force.
  kTakesOtherContent,
  // Any replica answers reads from its own copy.
  kReadsWithoutLease,
  // A snapshot holds an earlier declaration.
  kForgetsInSnapshots,
  // A declaration is not checked.
  kTakesInvalid,
  // No controller answers a read after the group lost power.
  kSilentAtTheEnd,
  // What follows a queue's prefix is a job's id, whatever it is.
  kTakesAnyId,
};

// A group of controllers with the real replicas, jobs states and codecs, whose
// machines are lost, and the operators and callers that use it. It checks, as
// these see it, that one declaration decides on each request: none older than
// the newest one that was confirmed before the request was sent.
class DeclarationHistory : public replication::MachineHistory {
 public:
  DeclarationHistory(std::uint64_t seed, Plant plant);

  // Plays drawn events. Returns the first broken rule, or an empty string.
  std::string Play(int events);

  // What was seen, to show that a history is no empty one.
  struct Counts {
    int confirmed_declarations = 0;
    int reads = 0;
    int taken_submissions = 0;
    int refusals_by_declaration = 0;
    // Submissions that another declaration decided on than the one under which
    // they were read.
    int decided_later = 0;
    std::set<std::size_t> leaders;
  };
  const Counts& counts() const { return this->seen; }

 private:
  // A controller's copy of the jobs state.
  struct Copy {
    JobsState state;
    std::size_t applied = 0;
  };
  // A request of an operator or a caller that has no answer yet.
  struct Open {
    std::size_t node = 0;
    Term term;
    // The newest version that was confirmed before the request was sent.
    std::uint64_t confirmed = 0;
    // Empty until the command is proposed.
    std::string serial;
    int rounds_to_wait = 0;
    // The version under which a caller's request was read.
    std::uint64_t read_under = 0;
    Command command;
  };

  std::string Disturb();
  std::string Ask();
  std::string SendDeclaration();
  std::string SendInvalid();
  std::string SendTo(std::size_t node, const std::string& document);
  std::string ReadAt(std::size_t node);
  std::string Submit(std::size_t node);
  std::string Count(std::size_t node);
  std::string Round();
  std::string Finish(const Open& open, const fleet::Answer& answer);
  std::string RecordAccepted(const CallerAddress& address, const JobId& job);
  std::string CheckCaller(const CallerAddress& address,
                          std::uint64_t confirmed,
                          ResultCode code) const;
  std::string CheckEnd();
  std::string Fail(const std::string& what) const;

  bool MayAct(std::size_t node);
  Copy& CopyOf(std::size_t node);
  std::string SyncAll();
  std::string Sync(std::size_t node);
  void Propose(Open& open);
  std::size_t DrawNode();
  std::string DrawDocument(std::uint64_t version);
  CallerAddress DrawAddress();

  Plant plant;
  std::map<std::size_t, Copy> copies;
  std::vector<Open> open;
  std::uint64_t next_serial = 1;
  std::uint64_t next_version = 1;
  // The valid documents that were sent, and what is known of them.
  std::map<std::uint64_t, std::set<std::string>> sent;
  std::map<std::uint64_t, std::string> seen_content;
  std::uint64_t confirmed = 0;
  std::set<std::string> confirmed_documents;
  // The job that was accepted at each path.
  std::map<std::string, JobId> accepted;
  Counts seen;
};

}  // namespace sumac::jobs

#endif  // TESTS_LIBRARIES_JOBS_DECLARATION_HISTORY_H_
