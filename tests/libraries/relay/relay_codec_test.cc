// SPDX-License-Identifier: Apache-2.0
#include "libraries/relay/relay_codec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/libraries/codec/arbitrary_record.h"

namespace sumac::relay {
namespace {

constexpr LeaderEpoch kEpoch{7};

jobs::TaskId TaskOf(std::uint32_t index) {
  return {{JobId("5c0e7a21d94b36f8"), 2, 1}, index};
}

scheduler::StartOrder StartOf(std::uint32_t index, std::string text) {
  return {.worker = WorkerId("w-1"),
          .address = "10.0.0.9:8080",
          .epoch = kEpoch,
          .task = TaskOf(index),
          .run = RunNumber(3),
          .text = std::move(text),
          .lease_end = scheduler::WorkerTime(486'000),
          .checkpoint = "saved",
          .ticket = "ticket"};
}

// Writes calls into a message that tests read back.
class RelayCodecTest : public testing::Test {
 protected:
  // NOTE: Destructors of kj may throw, the destructor of a gtest fixture may
  // not.
  ~RelayCodecTest() noexcept override {}

  wire::RelayedCalls::Reader Write(const std::vector<RelayCall>& calls) {
    auto root = this->message.initRoot<wire::RelayedCalls>();
    WriteCalls(calls, root);
    return root.asReader();
  }

  capnp::MallocMessageBuilder message;
};

TEST_F(RelayCodecTest, AStartIsReadBackUnchanged) {
  std::vector<RelayCall> calls;
  calls.push_back({.id = 5, .expires = RelayTime(99), .body = StartOf(4, "x")});
  const auto batch = this->Write(calls);
  const auto read =
      ReadCall(batch.getCalls()[0], ReadTexts(batch), LeaderEpoch(7));
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->id, 5U);
  EXPECT_EQ(read->expires, RelayTime(99));
  const auto& start = std::get<scheduler::StartOrder>(read->body);
  const scheduler::StartOrder wanted = StartOf(4, "x");
  EXPECT_EQ(start.worker, wanted.worker);
  EXPECT_EQ(start.address, wanted.address);
  EXPECT_EQ(start.epoch, wanted.epoch);
  EXPECT_EQ(start.task, wanted.task);
  EXPECT_EQ(start.run, wanted.run);
  EXPECT_EQ(start.text, wanted.text);
  EXPECT_EQ(start.lease_end, wanted.lease_end);
  EXPECT_EQ(start.checkpoint, wanted.checkpoint);
  EXPECT_EQ(start.ticket, wanted.ticket);
}

TEST_F(RelayCodecTest, TasksOfOneStepShareTheirText) {
  std::vector<RelayCall> calls;
  for (std::uint32_t index = 0; index < 8; ++index) {
    calls.push_back({.id = index, .body = StartOf(index, "the text")});
  }
  EXPECT_EQ(this->Write(calls).getTexts().size(), 1U);
}

TEST_F(RelayCodecTest, ACallThatNamesNoWorkerOrNoTextIsRefused) {
  std::vector<RelayCall> calls;
  calls.push_back({.id = 1, .body = ForgetCall{WorkerId()}});
  calls.push_back({.id = 2, .body = StartOf(0, "x")});
  const auto batch = this->Write(calls);
  EXPECT_FALSE(ReadCall(batch.getCalls()[0], {"x"}, kEpoch).ok());
  EXPECT_FALSE(ReadCall(batch.getCalls()[1], {}, kEpoch).ok());
}

TEST_F(RelayCodecTest, UnknownValuesInAnAnswerGiveAnUnknownResult) {
  constexpr std::uint16_t kLater = 900;
  auto builder = this->message.initRoot<wire::RelayedAnswer>();
  builder.setResult(kLater);
  EXPECT_EQ(ReadAnswer(builder.asReader()).result,
            scheduler::OrderResult::kUnknown);
  builder.setResult(0);
  builder.initReport().initEnded(1)[0].setCause(kLater);
  const RelayAnswer answer = ReadAnswer(builder.asReader());
  EXPECT_EQ(answer.result, scheduler::OrderResult::kUnknown);
  EXPECT_EQ(answer.report, nullptr);
}

// Guards against a start of another task, or from another checkpoint, than the
// leader ordered: a text may hold any bytes.
RC_GTEST_PROP(RelayCodecPropertyTest,
              AStartWithAnyTextsIsReadBackUnchanged,
              ()) {
  const scheduler::StartOrder wanted{
      .worker = WorkerId("w" + DrawAny<std::string>()),
      .address = DrawAny<std::string>(),
      .epoch = kEpoch,
      .task = DrawAny<jobs::TaskId>(),
      .run = DrawAny<RunNumber>(),
      .text = DrawAny<std::string>(),
      .lease_end = DrawAny<scheduler::WorkerTime>(),
      .checkpoint = DrawAny<std::string>(),
      .ticket = DrawAny<std::string>()};
  std::vector<RelayCall> calls;
  calls.push_back({.id = DrawAny<std::uint64_t>(),
                   .expires = DrawAny<RelayTime>(),
                   .body = wanted});
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RelayedCalls>();
  WriteCalls(calls, root);
  const auto batch = root.asReader();
  const auto read = ReadCall(batch.getCalls()[0], ReadTexts(batch), kEpoch);
  RC_ASSERT(read.ok());
  RC_ASSERT(read->id == calls[0].id && read->expires == calls[0].expires);
  const auto& start = std::get<scheduler::StartOrder>(read->body);
  RC_ASSERT(start.worker == wanted.worker);
  RC_ASSERT(start.address == wanted.address);
  RC_ASSERT(start.task == wanted.task && start.run == wanted.run);
  RC_ASSERT(start.text == wanted.text);
  RC_ASSERT(start.lease_end == wanted.lease_end);
  RC_ASSERT(start.checkpoint == wanted.checkpoint);
  RC_ASSERT(start.ticket == wanted.ticket);
}

scheduler::RenewReport AnyReport() {
  scheduler::RenewReport report{
      .clock = scheduler::WorkerTime(*rc::gen::arbitrary<std::int32_t>()),
      .has_more_ends = *rc::gen::arbitrary<bool>()};
  const auto running = *rc::gen::inRange<std::uint32_t>(0, 9);
  for (std::uint32_t index = 0; index < running; ++index) {
    report.running.push_back(
        {.task = TaskOf(index),
         .run = RunNumber(*rc::gen::arbitrary<std::uint64_t>()),
         .checkpoint = DrawAny<std::string>(),
         .percent = *rc::gen::inRange<std::uint32_t>(0, 101),
         .load = *rc::gen::arbitrary<std::int64_t>()});
  }
  const auto ended = *rc::gen::inRange<std::uint32_t>(0, 9);
  for (std::uint32_t index = 0; index < ended; ++index) {
    report.ended.push_back(
        {.number = *rc::gen::arbitrary<std::uint64_t>(),
         .task = TaskOf(index),
         .run = RunNumber(index),
         .cause = static_cast<scheduler::EndCause>(*rc::gen::inRange(0, 6)),
         .checkpoint = DrawAny<std::string>()});
  }
  return report;
}

RC_GTEST_PROP(RelayCodecPropertyTest, AReportIsReadBackUnchanged, ()) {
  std::vector<RelayAnswer> answers(1);
  answers[0].result = scheduler::OrderResult::kDone;
  answers[0].report = std::make_unique<scheduler::RenewReport>(AnyReport());
  answers[0].clock = answers[0].report->clock;
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RelayedAnswers>();
  WriteAnswers(answers, root);
  const RelayAnswer read = ReadAnswer(root.asReader().getAnswers()[0]);
  RC_ASSERT(read.report != nullptr);
  const scheduler::RenewReport& wanted = *answers[0].report;
  RC_ASSERT(read.report->clock == wanted.clock);
  RC_ASSERT(read.report->has_more_ends == wanted.has_more_ends);
  RC_ASSERT(read.report->running.size() == wanted.running.size());
  for (std::size_t position = 0; position < wanted.running.size(); ++position) {
    const scheduler::RunningReport& one = read.report->running[position];
    const scheduler::RunningReport& other = wanted.running[position];
    RC_ASSERT(one.task == other.task && one.run == other.run);
    RC_ASSERT(one.checkpoint == other.checkpoint);
    RC_ASSERT(one.percent == other.percent && one.load == other.load);
  }
  RC_ASSERT(read.report->ended.size() == wanted.ended.size());
  for (std::size_t position = 0; position < wanted.ended.size(); ++position) {
    const scheduler::EndReport& one = read.report->ended[position];
    const scheduler::EndReport& other = wanted.ended[position];
    RC_ASSERT(one.number == other.number && one.task == other.task);
    RC_ASSERT(one.run == other.run && one.cause == other.cause);
    RC_ASSERT(one.checkpoint == other.checkpoint);
  }
}

}  // namespace
}  // namespace sumac::relay
