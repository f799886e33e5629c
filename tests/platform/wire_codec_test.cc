// SPDX-License-Identifier: Apache-2.0
#include "platform/wire_codec.h"

#include <gtest/gtest.h>

#include "libraries/base/error.h"
#include "nlohmann/json.hpp"
#include "platform/api_key.h"

namespace sumac::platform {
namespace {

const nlohmann::json& Manifest() {
  static const nlohmann::json kManifest = nlohmann::json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "clips", "host": "desk.example", "path_prefix": "/clips/", "kind": "unsafe",
       "timeout_ms": 3000, "target_latency_ms": 600, "priority": 1, "service": "previews",
       "max_attempts": 4, "stretch": 1.6},
      {"name": "deep", "host": "desk.example", "path_prefix": "/clips/deep/", "timeout_ms": 3000,
       "service": "previews"}],
    "services": [{"name": "previews", "enforces_capacity": true},
                 {"name": "spare", "headroom": true}],
    "limits": {"max_body_bytes": 262144}})");
  return kManifest;
}

ResultCode CodeAfter(const std::string& patch) {
  const auto read =
      ReadDeclaration(Manifest().patch(nlohmann::json::parse(patch)).dump());
  return read.ok() ? ResultCode::kOk : CodeOf(read.status());
}

TEST(WireCodecTest, ReadsADeclaration) {
  const auto read = ReadDeclaration(Manifest().dump());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->version(), 7U);
  const jobs::QueueDeclaration* queue =
      read->FindByAddress("desk.example", "/clips/0123");
  ASSERT_NE(queue, nullptr);
  EXPECT_EQ(queue->name.value(), "clips");
  EXPECT_EQ(queue->most_attempts, 4U);
  EXPECT_EQ(queue->priority, 1U);
  EXPECT_DOUBLE_EQ(queue->stretch, 1.6);
  EXPECT_EQ(queue->latency_target, Milliseconds(600));
  EXPECT_TRUE(read->FindService(ServiceName("spare"))->is_headroom);
  EXPECT_TRUE(read->FindService(ServiceName("previews"))->enforces_capacity);
}

