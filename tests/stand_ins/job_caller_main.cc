// SPDX-License-Identifier: Apache-2.0

// A stand-in for callers that submit jobs of steps, query their states and
// cancel some of them, also jobs whose submission was not answered. Each thread
// keeps one connection to each entry open for as long as the entry does. Every
// call and its answer are logged, for a check of the whole history. Ends by
// itself.

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "libraries/base/text.h"
#include "libraries/base/time.h"
#include "tests/stand_ins/event_log.h"

namespace sumac::stand_ins {
namespace {

namespace options = boost::program_options;

constexpr const char* kDeadlineHeader = "Sumacstack-Deadline-Ms";
// The deadline that a caller sends, and the maximum time that it waits for an
// answer; a live entry must answer before that.
constexpr Milliseconds kDeadline{3'000};
constexpr Milliseconds kCallTimeout{5'000};
// How long a caller waits that leaves early; less than a suspended entry needs.
constexpr Milliseconds kShortPatience{400};
// The number of answers that show a job as ended after which a caller stops
// asking; more than one, since another entry could still show an older state.
constexpr int kQueriesAfterEnd = 4;
// The maximum number of attempts to submit a job that got no clear answer.
constexpr int kMaxSubmitAttempts = 6;
constexpr Milliseconds kMaxPause{400};
// Separates a caller's second stream of random numbers from the first ones.
constexpr std::uint64_t kOtherStream = 1'000'000'007;

// The options and the log that all threads share.
struct Load {
  std::vector<std::string> entries;
  std::string host;
  std::string lasting_prefix;
  std::string prefix;
  std::uint64_t seed = 0;
  SteadyTime submits_until;
  SteadyTime queries_until;
  SystemClock clock;
  EventLog log;

  explicit Load(const std::string& path) : log(path) {}
};

// The callers of one thread.
class JobCaller {
 public:
  JobCaller(Load& load, std::uint64_t number)
      : load(load),
        random(load.seed * 1'000 + number),
        patience(load.seed * 1'000 + number + kOtherStream),
        sessions(load.entries.size()),
        is_lasting(number < 2) {}

  // Submits one job after the other and follows each to its end.
  void Run() {
    while (this->load.clock.SteadyNow() < this->load.submits_until) {
      this->RunJob();
    }
  }

 private:
  void RunJob() {
    const std::string id = absl::StrFormat("%016x", this->random());
    if (!this->Submit(id)) {
      this->Pause();
      return;
    }
    const bool will_cancel = !this->is_lasting && this->Draw(8) == 0;
    bool is_cancelled = false;
    int queries_after_end = 0;
    for (int asked = 0; queries_after_end < kQueriesAfterEnd; ++asked) {
      const SteadyTime now = this->load.clock.SteadyNow();
      if (now > this->load.queries_until) {
        return;
      }
      const bool is_over = this->is_lasting && now > this->load.submits_until;
      if (!is_cancelled && (is_over || (will_cancel && asked == 2))) {
        is_cancelled = this->Call("DELETE", "cancel", id, "").status == 200;
      }
      this->Pause();
      const std::string state = this->Call("GET", "show", id, "").state;
      const bool has_ended =
          state == "done" || state == "failed" || state == "cancelled";
      queries_after_end += has_ended ? 1 : 0;
    }
  }

  // Submits a job; returns whether it was accepted or may have been.
  bool Submit(const std::string& id) {
    const nlohmann::json job = this->NewJob();
    this->load.log.Add({{"event", "job"}, {"id", id}, {"steps", job["steps"]}});
    for (int attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
      const bool leaves_early = this->patience() % 4 == 0;
      const int status =
          this->Call("POST", "submit", id, job.dump(),
                     leaves_early ? kShortPatience : kCallTimeout)
              .status;
      constexpr std::array kFinal{200, 404, 429, 503};
      if (std::find(kFinal.begin(), kFinal.end(), status) != kFinal.end()) {
        return status == 200;
      }
      if (leaves_early || this->Draw(3) == 0) {
        return !this->Withdraw(id);
      }
    }
    return true;
  }

  // Cancels a job whose submission got no clear answer and may be under way.
  // Returns true once the cancel is confirmed.
  bool Withdraw(const std::string& id) {
    for (int attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
      const int status = this->Call("DELETE", "cancel", id, "").status;
      if (status == 200 || status == 410) {
        return true;
      }
      this->Pause();
    }
    return false;
  }

  nlohmann::json NewJob() {
    nlohmann::json step = {{"count", 2 + this->Draw(6)},
                           {"cpu", 500},
                           {"mem_mb", 10},
                           {"estimate_ms", 400}};
    if (this->is_lasting) {
      step["long_running"] = true;
      step["miss_allowance"] = 1;
      step["cpu"] = 1'000;
      return {{"spec", "lasting"}, {"steps", {step}}};
    }
    nlohmann::json last = step;
    last["count"] = 1;
    last["after"] = {0};
    return {{"spec", "x"}, {"steps", {step, last}}};
  }

  struct Answer {
    // The HTTP status, or 0 if no complete answer came.
    int status = 0;
    std::string state;
  };

  // Calls an entry chosen at random and logs the outcome.
  Answer Call(const std::string& method,
              const std::string& event,
              const std::string& id,
              const std::string& body,
              Milliseconds limit = kCallTimeout) {
    const std::size_t entry = this->Draw(this->load.entries.size());
    const SteadyTime began_at = this->load.clock.SteadyNow();
    std::string error;
    Answer answer = this->TryCall(entry, method, id, body, limit, error);
    const Milliseconds took = this->load.clock.SteadyNow() - began_at;
    this->load.log.Add({{"event", event},
                        {"id", id},
                        {"entry", this->load.entries[entry]},
                        {"took", took.count()},
                        {"status", answer.status},
                        {"state", answer.state},
                        {"error", error}});
    return answer;
  }

  Answer TryCall(std::size_t entry,
                 const std::string& method,
                 const std::string& id,
                 const std::string& body,
                 Milliseconds limit,
                 std::string& error) {
    auto& session = this->sessions[entry];
    try {
      if (!session) {
        session = std::make_unique<Poco::Net::HTTPClientSession>(
            Poco::Net::SocketAddress(this->load.entries[entry]));
        session->setKeepAlive(true);
      }
      session->setTimeout(Poco::Timespan(limit.count() * 1'000));
      const std::string& prefix =
          this->is_lasting ? this->load.lasting_prefix : this->load.prefix;
      Poco::Net::HTTPRequest request(method, prefix + id,
                                     Poco::Net::HTTPMessage::HTTP_1_1);
      request.setHost(this->load.host);
      request.set(kDeadlineHeader, StrCat(kDeadline.count()));
      request.setContentLength64(static_cast<Poco::Int64>(body.size()));
      session->sendRequest(request) << body << std::flush;
      Poco::Net::HTTPResponse response;
      std::string text;
      const auto read = Poco::StreamCopier::copyToString64(
          session->receiveResponse(response), text);
      if (response.hasContentLength() &&
          response.getContentLength64() != static_cast<Poco::Int64>(read)) {
        error = "cut answer";
        session.reset();
        return {};
      }
      if (!response.getKeepAlive()) {
        session.reset();
      }
      const auto document = nlohmann::json::parse(text, nullptr, false);
      return {.status = response.getStatus(),
              .state = document.is_object() ? document.value("state", "") : ""};
    } catch (const Poco::Exception& exception) {
      error = exception.displayText();
      session.reset();
      return {};
    }
  }

  std::uint64_t Draw(std::uint64_t count) { return this->random() % count; }
  void Pause() {
    std::this_thread::sleep_for(Milliseconds(this->Draw(kMaxPause.count())));
  }

  Load& load;
  std::mt19937_64 random;
  // Decides which submissions it leaves early; a stream of its own, so that the
  // jobs of a seed stay the same.
  std::mt19937_64 patience;
  std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> sessions;
  // Whether its jobs last until they are cancelled at the end of the load.
  bool is_lasting;
};

options::options_description DescribeOptions() {
  options::options_description description("Options");
  auto add = description.add_options();
  add("entries", options::value<std::string>()->required(),
      "callers' doors, by commas");
  add("host", options::value<std::string>()->required());
  add("prefix", options::value<std::string>()->required());
  add("lasting-prefix", options::value<std::string>()->required(),
      "the queue of jobs that last");
  add("log", options::value<std::string>()->required());
  add("seed", options::value<std::uint64_t>()->default_value(1));
  add("threads", options::value<std::uint64_t>()->default_value(8));
  add("seconds", options::value<int>()->required(),
      "new jobs are submitted for so long");
  add("settle-seconds", options::value<int>()->default_value(40),
      "and asked for until they end, this much longer at most");
  return description;
}

void RunLoad(const options::variables_map& arguments) {
  Load load(arguments["log"].as<std::string>());
  load.entries = absl::StrSplit(arguments["entries"].as<std::string>(), ',');
  load.host = arguments["host"].as<std::string>();
  load.prefix = arguments["prefix"].as<std::string>();
  load.lasting_prefix = arguments["lasting-prefix"].as<std::string>();
  load.seed = arguments["seed"].as<std::uint64_t>();
  load.submits_until = load.clock.SteadyNow() +
                       std::chrono::seconds(arguments["seconds"].as<int>());
  load.queries_until =
      load.submits_until +
      std::chrono::seconds(arguments["settle-seconds"].as<int>());
  std::vector<std::thread> threads;
  const auto count = arguments["threads"].as<std::uint64_t>();
  for (std::uint64_t number = 0; number < count; ++number) {
    threads.emplace_back([&load, number] { JobCaller(load, number).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
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
  signal(SIGPIPE, SIG_IGN);
  sumac::stand_ins::RunLoad(arguments);
  return 0;
}
