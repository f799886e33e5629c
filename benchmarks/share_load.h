// SPDX-License-Identifier: Apache-2.0
#ifndef BENCHMARKS_SHARE_LOAD_H_
#define BENCHMARKS_SHARE_LOAD_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "libraries/base/text.h"
#include "libraries/base/time.h"
#include "libraries/jobs/customer.h"
#include "libraries/scheduler/share_request.h"

namespace sumac::benchmarks {

// One drawn load: customers of very unlike size on a fleet of one pool.
struct ShareLoadSettings {
  std::size_t customers = 20;
  std::uint64_t seed = 1;
  // How many customers send many times their usual, and how many times.
  std::size_t hot = 1;
  double hot_factor = 7.5;
  // How many times their usual all customers send in a burst.
  double burst_factor = 2.5;
  // What all customers usually ask for, as a share of the fleet.
  double usual_load = 0.7;
  // What all customers are owed, as a share of the fleet.
  double owed_load = 0.85;
};

struct ShareJob {
  std::size_t customer = 0;
  Milliseconds arrives{0};
  Milliseconds runs{0};
  scheduler::ShareRequest request;
};

// What a way to share made of a load.
struct ShareFigures {
  // Jain's index over the customers of what each was served in time, as a share
  // of what it was owed.
  double jain = 0;
  // The mean of the tenth of the customers that got the smallest share of what
  // they were owed.
  double worst_tenth = 0;
  // Of the others than the hot customers: what was served in time of the jobs
  // that arrived in the worst two seconds, as a share of what was owed then.
  double worst_window = 0;
  // The core-seconds of the jobs that ended in time, as a share of all that the
  // fleet could do while jobs arrived.
  double work = 0;
  // The core-seconds served in time to the hot customers, and those asked for
  // by the others that were served, as shares of what they asked for.
  double hot_served = 0;
  double others_served = 0;
};

// Plays drawn arrivals through a way to share. The fleet starts the jobs that
// are within their customers' shares first, the one with the most time left
// before the others, drops jobs that can't be in time, and has room for `cores`
// cores. Time is simulated; the same seed gives the same figures.
class ShareLoad {
 public:
  explicit ShareLoad(const ShareLoadSettings& settings)
      : settings(settings), random(settings.seed) {
    this->DeclareCustomers();
    this->DrawJobs();
  }

  const std::vector<jobs::CustomerDeclaration>& customers() const {
    return this->declared;
  }
  const std::vector<ShareJob>& jobs() const { return this->drawn; }
  jobs::Resources capacity() const {
    return {.millicores = static_cast<std::int64_t>(this->cores * kMilli),
            .memory_mb = static_cast<std::int64_t>(this->cores * kMbPerCore)};
  }

  template <typename Way>
  requires scheduler::ShareWay<std::remove_cvref_t<Way>> ShareFigures
  Play(Way&& way)
  const {
    way.SetCapacity(this->capacity());
    std::vector<double> served(this->declared.size());
    std::vector<double> served_at(kSeconds);
    std::multimap<Milliseconds, std::pair<std::size_t, bool>> running;
    std::vector<std::size_t> owed;
    std::vector<std::size_t> beyond;
    double free = this->cores;
    std::size_t next = 0;
    for (Milliseconds now{0}; now < kLength + kDrain; now += kStep) {
      const SteadyTime clock(Milliseconds(1'000'000) + now);
      for (; !running.empty() && running.begin()->first <= now;
           running.erase(running.begin())) {
        const auto [number, is_owed] = running.begin()->second;
        const ShareJob& job = this->drawn[number];
        free += CoresOf(job);
        served[job.customer] += job.request.core_seconds;
        if (job.customer >= this->settings.hot) {
          served_at[SecondOf(job)] += job.request.core_seconds;
        }
        if (is_owed) {
          way.CountEnd(this->declared[job.customer], job.request, clock);
        }
      }
      for (; next < this->drawn.size() && this->drawn[next].arrives <= now;
           ++next) {
        const ShareJob& job = this->drawn[next];
        (way.CountJob(this->declared[job.customer], job.request, clock) ? beyond
                                                                        : owed)
            .push_back(next);
      }
      for (const bool is_owed : {true, false}) {
        std::vector<std::size_t>& waiting = is_owed ? owed : beyond;
        bool has_room = true;
        while (has_room && !waiting.empty()) {
          const ShareJob& job = this->drawn[waiting.back()];
          const bool is_late = now > job.arrives + SpareOf(job);
          has_room = is_late || free >= CoresOf(job);
          if (is_late && is_owed) {
            way.CountEnd(this->declared[job.customer], job.request, clock);
          }
          if (!is_late && has_room) {
            free -= CoresOf(job);
            running.emplace(now + job.runs, std::pair(waiting.back(), is_owed));
          }
          if (has_room) {
            waiting.pop_back();
          }
        }
        // Those that wait longest are the first that can't be in time.
        std::size_t late = 0;
        while (late < waiting.size() &&
               now > this->drawn[waiting[late]].arrives +
                         SpareOf(this->drawn[waiting[late]])) {
          const ShareJob& job = this->drawn[waiting[late]];
          if (is_owed) {
            way.CountEnd(this->declared[job.customer], job.request, clock);
          }
          ++late;
        }
        waiting.erase(waiting.begin(),
                      waiting.begin() + static_cast<std::ptrdiff_t>(late));
        if (!owed.empty()) {
          // What is beyond a share goes after all that is owed.
          break;
        }
      }
    }
    return this->Summarize(served, served_at);
  }

