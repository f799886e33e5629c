// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_METRICS_H_
#define LIBRARIES_HTTP_METRICS_H_

// NOTE: Boost 1.74 uses std::ostringstream here without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace sumac::http {

// The counters, gauges and summaries of one process, exported in the Prometheus
// text format. Names may carry labels: name{label="value"}. Safe to use from
// many threads.
class Metrics {
 public:
  Metrics() = default;

  // Adds to a counter.
  void Count(const std::string& name, std::uint64_t step = 1);

  // Adds one observation to a summary; the name includes the unit of the value.
  void Observe(const std::string& name, double value);

  // Registers a gauge; `read` is called whenever the metrics are exported.
  void SetGauge(const std::string& name, std::function<double()> read);

  // Registers a counter that is read in the same way; its value must never
  // decrease.
  void SetCounter(const std::string& name, std::function<double()> read);

  // Returns all metrics in the Prometheus text format.
  std::string ToText() const;

 private:
  using Summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::sum,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, Summary> summaries;
  std::map<std::string, std::function<double()>> gauges;
  std::map<std::string, std::function<double()>> read_counters;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_METRICS_H_
