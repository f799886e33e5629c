// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/charts.h"

#include <set>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/fleet/claim.h"
#include "libraries/fleet/instance.h"
#include "libraries/fleet/job.h"

namespace sumac::fleet {
namespace {

template <NamedEnum State>
absl::StatusOr<Chart> LoadFor(const std::string& folder,
                              std::string_view file_name) {
  Chart chart = TRY(Chart::CreateFromFile(StrCat(folder, "/", file_name)));
  std::set<std::string> names;
  for (const auto& row : EnumNames<State>::kNames) {
    names.insert(std::string(row.name));
  }
  TRY(chart.CheckStates(names));
  return chart;
}

}  // namespace

absl::StatusOr<Charts> Charts::Load(const std::string& folder) {
  Chart instance = TRY(LoadFor<InstanceState>(folder, "instance.json"));
  Chart job = TRY(LoadFor<JobState>(folder, "job.json"));
  Chart request = TRY(LoadFor<ClaimState>(folder, "request.json"));
  return Charts{std::move(instance), std::move(job), std::move(request)};
}

}  // namespace sumac::fleet
