// SPDX-License-Identifier: Apache-2.0

// Measures the time to read one page of the platform's list of instances with
// the single-pass reader and with the complete JSON parser. Prints JSON lines.

#include <chrono>
#include <cmath>
#include <iostream>
#include <string>

#include "libraries/base/text.h"
#include "nlohmann/json.hpp"
#include "platform/wire_codec.h"

namespace sumac::benchmarks {
namespace {

using BenchClock = std::chrono::steady_clock;

constexpr int kRepeats = 2'000;

std::string MakePage(int rows) {
  nlohmann::json machines = nlohmann::json::array();
  for (int row = 0; row < rows; ++row) {
    machines.push_back(
        {{"machine", StrCat("m-0a3f", row)},
         {"pool", StrCat("service-", row % 5)},
         {"state", "up"},
         {"zone", "dc-1"},
         {"labels", {"a", StrCat("r1-", row % 12)}},
         {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
         {"id", StrCat("i-7f3a91", row)}});
  }
  return nlohmann::json({{"machines", machines}, {"next_token", "t"}}).dump();
}

// Prints the mean time in which `read` reads `page`.
template <typename Read>
void Measure(const std::string& name,
             int rows,
             const std::string& page,
             Read read) {
  std::size_t instances = 0;
  const auto begin = BenchClock::now();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const auto result = read(page);
    instances += result.ok() ? result->instances.size() : 0;
  }
  const std::chrono::duration<double, std::micro> elapsed =
      BenchClock::now() - begin;
  std::cout << nlohmann::json{{"bench", name},
                              {"rows", rows},
                              {"is_read",
                               instances ==
                                   static_cast<std::size_t>(rows) * kRepeats},
                              {"us", std::lround(elapsed.count() / kRepeats)}}
                   .dump()
            << std::endl;
}

}  // namespace
}  // namespace sumac::benchmarks

int main() {
  for (const int rows : {100, 200}) {
    const std::string page = sumac::benchmarks::MakePage(rows);
    sumac::benchmarks::Measure("instance_page", rows, page,
                               sumac::platform::ReadInstancePage);
    sumac::benchmarks::Measure("instance_page_by_tree", rows, page,
                               sumac::platform::ReadAnyInstancePage);
  }
  return 0;
}
