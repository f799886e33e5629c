// SPDX-License-Identifier: Apache-2.0

// Checks the logs of a soak test's stand-ins against the guarantees of the
// system. Prints each violation, then a line of counts. Exits with 1 if there
// is any violation.

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "libraries/base/time.h"
#include "tests/stand_ins/soak_checks.h"

namespace {

using sumac::Milliseconds;

// Reads the events of a file up to the time `until`, without a last line that
// is still incomplete. Returns false if a line is not an event.
bool ReadEvents(const std::string& path,
                sumac::WallTime until,
                std::vector<nlohmann::json>& events) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    // A line without a line feed is still being written.
    if (file.eof()) {
      return true;
    }
    nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object()) {
      std::cout << path << ": not an event: " << line << "\n";
      return false;
    }
    if (event.at("at").get<std::int64_t>() <=
        until.time_since_epoch().count()) {
      events.push_back(std::move(event));
    }
  }
  return true;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  std::int64_t age = 0;
  if (argument_count < 3 || !absl::SimpleAtoi(argument_values[1], &age)) {
    std::cerr << "usage: soak_checker MILLISECONDS LOG...\n"
                 "Leaves out what is younger than MILLISECONDS, which a paused "
                 "process may not have logged\nyet; 0 for a soak that is "
                 "over.\n";
    return 2;
  }
  const sumac::WallTime until =
      age == 0 ? sumac::WallTime::max()
               : sumac::SystemClock().Now() - Milliseconds(age);
  std::vector<nlohmann::json> events;
  for (int number = 2; number < argument_count; ++number) {
    if (!ReadEvents(argument_values[number], until, events)) {
      return 1;
    }
  }
  const sumac::stand_ins::SoakHistory history(std::move(events));
  std::vector<std::string> violations =
      sumac::stand_ins::FindViolations(history);
  if (age == 0) {
    for (std::string& text : sumac::stand_ins::FindUnfinishedJobs(history)) {
      violations.push_back(std::move(text));
    }
  }
  for (const std::string& text : violations) {
    std::cout << "BROKEN " << text << "\n";
  }
  std::cout << history.jobs().size() << " jobs, " << history.runs().size()
            << " runs, " << history.incarnations().size()
            << " lives of workers, " << violations.size() << " broken\n";
  return violations.empty() ? 0 : 1;
}
