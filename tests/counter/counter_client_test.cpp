// Tests of the counter client against a fake counter on the loopback interface.
#include "counter/counter_client.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class CounterClientTest : public ::testing::Test {
 protected:
  void start_client(Duration command_timeout = 5'000'000) {
    address = counter->address();
    client.emplace(io, timers, clock, address, command_timeout, 250'000,
                   [this](const CounterReply& reply) { replies.push_back(reply); });
    client->start();
  }

  // Sends an increment and returns the reply to it.
  CounterReply increment(std::int64_t name, double amount = 1) {
    const auto expected_replies = replies.size() + 1;
    client->increment({name, amount, 4'000'000});
    EXPECT_EQ(replies.size(), expected_replies - 1);  // never from within the call
    EXPECT_TRUE(run_until(io, [&] { return replies.size() == expected_replies; }));
    return replies.empty() ? CounterReply{} : replies.back();
  }

  // Sends increments until one succeeds, which takes as long as the backoff. Returns whether one succeeded.
  bool reconnects() {
    for (int i = 0; i < 10'000; ++i) {
      if (increment(77).outcome == CounterOutcome::kOk) return true;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  tcp::endpoint address;
  std::optional<FakeCounter> counter{std::in_place, io};
  std::optional<CounterClient> client;
  std::vector<CounterReply> replies;
};

TEST_F(CounterClientTest, IncrementsAndReportsTheTotal) {
  start_client();
  EXPECT_DOUBLE_EQ(increment(9, 2.5).total, 2.5);
  const auto reply = increment(9, -1);
  EXPECT_EQ(reply.outcome, CounterOutcome::kOk);
  EXPECT_DOUBLE_EQ(reply.total, 1.5);
  EXPECT_EQ(reply.name, 9);
  EXPECT_EQ(counter->commands.at(0), (std::vector<std::string>{"CNT.ADD", "9", "2.5", "4000"}));
  EXPECT_EQ(counter->peers.size(), 1u);
}

TEST_F(CounterClientTest, ReportsARejectedIncrementAsNotAdded) {
  start_client();
  counter->raw_reply = "-BUSY later\r\n";
  EXPECT_EQ(increment(1).outcome, CounterOutcome::kNotAdded);
  counter->raw_reply = "-ERR no such call\r\n";
  EXPECT_EQ(increment(1).outcome, CounterOutcome::kNotAdded);
}

TEST_F(CounterClientTest, ReportsAnIncrementWithoutAConnectionAsNotAdded) {
  start_client();
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  counter->stop();
  // At most the increment that met the reset is unknown.
  while (increment(1).outcome == CounterOutcome::kUnknown) continue;
  EXPECT_EQ(replies.back().outcome, CounterOutcome::kNotAdded);
}

TEST_F(CounterClientTest, ReportsAnIncrementOnABrokenConnectionAsUnknown) {
  start_client();
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  counter->silent = true;
  client->increment({1, 1, 4'000'000});
  ASSERT_TRUE(run_until(io, [&] { return counter->commands.size() == 2; }));
  counter->last_peer->reset();
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 2; }));
  EXPECT_EQ(replies[1].outcome, CounterOutcome::kUnknown);
}

TEST_F(CounterClientTest, DropsALateReply) {
  // A late reply must not be matched to the next increment.
  start_client(100'000);
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  counter->silent = true;
  EXPECT_EQ(increment(2).outcome, CounterOutcome::kUnknown);
  counter->silent = false;
  client->increment({3, 5, 4'000'000});
  counter->last_peer->write("$3\r\n222\r\n");  // the reply to increment 2, after its timeout
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 3; }));
  EXPECT_EQ(replies[2].name, 3);
  // Any other outcome means that the test process was suspended for a command timeout.
  if (replies[2].outcome == CounterOutcome::kOk) {
    EXPECT_DOUBLE_EQ(replies[2].total, 5);
  }
}

TEST_F(CounterClientTest, ReplacesASilentConnection) {
  // The client must not wait forever on a connection to a counter that has disappeared.
  start_client(20'000);
  ASSERT_TRUE(reconnects());
  counter->silent = true;
  const auto connections_before = counter->peers.size();
  EXPECT_EQ(increment(1).outcome, CounterOutcome::kUnknown);
  ASSERT_TRUE(run_until(io, [&] { return counter->peers.size() > connections_before; }));
  EXPECT_LE(counter->peers.size(), connections_before + 2);  // no reconnect storm
  counter->silent = false;
  EXPECT_TRUE(reconnects());
}

TEST_F(CounterClientTest, ReconnectsToARestartedCounter) {
  start_client();
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  counter->stop();
  ASSERT_TRUE(run_until(io, [&] { return increment(1).outcome == CounterOutcome::kNotAdded; }));
  counter.reset();
  counter.emplace(io, address);
  EXPECT_TRUE(reconnects());
  EXPECT_EQ(counter->peers.size(), 1u);
}

TEST_F(CounterClientTest, ReconnectsToANewAddress) {
  FakeCounter new_counter(io);
  start_client();
  EXPECT_EQ(increment(7).outcome, CounterOutcome::kOk);
  client->reconnect_to(new_counter.address());
  EXPECT_TRUE(reconnects());
  EXPECT_EQ(counter->commands.size(), 1u);
  EXPECT_EQ(new_counter.commands.size(), 1u);
}

TEST_F(CounterClientTest, ReplacesAConnectionAfterAReplyWithoutATotal) {
  // Such a connection may never reply again; the next increment must not wait for it.
  for (const char* bytes : {"$3\r\nnan\r\n", "+OK\r\n", "$-1\r\n"}) {
    start_client();
    ASSERT_TRUE(reconnects());
    const auto connections_before = counter->peers.size();
    counter->raw_reply = bytes;
    EXPECT_EQ(increment(1).outcome, CounterOutcome::kUnknown) << bytes;
    counter->raw_reply.reset();
    EXPECT_TRUE(reconnects()) << bytes;
    EXPECT_EQ(counter->peers.size(), connections_before + 1) << bytes;
  }
}

TEST_F(CounterClientTest, SurvivesMalformedReplies) {
  // Covers text in place of a total, and announced lengths that the reader must not allocate.
  start_client();
  for (const char* bytes : {"$3\r\nnan\r\n", "$3\r\ninf\r\n", "$4\r\n12x4\r\n", "$-1\r\n", ":12\r\n",
                            "+OK\r\n", "*2147483647\r\n", "*2\r\n:1\r\n:2\r\n", "$99999999999\r\n",
                            "nonsense\r\n", "$3\r\n1.5\r\n$3\r\n1.5\r\n"}) {
    ASSERT_TRUE(reconnects()) << bytes;
    counter->raw_reply = bytes;
    const auto outcome = increment(1).outcome;
    EXPECT_TRUE(outcome == CounterOutcome::kUnknown || std::string(bytes).substr(4, 3) == "1.5") << bytes;
    counter->raw_reply.reset();
  }
  EXPECT_TRUE(reconnects());
}

}  // namespace
}  // namespace quota_gateway::net::testing
