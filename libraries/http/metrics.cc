// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/metrics.h"

#include <array>
#include <utility>

#include "libraries/base/text.h"

namespace sumac::http {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.9, 0.99};

// Returns the part of a metric's name before its labels.
std::string BaseName(const std::string& name) {
  return name.substr(0, name.find('{'));
}

// Returns the name with one more label.
std::string WithLabel(const std::string& name, const std::string& label) {
  const std::size_t brace = name.find('{');
  if (brace == std::string::npos) {
    return StrCat(name, "{", label, "}");
  }
  return StrCat(name.substr(0, name.size() - 1), ",", label, "}");
}

// Returns the name with a suffix before its labels.
std::string WithSuffix(const std::string& name, std::string_view suffix) {
  const std::string base = BaseName(name);
  return StrCat(base, suffix, name.substr(base.size()));
}

}  // namespace

void Metrics::Count(const std::string& name, std::uint64_t step) {
  const std::lock_guard lock(this->mutex);
  this->counters[name] += step;
}

void Metrics::Observe(const std::string& name, double value) {
  const std::lock_guard lock(this->mutex);
  auto found = this->summaries.find(name);
  if (found == this->summaries.end()) {
    Summary summary(
        accumulators::tag::extended_p_square_quantile::probabilities =
            kQuantiles);
    found = this->summaries.emplace(name, std::move(summary)).first;
  }
  found->second(value);
}

void Metrics::SetGauge(const std::string& name, std::function<double()> read) {
  const std::lock_guard lock(this->mutex);
  this->gauges[name] = std::move(read);
}

void Metrics::SetCounter(const std::string& name,
                         std::function<double()> read) {
  const std::lock_guard lock(this->mutex);
  this->read_counters[name] = std::move(read);
}

std::string Metrics::ToText() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  std::string typed;
  const auto add_type = [&](const std::string& name, std::string_view type) {
    if (BaseName(name) != typed) {
      typed = BaseName(name);
      StrAppend(&text, "# TYPE ", typed, " ", type, "\n");
    }
  };
  for (const auto& [name, value] : this->counters) {
    add_type(name, "counter");
    StrAppend(&text, name, " ", value, "\n");
  }
  for (const auto& [name, read] : this->read_counters) {
    add_type(name, "counter");
    StrAppend(&text, name, " ", read(), "\n");
  }
  for (const auto& [name, read] : this->gauges) {
    add_type(name, "gauge");
    StrAppend(&text, name, " ", read(), "\n");
  }
  for (const auto& [name, summary] : this->summaries) {
    add_type(name, "summary");
    for (const double quantile : kQuantiles) {
      StrAppend(&text, WithLabel(name, StrCat("quantile=\"", quantile, "\"")),
                " ",
                accumulators::quantile(
                    summary, accumulators::quantile_probability = quantile),
                "\n");
    }
    StrAppend(&text, WithSuffix(name, "_sum"), " ", accumulators::sum(summary),
              "\n");
    StrAppend(&text, WithSuffix(name, "_count"), " ",
              accumulators::count(summary), "\n");
  }
  return text;
}

}  // namespace sumac::http
