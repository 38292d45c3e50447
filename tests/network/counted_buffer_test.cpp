// Tests that buffers hold no more memory than they need, and count what they hold.
#include "network/counted_buffer.hpp"

#include <gtest/gtest.h>

#include <string>

#include "client/request_reader.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kLong = 60'000;

TEST(CountedBuffer, CountsWhatItHoldsAndFreesItWhenEmpty) {
  BodyBudget budget(1 << 20);
  CountedBuffer buffer(budget);
  EXPECT_EQ(budget.used_bytes(), 0u);
  buffer.append(std::string(kLong, 'x'));
  EXPECT_EQ(budget.used_bytes(), buffer.bytes().capacity());
  buffer.clear();
  EXPECT_EQ(budget.used_bytes(), 0u);
  EXPECT_EQ(buffer.bytes().capacity(), std::string().capacity());
  buffer.assign(std::string(kLong, 'x'));
  EXPECT_EQ(buffer.take().size(), kLong);
  EXPECT_EQ(budget.used_bytes(), 0u);
  EXPECT_EQ(buffer.bytes().capacity(), std::string().capacity());
  EXPECT_GE(budget.take_peak_bytes(), kLong);
  EXPECT_EQ(budget.take_peak_bytes(), 0u);
}

// Guards against a body in many pieces that takes twice its size.
TEST(CountedBuffer, GrowsInSmallSteps) {
  BodyBudget budget(1 << 20);
  CountedBuffer buffer(budget);
  for (int i = 0; i < 8; ++i) {
    buffer.append(std::string(8'000, 'x'));
    EXPECT_EQ(budget.used_bytes(), buffer.bytes().capacity());
    EXPECT_LE(buffer.bytes().capacity(), buffer.size() + buffer.size() / 4) << i;
  }
}

// Guards against a few bytes left of a long input that keep its memory.
TEST(CountedBuffer, FreesMemoryThatTheRestDoesNotNeed) {
  BodyBudget budget(1 << 20);
  CountedBuffer buffer(budget);
  buffer.append(std::string(kLong, 'x') + "rest");
  buffer.remove_prefix(kLong);
  EXPECT_EQ(buffer.bytes(), "rest");
  EXPECT_EQ(budget.used_bytes(), 0u);
}

TEST(BodyBudget, ReadsLessWhileMemoryIsShort) {
  BodyBudget budget(kLong);
  EXPECT_EQ(budget.read_size(), kReadSize);
  const CountedBuffer buffer(budget, std::string(kLong, 'x'));
  EXPECT_EQ(budget.read_size(), kReadSizeUnderPressure);
  EXPECT_EQ(budget.buffered_body_limit(), kBufferedBodyLimitUnderPressure);
}

// Guards against a client that sends its head byte by byte and takes a record of each byte.
TEST(RequestReader, NeedsLittleMemoryForBytesThatArriveOneByOne) {
  constexpr std::size_t kHeadSize = 8'000;
  constexpr std::size_t kMaxMemoryOfConnection = 64 << 10;  // bytes; the client limit counts on no more
  BodyBudget budget(1 << 20);
  RequestReader reader(budget);
  const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(kHeadSize, 'x');
  reader.begin_request();
  for (std::size_t i = 0; i < head.size(); ++i) {
    reader.append(head.substr(i, 1), TimePoint(i) * 300);  // the whole head within the 2.4 s that it may take
    reader.parse_some();
  }
  EXPECT_GE(budget.used_bytes(), head.size());
  EXPECT_LT(budget.used_bytes(), kMaxMemoryOfConnection);
}

// Guards against an idle connection that keeps the buffers of its last request.
TEST(RequestReader, HoldsNoBufferOfAnEndedRequest) {
  BodyBudget budget(1 << 20);
  RequestReader reader(budget);
  reader.append("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(kLong, 'x'), 1);
  reader.begin_request();
  while (!reader.is_request_complete()) reader.parse_some();
  EXPECT_GE(budget.used_bytes(), kLong);
  reader.end_request();
  EXPECT_EQ(reader.take_body().size(), kLong);
  EXPECT_LT(budget.used_bytes(), 100u);  // the time at which the last byte arrived
}

}  // namespace
}  // namespace quota_gateway::net::testing
