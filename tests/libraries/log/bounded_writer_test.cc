// SPDX-License-Identifier: Apache-2.0
#include "libraries/log/bounded_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>
#include <thread>

#include "libraries/log/event_rate.h"

namespace sumac {
namespace {

// A pipe whose reader reads only on request.
class Pipe {
 public:
  Pipe() {
    EXPECT_EQ(::pipe2(this->ends.data(), O_CLOEXEC), 0);
    EXPECT_EQ(::fcntl(this->ends[0], F_SETFL, O_NONBLOCK), 0);
  }
  ~Pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int write_end() const { return this->ends[1]; }
  std::string ReadAll() const {
    std::string text;
    std::array<char, 4'096> part{};
    ssize_t count = 0;
    while ((count = ::read(this->ends[0], part.data(), part.size())) > 0) {
      text.append(part.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  std::array<int, 2> ends{};
};

TEST(BoundedWriterTest, LinesGoOutInOrder) {
  Pipe pipe;
  BoundedWriter writer(pipe.write_end(), 1'000);
  EXPECT_TRUE(writer.WriteLine("one"));
  EXPECT_TRUE(writer.WriteLine("two"));
  EXPECT_EQ(pipe.ReadAll(), "one\ntwo\n");
  EXPECT_EQ(writer.buffered_bytes(), 0U);
}

// A blocking write to a pipe that nobody reads would never return, and this
// test would hang.
TEST(BoundedWriterTest, WritingDoesNotBlockOnAStalledReader) {
  constexpr std::size_t kBound = 10'000;
  Pipe pipe;
  BoundedWriter writer(pipe.write_end(), kBound);
  const std::string line(999, 'x');
  std::uint64_t refused = 0;
  for (int count = 0; count < 200; ++count) {
    refused += static_cast<std::uint64_t>(!writer.WriteLine(line));
  }
  EXPECT_GT(refused, 0U);
  EXPECT_LE(writer.buffered_bytes(), kBound);
  EXPECT_EQ(writer.TakeDropCount(), refused);
  EXPECT_EQ(writer.TakeDropCount(), 0U);
}

TEST(BoundedWriterTest, BufferedLinesAreWrittenWholeOnceThereIsRoom) {
  Pipe pipe;
  BoundedWriter writer(pipe.write_end(), 1U << 20);
  std::string expected;
  for (int count = 0; count < 300; ++count) {
    const std::string line = std::to_string(count) + std::string(5'000, 'y');
    if (writer.WriteLine(line)) {
      expected += line + '\n';
    }
  }
  EXPECT_GT(writer.buffered_bytes(), 0U);
  std::string text;
  while (writer.buffered_bytes() > 0) {
    text += pipe.ReadAll();
    writer.Flush();
  }
  text += pipe.ReadAll();
  EXPECT_EQ(text, expected);
}

// Lines that a process wrote just before its end were lost when the reader was
// slow for a moment.
TEST(BoundedWriterTest, AFlushWithALimitWaitsForASlowReader) {
  constexpr std::size_t kSize = 500'000;
  constexpr Milliseconds kPause{50};
  constexpr int kMaxParts = 200;
  constexpr std::string_view kLast = "the last line\n";
  Pipe pipe;
  BoundedWriter writer(pipe.write_end(), 2 * kSize);
  EXPECT_TRUE(writer.WriteLine(std::string(kSize, 'x')));
  EXPECT_TRUE(writer.WriteLine("the last line"));
  std::string received;
  std::thread reader([&] {
    for (int part = 0; part < kMaxParts && !received.ends_with(kLast); ++part) {
      std::this_thread::sleep_for(kPause);
      received += pipe.ReadAll();
    }
  });
  EXPECT_TRUE(writer.FlushWithin(Milliseconds(10'000)));
  reader.join();
  EXPECT_EQ(writer.buffered_bytes(), 0U);
}

TEST(BoundedWriterTest, AFlushWithALimitGivesUpOnAStalledReader) {
  constexpr std::size_t kSize = 500'000;
  Pipe pipe;
  BoundedWriter writer(pipe.write_end(), 2 * kSize);
  EXPECT_TRUE(writer.WriteLine(std::string(kSize, 'x')));
  EXPECT_FALSE(writer.FlushWithin(Milliseconds(20)));
  EXPECT_GT(writer.buffered_bytes(), 0U);
}

TEST(EventRateTest, LinesOfOneKindAreBoundedInEachSecond) {
  EventRate rate(2);
  const SteadyTime start{Milliseconds(5'000)};
  EXPECT_TRUE(rate.Admit("a", start));
  EXPECT_TRUE(rate.Admit("a", start));
  EXPECT_FALSE(rate.Admit("a", start + Milliseconds(999)));
  EXPECT_TRUE(rate.Admit("b", start + Milliseconds(999)));
  EXPECT_TRUE(rate.TakeLeftOut(start + Milliseconds(999)).empty());
  const EventRate::Counts left_out =
      rate.TakeLeftOut(start + Milliseconds(1'000));
  EXPECT_EQ(left_out, (EventRate::Counts{{"a", 1}}));
  EXPECT_TRUE(rate.TakeLeftOut(start + Milliseconds(1'000)).empty());
  EXPECT_TRUE(rate.Admit("a", start + Milliseconds(1'000)));
}

}  // namespace
}  // namespace sumac
