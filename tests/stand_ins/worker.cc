// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/worker.h"

#include <algorithm>
#include <set>

namespace sumac::stand_ins {

using fleet::TaskState;

Worker::Worker(TargetOptions options) : Target(std::move(options)) {}

void Worker::Handle(Poco::Net::HTTPServerRequest& /*request*/,
                    Poco::Net::HTTPServerResponse& response) {
  http::SendAnswer(response, 404, "text/plain", "a worker takes no requests\n");
}

void Worker::HandleControl(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) {
  const std::string fails_text = QueryValue(request, "fails");
  const std::string mute_text = QueryValue(request, "mute");
  const std::lock_guard lock(this->tasks_mutex);
  if (!fails_text.empty()) {
    this->fails_everything = fails_text == "1";
  }
  if (!mute_text.empty()) {
    this->SetMute(mute_text == "1");
  }
  http::SendAnswer(
      response, 200, "application/json",
      nlohmann::json{{"worker", this->name()}, {"begun", this->begun}}.dump() +
          "\n");
}

void Worker::StopTasksWithoutLease(SteadyTime now) {
  if (now < this->lease_until) {
    return;
  }
  for (auto& [job, task] : this->tasks) {
    if (task.state == TaskState::kRunning && now < task.ends_at) {
      task.state = TaskState::kStopped;
    }
  }
}

void Worker::FillAnnouncement(fleet::Announcement& announcement) {
  const SteadyTime now = SystemClock().SteadyNow();
  const std::lock_guard lock(this->tasks_mutex);
  this->StopTasksWithoutLease(now);
  for (auto& [job, task] : this->tasks) {
    if (task.state == TaskState::kRunning && now >= task.ends_at) {
      task.state =
          this->fails_everything ? TaskState::kFailed : TaskState::kFinished;
    }
    if (task.state == TaskState::kRunning) {
      ++announcement.in_flight;
    }
    announcement.tasks.push_back(fleet::TaskReport{
        job, task.token, task.state,
        task.state == TaskState::kFailed ? "exit code 1" : ""});
  }
}

void Worker::ApplyOrders(const fleet::TargetOrders& orders,
                         SteadyTime sent_at) {
  const SteadyTime now = SystemClock().SteadyNow();
  const std::lock_guard lock(this->tasks_mutex);
  // The lease begins when the renewal was sent, not when its answer arrived.
  this->lease_until = std::max(this->lease_until, sent_at + orders.lease);
  std::set<JobId> ordered;
  for (const fleet::TaskOrder& order : orders.tasks) {
    ordered.insert(order.job);
    FencingToken& highest = this->highest_token[order.job];
    const bool is_known = this->tasks.contains(order.job) &&
                          this->tasks[order.job].token == order.token;
    if (is_known || order.token <= highest) {
      continue;
    }
    highest = order.token;
    this->tasks[order.job] = Task{order.token, now + order.run_time};
    ++this->begun[order.job.value()];
  }
  for (auto item = this->tasks.begin(); item != this->tasks.end();) {
    if (ordered.contains(item->first)) {
      ++item;
    } else if (item->second.state == TaskState::kRunning) {
      item->second.state = TaskState::kStopped;
      ++item;
    } else {
      // The task is no longer ordered, so its end was recorded.
      item = this->tasks.erase(item);
    }
  }
}

void Worker::DiscardState() {
  const std::lock_guard lock(this->tasks_mutex);
  this->tasks.clear();
}

}  // namespace sumac::stand_ins