TEST(WireCodecTest, ReadsCustomers) {
  nlohmann::json manifest = Manifest();
  manifest["routes"][1]["public"] = true;
  manifest["tenants"] = nlohmann::json::parse(R"([
      {"name": "ann", "api_keys": ["key-one", "key-two"], "weight": 2.5,
       "max_count": {"cpu": 9000, "mem_mb": 100, "gpu": 0}},
      {"name": "bob", "weight": 1}])");
  const auto read = ReadDeclaration(manifest.dump());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_FALSE(read->FindQueue(QueueName("clips"))->is_public);
  EXPECT_TRUE(read->FindQueue(QueueName("deep"))->is_public);
  const jobs::CustomerDeclaration* ann =
      read->FindCustomerByKey(DigestOf("key-two"));
  ASSERT_NE(ann, nullptr);
  EXPECT_EQ(ann->name.value(), "ann");
  EXPECT_DOUBLE_EQ(ann->weight, 2.5);
  EXPECT_EQ(ann->quota,
            (jobs::Resources{.millicores = 9'000, .memory_mb = 100}));
  EXPECT_TRUE(read->FindCustomer(CustomerName("bob"))->keys.empty());
  EXPECT_EQ(read->FindCustomerByKey(DigestOf("key-three")), nullptr);
}

TEST(WireCodecTest, NoErrorAboutADeclarationQuotesAKey) {
  const std::string key = "pqk8bdk9eevyxq2yyaza";
  std::vector<std::string> texts;
  for (const char* tenants :
       {R"({"api_keys": ["KEY"]})", R"(["KEY"])", R"("KEY")",
        R"([{"name": ["KEY"]}])",
        R"([{"name": "a", "weight": 1, "api_keys": "KEY"}])",
        R"([{"name": "a", "weight": 1, "api_keys": [["KEY"]]}])",
        R"([{"name": "a", "weight": "KEY"}])",
        R"([{"name": "a", "weight": 1, "max_count": "KEY"}])",
        R"([{"name": "a", "weight": 1, "max_count": {"cpu": "KEY"}}])",
        R"([{"name": "a", "api_keys": ["KEY"]}])",
        R"([{"name": "a", "weight": 1, "api_keys": ["KEY", "KEY"]}])",
        R"([{"name": "a", "weight": 1, "api_keys": ["KEY"]},
            {"name": "b", "weight": 1, "api_keys": ["KEY"]}])"}) {
    std::string text = tenants;
    for (std::size_t at = text.find("KEY"); at != std::string::npos;
         at = text.find("KEY", at + key.size())) {
      text.replace(at, 3, key);
    }
    nlohmann::json manifest = Manifest();
    manifest["tenants"] = nlohmann::json::parse(text);
    texts.push_back(manifest.dump());
  }
  // A text that ends within a key.
  const std::string whole = texts.back();
  texts.push_back(whole.substr(0, whole.find(key) + 10));
  for (const std::string& text : texts) {
    const auto read = ReadDeclaration(text);
    ASSERT_FALSE(read.ok()) << text;
    EXPECT_EQ(CodeOf(read.status()), ResultCode::kInvalidDeclaration);
    EXPECT_EQ(read.status().message().find(key.substr(0, 8)),
              absl::string_view::npos)
        << read.status();
  }
}

TEST(WireCodecTest, ReadsAPlacementPolicy) {
  nlohmann::json manifest = Manifest();
  manifest["routes"][0]["advice"] = {
      {"decision_ms", 120}, {"each_ms", 2.5}, {"validity_ms", 3'000}};
  const auto read = ReadDeclaration(manifest.dump());
  ASSERT_TRUE(read.ok()) << read.status();
  const auto& policy = read->FindQueue(QueueName("clips"))->placement_policy;
  ASSERT_TRUE(policy.has_value());
  EXPECT_EQ(policy->decision_time, Milliseconds(120));
  EXPECT_EQ(policy->worker_time, Milliseconds(3));
  EXPECT_EQ(policy->validity, Milliseconds(3'000));
  EXPECT_FALSE(read->FindQueue(QueueName("deep"))->placement_policy);
}

TEST(WireCodecTest, AsksForAdviceAndReadsIt) {
  const scheduler::AdviceQuestion question{
      .step = {JobId("5c0e7a21d94b36f8"), 0, 1},
      .workers = {WorkerId("i-1"), WorkerId("i-2")}};
  EXPECT_EQ(nlohmann::json::parse(WriteAdviceQuestion(question)),
            nlohmann::json::parse(
                R"({"step":"5c0e7a21d94b36f8.0.1","workers":["i-1","i-2"]})"));
  const auto answer = ReadAdviceAnswer(
      question, R"({"successes":[["i-2","c81e"]],"validity_ms":3000})");
  ASSERT_TRUE(answer.ok());
  EXPECT_TRUE(answer->is_answered);
  EXPECT_EQ(answer->validity, Milliseconds(3'000));
  EXPECT_EQ(answer->tickets,
            (std::map<WorkerId, std::string>{{WorkerId("i-2"), "c81e"}}));
  EXPECT_FALSE(ReadAdviceAnswer(question, R"({"successes":3})").ok());
  EXPECT_FALSE(ReadAdviceAnswer(question, "[]").ok());
}

TEST(WireCodecTest, TheLongestPrefixDeterminesTheQueue) {
  const auto read = ReadDeclaration(Manifest().dump());
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->FindByAddress("desk.example", "/clips/deep/1")->name.value(),
            "deep");
  EXPECT_EQ(read->FindByAddress("desk.example", "/other/1"), nullptr);
  EXPECT_EQ(read->FindByAddress("no.example", "/clips/1"), nullptr);
}

TEST(WireCodecTest, RefusesWhatMustNotComeIntoForce) {
  const std::vector<std::string> mistakes = {
      R"([{"op":"replace","path":"/routes/0/service","value":"nobody"}])",
      R"([{"op":"replace","path":"/routes/0/timeout_ms","value":0}])",
      R"([{"op":"replace","path":"/routes/1/path_prefix","value":"/clips/"}])",
      R"([{"op":"replace","path":"/routes/1/name","value":"clips"}])",
      R"([{"op":"replace","path":"/version","value":"7"}])",
      R"([{"op":"remove","path":"/routes"}])",
      R"([{"op":"remove","path":"/services"}])",
      R"([{"op":"replace","path":"/routes","value":{}}])",
      R"([{"op":"replace","path":"/services/1/name","value":"previews"}])"};
  for (const std::string& mistake : mistakes) {
    EXPECT_EQ(CodeAfter(mistake), ResultCode::kInvalidDeclaration) << mistake;
  }
  EXPECT_EQ(CodeOf(ReadDeclaration(Manifest().dump().substr(0, 200)).status()),
            ResultCode::kInvalidDeclaration);
  EXPECT_EQ(CodeAfter(R"([{"op":"add","path":"/new","value":1}])"),
            ResultCode::kOk);
}

TEST(WireCodecTest, ReadsAJobWithEveryField) {
  const auto spec =
      ReadJob(R"({"spec":"text","repeats":3,"first_ms":1000,"interval_ms":50,
    "steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimate_ms":900,"affinity":"r1-3"},
      {"count":2,"after":[0],"checkpointing":true,"gang":true,"same_rack":true,"requires":"a",
       "anti_affinity":1,"speculative":true,"long_running":true,"image":"i","target_ms":40,
       "fills":true,"miss_allowance":0}]})");
  ASSERT_TRUE(spec.ok()) << spec.status();
  EXPECT_EQ(spec->text, "text");
  EXPECT_EQ(spec->repeats, 3U);
  EXPECT_EQ(spec->first_due, WallTime(Milliseconds(1'000)));
  EXPECT_EQ(spec->interval, Milliseconds(50));
  const jobs::StepSpec& first = spec->steps[0];
  EXPECT_EQ(first.need, (jobs::Resources{500, 256, 1}));
  EXPECT_EQ(first.data_rack.value(), "r1-3");
  EXPECT_FALSE(first.has_disruption_budget);
  const jobs::StepSpec& second = spec->steps[1];
  EXPECT_EQ(second.after, std::vector<std::uint32_t>{0});
  EXPECT_TRUE(second.is_checkpointing && second.is_gang &&
              second.wants_same_rack && second.is_speculative &&
              second.is_long_running && second.is_filler);
  EXPECT_EQ(second.required_label, "a");
  EXPECT_EQ(second.most_per_worker, 1U);
  EXPECT_EQ(second.latency_target, Milliseconds(40));
  EXPECT_TRUE(second.has_disruption_budget);
  EXPECT_EQ(second.disruption_budget, 0U);
}

TEST(WireCodecTest, RefusesAnInvalidJob) {
  for (const char* body :
       {"", "{", "[]", R"({"spec":"x"})", R"({"spec":1,"steps":[{"count":1}]})",
        R"({"spec":"x","steps":[]})", R"({"spec":"x","steps":[{"count":0}]})",
        R"({"spec":"x","steps":[{"count":1,"cpu":-1}]})",
        R"({"spec":"x","steps":[{"count":1,"after":[0]}]})",
        R"({"spec":"x","steps":[{"count":1,"gang":1}]})",
        R"({"spec":"x","steps":[{"count":9000000}]})"}) {
    EXPECT_FALSE(ReadJob(body).ok()) << body;
  }
}

TEST(WireCodecTest, ReadsAnAnnouncement) {
  const auto worker = ReadAnnouncement(
      WorkerName("i-1"),
      R"({"service":"previews","address":"10.0.0.1:80","zone":"z","machine":"m-1","state":"draining",
          "capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},"labels":["a","r1-3"],"seq":4,
          "version":"v1","slots":8})");
  ASSERT_TRUE(worker.ok()) << worker.status();
  EXPECT_EQ(worker->instance.value(), "m-1");
  EXPECT_EQ(worker->data_centre.value(), "z");
  EXPECT_EQ(worker->capacity, (jobs::Resources{16'000, 32'768, 2}));
  EXPECT_TRUE(worker->is_draining);
  EXPECT_TRUE(worker->has_label("r1-3"));
  EXPECT_EQ(worker->sequence, 4U);
  for (const char* body :
       {"{}", R"({"service":"s","address":"a","state":"sleeping"})",
        R"({"service":1,"address":"a","state":"ready"})"}) {
    EXPECT_EQ(CodeOf(ReadAnnouncement(WorkerName("i"), body).status()),
              ResultCode::kBadRequest)
        << body;
  }
}

// Guards against a worker that stops the leader's planning, since no question
// about it can be written.
TEST(WireCodecTest, AWorkerNameThatNoMessageCanHoldIsRefused) {
  constexpr std::string_view kBody =
      R"({"service":"previews","address":"10.0.0.1:80","state":"ready"})";
  EXPECT_TRUE(ReadAnnouncement(WorkerName("i-\xc3\xa9"), kBody).ok());
  EXPECT_EQ(CodeOf(ReadAnnouncement(WorkerName("i-\xff"), kBody).status()),
            ResultCode::kBadRequest);
}

// Guards against an announcement that is committed as one of a worker with less
// than no capacity, which no replica can apply.
TEST(WireCodecTest, ACapacityBeyondTheRangeOfNumbersIsRefused) {
  const auto worker = ReadAnnouncement(
      WorkerName("i-1"),
      R"({"service":"previews","address":"10.0.0.1:80","state":"ready",
          "capacity":{"cpu":18446744073709551615}})");
  EXPECT_EQ(CodeOf(worker.status()), ResultCode::kBadRequest);
}

TEST(WireCodecTest, WritesOrders) {
  const jobs::TaskId task{{JobId("5c0e7a21d94b36f8"), 0, 1}, 17};
  EXPECT_EQ(
      nlohmann::json::parse(
          WriteStart({.epoch = LeaderEpoch(7),
                      .task = task,
                      .run = RunNumber(2),
                      .text = "x",
                      .lease_end = scheduler::WorkerTime(486'000),
                      .checkpoint = "c",
                      .ticket = "t"})),
      nlohmann::json::parse(
          R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"x","until_ms":486000,
                    "fence_token":7,"checkpoint":"c","ticket":"t"})"));
  EXPECT_EQ(
      nlohmann::json::parse(WriteStop(
          {.epoch = LeaderEpoch(7), .task = task, .run = RunNumber(2)})),
      nlohmann::json::parse(
          R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fence_token":7})"));
  EXPECT_EQ(
      nlohmann::json::parse(
          WriteRenewal({.epoch = LeaderEpoch(7),
                        .acknowledged_ends = 57,
                        .lease_end = scheduler::WorkerTime(486'000),
                        .wait = Milliseconds(1'000)})),
      nlohmann::json::parse(
          R"({"until_ms":486000,"fence_token":7,"acked_upto":57,"wait_ms":1000})"));
}

TEST(WireCodecTest, ReadsAReport) {
  const auto report = ReadRenewReport(
      R"({"clock_ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"save",41,12]],
          "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(report.ok()) << report.status();
  EXPECT_EQ(report->clock, scheduler::WorkerTime(482'113));
  ASSERT_EQ(report->running.size(), 1U);
  EXPECT_EQ(report->running[0].task.ToText(), "5c0e7a21d94b36f8.0.1.17");
  EXPECT_EQ(report->running[0].checkpoint, "save");
  EXPECT_EQ(report->running[0].percent, 41U);
  EXPECT_EQ(report->running[0].load, 12);
  ASSERT_EQ(report->ended.size(), 1U);
  EXPECT_EQ(report->ended[0].number, 58U);
  EXPECT_EQ(report->ended[0].cause, scheduler::EndCause::kDone);
}

TEST(WireCodecTest, RefusesAMalformedReport) {
  for (
      const char* body :
      {"", "{}", R"({"clock_ms":1,"running":[]})",
       R"({"clock_ms":1,"running":[["x",1,"",1]],"ended":[]})",
       R"({"clock_ms":1,"running":[],"ended":[[1,"a.0.0.0",1,"vanished",""]]})",
       R"({"clock_ms":1,"running":[[]],"ended":[]})"}) {
    EXPECT_FALSE(ReadRenewReport(body).ok()) << body;
  }
}

TEST(WireCodecTest, DistinguishesOrderAnswers) {
  using enum scheduler::OrderResult;
  EXPECT_EQ(ReadOrderAnswer(200, R"({"clock_ms":5})").result, kDone);
  EXPECT_EQ(ReadOrderAnswer(200, R"({"clock_ms":5})").clock,
            scheduler::WorkerTime(5));
  EXPECT_EQ(ReadOrderAnswer(409, R"({"clock_ms":5,"reason":"fence"})").result,
            kFenced);
  EXPECT_EQ(ReadOrderAnswer(409, R"({"clock_ms":5,"reason":"old"})").result,
            kOldRun);
  EXPECT_EQ(ReadOrderAnswer(409, R"({"clock_ms":5,"reason":"late"})").result,
            kTooLate);
  EXPECT_EQ(ReadOrderAnswer(409, R"({"clock_ms":5,"reason":"room"})").result,
            kNoRoom);
  EXPECT_EQ(ReadOrderAnswer(421, "").result, kOtherIncarnation);
  EXPECT_EQ(ReadOrderAnswer(503, "").result, kRefused);
}

TEST(WireCodecTest, ReadsInstancesAndResultsOfOrders) {
  const auto page = ReadInstancePage(
      R"({"machines":[{"machine":"m-1","pool":"p","state":"upkeep","id":"i-1","zone":"z",
          "labels":["a","r1"],
          "capacity":{"cpu":1}},{"machine":"m-2","pool":"p","state":"up","id":null}],"next_token":"t"})");
  ASSERT_TRUE(page.ok()) << page.status();
  EXPECT_EQ(page->instances[0].state,
            maintenance::InstanceState::kInMaintenance);
  EXPECT_EQ(page->instances[0].worker.value(), "i-1");
  EXPECT_EQ(page->instances[0].labels, (std::vector<std::string>{"a", "r1"}));
  EXPECT_TRUE(page->instances[1].worker.value().empty());
  EXPECT_EQ(page->next_token, "t");
  using enum maintenance::InstanceResult;
  EXPECT_EQ(ReadInstanceResult(200, ""), kDone);
  EXPECT_EQ(ReadInstanceResult(409, R"({"reason":"busy"})"), kBusy);
  EXPECT_EQ(ReadInstanceResult(409, R"({"reason":"fence"})"), kFenced);
  EXPECT_EQ(ReadInstanceResult(409, R"({"reason":"wave"})"), kNotInWave);
  EXPECT_EQ(ReadInstanceResult(400, ""), kUnknownInstance);
  EXPECT_EQ(ReadInstanceResult(429, ""), kRefused);
  // Only a call without an answer may have been carried out.
  EXPECT_EQ(ReadInstanceResult(503, ""), kRefused);
  EXPECT_EQ(ReadInstanceResult(500, ""), kUnknown);
}

// A malformed row must not make the whole list of instances unreadable. An
// instance in an unknown state must not count as down, since its worker's tasks
// would then be started elsewhere.
TEST(WireCodecTest, AMalformedRowDoesNotAffectOthers) {
  const auto page = ReadInstancePage(
      R"({"machines":[{"machine":"m-1","pool":"p","state":"up","id":"i-1"},
          {"machine":"m-2","pool":7,"state":"up"},{"machine":"m-3","pool":"p","state":"resting"},
          {"machine":"m-4"},{"machine":9,"pool":"p","state":"up"},{"pool":"p","state":"up"},
          7,null,[],{"machine":"m-5","pool":"p","state":"down","capacity":[]},
          {"machine":"m-6","pool":"p","state":"down"}],"next_token":""})");
  ASSERT_TRUE(page.ok()) << page.status();
  using enum maintenance::InstanceState;
  const std::map<std::string, maintenance::InstanceState> expected = {
      {"m-1", kUp},      {"m-2", kUnknown}, {"m-3", kUnknown},
      {"m-4", kUnknown}, {"m-5", kUnknown}, {"m-6", kDown}};
  std::map<std::string, maintenance::InstanceState> read;
  for (const maintenance::ListedInstance& instance : page->instances) {
    read[instance.name.value()] = instance.state;
  }
  EXPECT_EQ(read, expected);
  EXPECT_EQ(page->nameless_rows, 5U);
}

// A row whose data centre cannot be read is as usable as before.
TEST(WireCodecTest, ReadsTheDataCentreOfAnInstance) {
  const auto page = ReadInstancePage(
      R"({"machines":[{"machine":"m-1","pool":"p","state":"up","zone":"z-a"},
          {"machine":"m-2","pool":"p","state":"up","zone":null},
          {"machine":"m-3","pool":"p","state":"up","zone":7},
          {"machine":"m-4","pool":"p","state":"up"}],"next_token":""})");
  ASSERT_TRUE(page.ok()) << page.status();
  std::vector<std::string> data_centres;
  for (const maintenance::ListedInstance& instance : page->instances) {
    data_centres.push_back(instance.data_centre.value());
    EXPECT_EQ(instance.state, maintenance::InstanceState::kUp);
  }
  EXPECT_EQ(data_centres, (std::vector<std::string>{"z-a", "", "", ""}));
}

TEST(WireCodecTest, ReadsAWave) {
  const auto wave = ReadWave(
      R"({"wave":1,"machines":["m-1","m-2"],"ramp_s":2.5,"max_count":3})");
  ASSERT_TRUE(wave.ok());
  EXPECT_EQ(wave->wave.value(), "1");
  EXPECT_EQ(wave->instances.size(), 2U);
  EXPECT_EQ(wave->ramp, Milliseconds(2'500));
  EXPECT_EQ(wave->most_at_once, 3U);
  EXPECT_FALSE(ReadWave(R"({"machines":[]})").ok());
}

}  // namespace
}  // namespace sumac::platform