 private:
  static constexpr double kMilli = 1'000;
  static constexpr double kMbPerCore = 4'096;
  static constexpr Milliseconds kStep{10};
  static constexpr Milliseconds kLength{40'000};
  static constexpr Milliseconds kDrain{5'000};
  static constexpr Milliseconds kSecond{1'000};
  static constexpr std::size_t kSeconds = kLength / kSecond;
  static constexpr double kMeanRun = 0.9;
  static constexpr double kForever = 1'000;

  static double CoresOf(const ShareJob& job) {
    return static_cast<double>(job.request.need.millicores) / kMilli;
  }
  static std::size_t SecondOf(const ShareJob& job) {
    return static_cast<std::size_t>(job.arrives / kSecond);
  }
  // How long a job can wait and still be in time.
  static Milliseconds SpareOf(const ShareJob& job) {
    return job.runs * 3 / 5 + Milliseconds(600);
  }

  void DeclareCustomers() {
    constexpr double kJobsPerCustomer = 2;
    constexpr double kMostJobs = 2'000;
    double all = 0;
    for (std::size_t number = 0; number < this->settings.customers; ++number) {
      // Weights fall as one over the rank.
      const double weight = 1.0 / static_cast<double>(number + 1);
      all += weight;
      this->declared.push_back(
          {.name = CustomerName(StrCat("customer", number)),
           .keys = {},
           .weight = weight,
           .quota = {}});
      // Some customers send only wide jobs, others only narrow ones.
      this->wide.push_back(number % 3 == 0);
    }
    const double rate =
        std::min(kMostJobs, kJobsPerCustomer *
                                static_cast<double>(this->settings.customers));
    double owed = 0;
    for (std::size_t number = 0; number < this->settings.customers; ++number) {
      this->declared[number].weight *= rate / all;
      owed += this->declared[number].weight * this->MeanWorkOf(number);
    }
    this->cores = owed / this->settings.owed_load;
  }

  double MeanCoresOf(std::size_t customer) const {
    return this->wide[customer] ? 13 : 6;
  }
  double MeanWorkOf(std::size_t customer) const {
    return this->MeanCoresOf(customer) * kMeanRun;
  }

  // Returns how many times its usual a customer sends at a time.
  double FactorAt(std::size_t customer, Milliseconds at) const {
    const bool is_hot =
        customer < this->settings.hot && at >= 8 * kSecond && at < 16 * kSecond;
    const bool is_burst = at >= 20 * kSecond && at < 26 * kSecond;
    // A hot customer beside a burst.
    const bool is_hot_again = customer < this->settings.hot &&
                              at >= 24 * kSecond && at < 32 * kSecond;
    return (is_hot || is_hot_again ? this->settings.hot_factor : 1.0) *
           (is_burst ? this->settings.burst_factor : 1.0);
  }

  void DrawJobs() {
    const double usual = this->settings.usual_load / this->settings.owed_load;
    std::uniform_real_distribution<double> run(0.3, 1.5);
    for (std::size_t number = 0; number < this->declared.size(); ++number) {
      for (double seconds = 0;;) {
        const auto before =
            Milliseconds(static_cast<std::int64_t>(seconds * kMilli));
        const double rate = this->declared[number].weight * usual *
                            this->FactorAt(number, before);
        seconds += std::exponential_distribution<double>(rate)(this->random);
        const Milliseconds at(
            static_cast<std::int64_t>(std::min(seconds, kForever) * kMilli));
        if (at >= kLength) {
          break;
        }
        const double runs = run(this->random);
        const double cores = this->MeanCoresOf(number);
        this->drawn.push_back(
            {.customer = number,
             .arrives = at,
             .runs = Milliseconds(static_cast<std::int64_t>(runs * kMilli)),
             .request = {.core_seconds = runs * cores,
                         .need = {.millicores =
                                      static_cast<std::int64_t>(cores * kMilli),
                                  .memory_mb = static_cast<std::int64_t>(
                                      cores * kMbPerCore / 2)}}});
      }
    }
    std::stable_sort(this->drawn.begin(), this->drawn.end(),
                     [](const ShareJob& left, const ShareJob& right) {
                       return left.arrives < right.arrives;
                     });
  }

  // Returns what each customer is owed: in each second, what it asks for, or
  // its part of the fleet by weights if all ask for more than there is. What
  // one leaves goes to the others (max-min fairness).
  std::vector<double> Owed(std::vector<double>& owed_at) const {
    std::vector<double> owed(this->declared.size());
    std::vector<double> sums(this->declared.size());
    std::size_t next = 0;
    for (std::size_t second = 0; second < kSeconds; ++second) {
      std::vector<std::size_t> senders;
      for (; next < this->drawn.size() &&
             this->drawn[next].arrives < (second + 1) * kSecond;
           ++next) {
        const ShareJob& job = this->drawn[next];
        if (sums[job.customer] == 0) {
          senders.push_back(job.customer);
        }
        sums[job.customer] += job.request.core_seconds;
      }
      this->FillEvenly(senders, sums, owed, owed_at[second]);
      for (const std::size_t customer : senders) {
        sums[customer] = 0;
      }
    }
    return owed;
  }

  void FillEvenly(std::vector<std::size_t> senders,
                  const std::vector<double>& asked,
                  std::vector<double>& owed,
                  double& owed_now) const {
    const auto weight_of = [&](std::size_t customer) {
      return this->declared[customer].weight * this->MeanWorkOf(customer);
    };
    std::sort(senders.begin(), senders.end(),
              [&](std::size_t left, std::size_t right) {
                return asked[left] / weight_of(left) <
                       asked[right] / weight_of(right);
              });
    double left = this->cores;
    double weights = 0;
    for (const std::size_t customer : senders) {
      weights += weight_of(customer);
    }
    for (const std::size_t customer : senders) {
      const double fair = left * weight_of(customer) / weights;
      const double given = std::min(asked[customer], fair);
      owed[customer] += given;
      owed_now += customer >= this->settings.hot ? given : 0.0;
      left -= given;
      weights -= weight_of(customer);
    }
  }

  ShareFigures Summarize(const std::vector<double>& served,
                         const std::vector<double>& served_at) const {
    std::vector<double> owed_at(kSeconds);
    const std::vector<double> owed = this->Owed(owed_at);
    double worst_window = 1;
    for (std::size_t second = 0; second + 1 < kSeconds; ++second) {
      const double due = owed_at[second] + owed_at[second + 1];
      worst_window = std::min(
          worst_window, (served_at[second] + served_at[second + 1]) / due);
    }
    std::vector<double> asked(owed.size());
    for (const ShareJob& job : this->drawn) {
      asked[job.customer] += job.request.core_seconds;
    }
    std::vector<double> shares;
    double work = 0;
    double hot_served = 0;
    double hot_asked = 0;
    double others_served = 0;
    double others_asked = 0;
    for (std::size_t number = 0; number < owed.size(); ++number) {
      work += served[number];
      const bool is_hot = number < this->settings.hot;
      (is_hot ? hot_served : others_served) += served[number];
      (is_hot ? hot_asked : others_asked) += asked[number];
      if (owed[number] > 0) {
        shares.push_back(std::min(served[number] / owed[number], 1.0));
      }
    }
    std::sort(shares.begin(), shares.end());
    double sum = 0;
    double squares = 0;
    for (const double share : shares) {
      sum += share;
      squares += share * share;
    }
    const auto count = static_cast<double>(shares.size());
    const std::size_t tenth = std::max<std::size_t>(shares.size() / 10, 1);
    double worst = 0;
    for (std::size_t number = 0; number < tenth; ++number) {
      worst += shares[number];
    }
    return {
        .jain = squares > 0 ? sum * sum / (count * squares) : 0,
        .worst_tenth = worst / static_cast<double>(tenth),
        .worst_window = worst_window,
        .work = work / (this->cores * static_cast<double>(kSeconds)),
        .hot_served = hot_asked > 0 ? hot_served / hot_asked : 0,
        .others_served = others_asked > 0 ? others_served / others_asked : 0};
  }

  ShareLoadSettings settings;
  std::mt19937_64 random;
  std::vector<jobs::CustomerDeclaration> declared;
  std::vector<bool> wide;
  std::vector<ShareJob> drawn;
  double cores = 0;
};

}  // namespace sumac::benchmarks

#endif  // BENCHMARKS_SHARE_LOAD_H_
