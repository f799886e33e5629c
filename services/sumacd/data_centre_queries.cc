// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/data_centre_queries.h"

#include <cstdint>
#include <map>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/log/json_log.h"

namespace sumac::daemon {
namespace {

using Rows = nlohmann::json;

// What a pool has in one data centre.
struct PoolPart {
  std::size_t workers = 0;
  std::int64_t millicores = 0;
  std::int64_t free_millicores = 0;

  void Add(const PoolPart& other) {
    this->workers += other.workers;
    this->millicores += other.millicores;
    this->free_millicores += other.free_millicores;
  }
};

struct DataCentreSummary {
  std::size_t workers = 0;
  std::size_t runs = 0;
  std::map<ServiceName, PoolPart> pools;
};

using Summaries = std::map<DataCentre, DataCentreSummary>;

Summaries Summarize(const jobs::JobsState& state,
                    const scheduler::Scheduler& scheduler,
                    const std::vector<DataCentre>& named) {
  Summaries summaries;
  for (const DataCentre& data_centre : named) {
    summaries[data_centre];
  }
  for (const auto& [data_centre, record] : state.record().data_centres) {
    summaries[data_centre];
  }
  for (const auto& [id, session] : scheduler.sessions()) {
    DataCentreSummary& summary = summaries[session.worker().data_centre];
    ++summary.workers;
    summary.runs += session.runs().size();
    summary.pools[session.worker().service].Add(
        {.workers = 1,
         .millicores = session.worker().capacity.millicores,
         .free_millicores = session.Room().millicores});
  }
  return summaries;
}

// Describes what each pool of a data centre has in the other ones in use.
Rows DescribePoolsElsewhere(const jobs::JobsState& state,
                            const Summaries& summaries,
                            const DataCentre& data_centre) {
  Rows rows = Rows::array();
  for (const auto& [service, here] : summaries.at(data_centre).pools) {
    PoolPart elsewhere;
    for (const auto& [other, summary] : summaries) {
      const auto part = summary.pools.find(service);
      if (other != data_centre && state.IsInUse(other) &&
          part != summary.pools.end()) {
        elsewhere.Add(part->second);
      }
    }
    rows.push_back({{"pool", service.value()},
                    {"workers", here.workers},
                    {"millicores", here.millicores},
                    {"workers_elsewhere", elsewhere.workers},
                    {"millicores_elsewhere", elsewhere.millicores},
                    {"free_millicores_elsewhere", elsewhere.free_millicores}});
  }
  return rows;
}

}  // namespace

fleet::Answer ShowDataCentres(const jobs::JobsState& state,
                              const scheduler::Scheduler& scheduler,
                              const std::vector<DataCentre>& named,
                              const std::string& name) {
  const Summaries summaries = Summarize(state, scheduler, named);
  std::size_t in_use = 0;
  for (const auto& [data_centre, summary] : summaries) {
    in_use += static_cast<std::size_t>(state.IsInUse(data_centre));
  }
  Rows rows = Rows::array();
  for (const auto& [data_centre, summary] : summaries) {
    if (!name.empty() && data_centre.value() != name) {
      continue;
    }
    const jobs::DataCentreRecord record = state.FindDataCentre(data_centre);
    std::int64_t free_millicores = 0;
    for (const auto& [service, part] : summary.pools) {
      free_millicores += part.free_millicores;
    }
    rows.push_back(
        {{"name", data_centre.value()},
         {"use", NameOf(record.use)},
         {"version", record.version},
         {"changed_at_ms", record.changed_at.time_since_epoch().count()},
         {"requested_by", record.requested_by},
         {"workers", summary.workers},
         {"runs", summary.runs},
         {"free_millicores", free_millicores},
         {"is_last_in_use", in_use == 1 && state.IsInUse(data_centre)},
         {"pools", DescribePoolsElsewhere(state, summaries, data_centre)}});
  }
  if (!name.empty() && rows.empty()) {
    return {.code = ResultCode::kUnknownName,
            .message = StrCat("no data centre ", name, " is known")};
  }
  return {.document = std::move(rows)};
}

std::string DescribeLoss(const nlohmann::json& row) {
  if (row.at("is_last_in_use").get<bool>()) {
    return "it is the last data centre in use, nothing would be started any "
           "more";
  }
  std::string pools;
  for (const nlohmann::json& pool : row.at("pools")) {
    if (pool.at("workers_elsewhere").get<std::size_t>() == 0) {
      StrAppend(&pools, pools.empty() ? "" : ", ",
                pool.at("pool").get<std::string>());
    }
  }
  return pools.empty()
             ? ""
             : StrCat("no worker would be left in use in pool ", pools);
}

void LogDataCentreChange(const jobs::JobsState& state,
                         const jobs::ChangeDataCentre& change,
                         const fleet::Answer& answer) {
  const jobs::DataCentreRecord record =
      state.FindDataCentre(change.data_centre);
  LogEvent(answer.is_ok() ? LogLevel::kInfo : LogLevel::kWarning,
           answer.is_ok() ? "data-centre-changed" : "data-centre-unchanged",
           {{"data_centre", change.data_centre.value()},
            {"use", NameOf(record.use)},
            {"version", record.version},
            {"expected_version", change.expected_version},
            {"requested_by", change.requested_by},
            {"code", static_cast<int>(answer.code)},
            {"message", answer.message}});
}

std::size_t CountRunsIn(const scheduler::Scheduler& scheduler,
                        const DataCentre& data_centre) {
  std::size_t runs = 0;
  for (const auto& [id, session] : scheduler.sessions()) {
    if (session.worker().data_centre == data_centre) {
      runs += session.runs().size();
    }
  }
  return runs;
}

}  // namespace sumac::daemon
