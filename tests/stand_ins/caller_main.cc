// SPDX-License-Identifier: Apache-2.0

// A stand-in for callers: sends requests to entries at a fixed rate whether or
// not answers arrive (open loop), checks that each answer belongs to its
// request, and prints the counts and latencies as one JSON line. With --keys
// every request is non-repeatable, carries an idempotency key and may be
// resent.

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "absl/strings/str_split.h"
#include "benchmarks/percentiles.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"
#include "libraries/base/time.h"
#include "libraries/http/headers.h"

namespace sumac::stand_ins {
namespace {

namespace options = boost::program_options;
using benchmarks::Microseconds;
using CallClock = std::chrono::steady_clock;

// The results and latencies of all requests.
class Outcomes {
 public:
  void Add(int code, Microseconds latency, bool is_matching) {
    const std::lock_guard lock(this->mutex);
    ++this->by_code[code];
    if (code == 0 && !is_matching) {
      ++this->mismatched_count;
    }
    if (code == 0) {
      this->latencies.push_back(latency);
    } else {
      this->refusals.push_back(latency);
    }
  }

  nlohmann::json ToLine(double seconds) {
    const std::lock_guard lock(this->mutex);
    nlohmann::json codes = nlohmann::json::object();
    for (const auto& [code, count] : this->by_code) {
      codes[std::to_string(code)] = count;
    }
    nlohmann::json line = {
        {"answered", this->latencies.size()},
        {"goodput_per_second",
         static_cast<double>(this->latencies.size()) / seconds},
        {"codes", codes},
        {"foreign_or_cut", this->mismatched_count}};
    benchmarks::AddPercentiles(line, "answer", this->latencies);
    benchmarks::AddPercentiles(line, "refusal", this->refusals);
    return line;
  }

 private:
  std::mutex mutex;
  std::map<int, std::uint64_t> by_code;
  std::uint64_t mismatched_count = 0;
  std::vector<Microseconds> latencies;
  std::vector<Microseconds> refusals;
};

// The code for a connection that failed or broke; not one of the numbered
// results.
constexpr int kNoAnswer = -1;

// The options and results that all callers share.
struct Load {
  std::vector<std::string> entries;
  std::string target;
  std::string label;
  bool has_keys = false;
  bool is_direct = false;
  std::int64_t deadline_ms = 0;
  double rate = 0;
  std::uint64_t total = 0;
  CallClock::time_point begin;
  std::atomic<std::uint64_t> next = 0;
  Outcomes outcomes;
  std::mutex keys_mutex;
  std::ofstream keys_file;
};

// The caller of one thread, with one connection to each entry.
class Caller {
 public:
  explicit Caller(Load& load) : load(load), sessions(load.entries.size()) {}

  // Sends the next request when it is due, until all are sent.
  void Run() {
    while (true) {
      const std::uint64_t number = this->load.next++;
      if (number >= this->load.total) {
        return;
      }
      const auto due =
          this->load.begin +
          Microseconds(static_cast<std::int64_t>(static_cast<double>(number) *
                                                 1e6 / this->load.rate));
      std::this_thread::sleep_until(due);
      this->Call(number, due);
    }
  }

 private:
  void Call(std::uint64_t number, CallClock::time_point due) {
    const std::string body = StrCat(this->load.label, "-", number);
    const std::string key =
        StrCat(SystemClock().Now().time_since_epoch().count(), "-",
               this->load.label, "_", number, "_key");
    const std::size_t entry_index = number % this->load.entries.size();
    int code = kNoAnswer;
    bool is_matching = true;
    // If an entry does not answer, the request goes to another one with the
    // same key, as a load balancer would send it.
    for (std::size_t attempt = 0; attempt < 3 && code == kNoAnswer; ++attempt) {
      code = this->TryOnce((entry_index + attempt) % this->load.entries.size(),
                           body, key, is_matching);
    }
    this->load.outcomes.Add(
        code, std::chrono::duration_cast<Microseconds>(CallClock::now() - due),
        is_matching);
    if (this->load.has_keys) {
      const std::lock_guard lock(this->load.keys_mutex);
      this->load.keys_file << body << " " << code << "\n";
    }
  }

