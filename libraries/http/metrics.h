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

// Counters, gauges and summaries of one process, given out in the Prometheus
// text format. Names may carry labels: name{label="value"}. Safe to use from
// many threads.
class Metrics {
 public:
  Metrics() = default;

  // Adds to a counter.
  void Count(const std::string& name, std::uint64_t step = 1);

  // Adds one observation to a summary; its unit stands in the name.
  void Observe(const std::string& name, double value);

  // Gives a gauge that is read whenever the metrics are asked for.
  void SetGauge(const std::string& name, std::function<double()> read);

  // The same for a value that only grows.
  void SetCounter(const std::string& name, std::function<double()> read);

  // All of them as text.
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