  int TryOnce(std::size_t entry_index,
              const std::string& body,
              const std::string& key,
              bool& is_matching) {
    auto& session = this->sessions[entry_index];
    try {
      if (!session) {
        session = std::make_unique<Poco::Net::HTTPClientSession>(
            Poco::Net::SocketAddress(this->load.entries[entry_index]));
        session->setKeepAlive(true);
        session->setTimeout(Poco::Timespan(30, 0));
      }
      Poco::Net::HTTPRequest request("POST", this->load.target,
                                     Poco::Net::HTTPMessage::HTTP_1_1);
      request.setContentLength64(static_cast<Poco::Int64>(body.size()));
      request.set(http::kCallerHeader, StrCat("caller-", entry_index));
      if (this->load.has_keys) {
        request.set(http::kIdempotencyKeyHeader, key);
      }
      if (this->load.deadline_ms > 0) {
        request.set(http::kDeadlineHeader, StrCat(this->load.deadline_ms));
      }
      if (this->load.is_direct) {
        request.set(http::kRequestHeader, body);
      }
      session->sendRequest(request) << body << std::flush;
      Poco::Net::HTTPResponse response;
      std::string text;
      Poco::StreamCopier::copyToString(session->receiveResponse(response),
                                       text);
      if (!response.getKeepAlive()) {
        session.reset();
      }
      int code = 0;
      static_cast<void>(ParseNumber(
          std::string_view(response.get(http::kCodeHeader, "0")), &code));
      if (this->load.is_direct && response.has(http::kNotRunHeader)) {
        return static_cast<int>(ResultCode::kOverloaded);
      }
      const auto json = nlohmann::json::parse(text, nullptr, false);
      is_matching =
          code != 0 || (json.is_object() && json.value("echo", "") == body);
      return code;
    } catch (const Poco::Exception&) {
      session.reset();
      return kNoAnswer;
    }
  }

  Load& load;
  std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> sessions;
};

options::options_description DescribeOptions() {
  options::options_description description("Options");
  auto add = description.add_options();
  add("entries", options::value<std::string>()->required(),
      "callers' doors, by commas");
  add("target", options::value<std::string>()->required(),
      "the path, e.g. /v1/services/s/x");
  add("rate", options::value<double>()->default_value(100),
      "requests a second");
  add("seconds", options::value<int>()->default_value(5), "how long");
  add("threads", options::value<int>()->default_value(64),
      "requests open at once at most");
  add("label", options::value<std::string>()->default_value("load"),
      "goes into bodies and line");
  add("deadline-ms", options::value<std::int64_t>()->default_value(0),
      "0: the service's own");
  add("keys", options::value<std::string>(),
      "send keys; write each body and its code to this file");
  add("direct", "the entries are minions");
  return description;
}

void RunLoad(const options::variables_map& arguments) {
  Load load;
  load.entries = absl::StrSplit(arguments["entries"].as<std::string>(), ',');
  load.target = arguments["target"].as<std::string>();
  load.label = arguments["label"].as<std::string>();
  load.rate = arguments["rate"].as<double>();
  load.deadline_ms = arguments["deadline-ms"].as<std::int64_t>();
  load.is_direct = arguments.contains("direct");
  load.has_keys = arguments.contains("keys");
  if (load.has_keys) {
    load.keys_file.open(arguments["keys"].as<std::string>());
  }
  const int seconds = arguments["seconds"].as<int>();
  load.total = static_cast<std::uint64_t>(load.rate * seconds);
  load.begin = CallClock::now();
  std::vector<std::thread> threads;
  for (int number = 0; number < arguments["threads"].as<int>(); ++number) {
    threads.emplace_back([&load] { Caller(load).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double elapsed =
      std::chrono::duration<double>(CallClock::now() - load.begin).count();
  nlohmann::json line = load.outcomes.ToLine(elapsed);
  line["label"] = load.label;
  line["rate"] = load.rate;
  line["sent"] = load.total;
  std::cout << line.dump() << std::endl;
}

}  // namespace
}  // namespace sumac::stand_ins

int main(int argument_count, char** argument_values) {
  namespace options = boost::program_options;
  options::variables_map arguments;
  try {
    options::store(
        options::parse_command_line(argument_count, argument_values,
                                    sumac::stand_ins::DescribeOptions()),
        arguments);
    options::notify(arguments);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << sumac::stand_ins::DescribeOptions();
    return 2;
  }
  sumac::stand_ins::RunLoad(arguments);
  return 0;
}
