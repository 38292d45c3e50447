// Tests of the counter client against a fake counter on the loopback interface.
#include "counter/counter_client.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class CounterClientTest : public ::testing::Test {
 protected:
  void start_client(Duration call_timeout = 5'000'000) {
    address = server->address();
    client.emplace(io, timers, clock, address, call_timeout, 250'000,
                   [this](const CounterReply& reply) { replies.push_back(reply); });
    client->start();
  }

  // Sends an increment and returns the reply to it.
  CounterReply increment(std::int64_t name, double amount = 1) {
    const auto expected = replies.size() + 1;
    client->increment({name, amount, 4'000'000});
    EXPECT_EQ(replies.size(), expected - 1);  // never from within the call
    EXPECT_TRUE(run_until(io, [&] { return replies.size() == expected; }));
    return replies.empty() ? CounterReply{} : replies.back();
  }

  // Sends increments until one succeeds, which takes as long as the backoff.
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
  std::optional<FakeCounter> server{std::in_place, io};
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
  EXPECT_EQ(server->commands.at(0), (std::vector<std::string>{"CNT.ADD", "9", "2.5", "4000"}));
  EXPECT_EQ(server->peers.size(), 1u);
}

TEST_F(CounterClientTest, ReportsARejectedIncrementAsNotAdded) {
  start_client();
  server->raw_reply = "-BUSY later\r\n";
  EXPECT_EQ(increment(1).outcome, CounterOutcome::kNotAdded);
  server->raw_reply = "-ERR no such call\r\n";
  EXPECT_EQ(increment(1).outcome, CounterOutcome::kNotAdded);
}

TEST_F(CounterClientTest, ReportsAnIncrementWithoutAConnectionAsNotAdded) {
  start_client();
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  server->stop();
  // At most the increment that met the reset is unknown.
  while (increment(1).outcome == CounterOutcome::kUnknown) continue;
  EXPECT_EQ(replies.back().outcome, CounterOutcome::kNotAdded);
}

TEST_F(CounterClientTest, ReportsAnIncrementOnABrokenConnectionAsUnknown) {
  start_client();
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  server->silent = true;
  client->increment({1, 1, 4'000'000});
  ASSERT_TRUE(run_until(io, [&] { return server->commands.size() == 2; }));
  server->last_peer->reset();
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 2; }));
  EXPECT_EQ(replies[1].outcome, CounterOutcome::kUnknown);
}

TEST_F(CounterClientTest, DropsALateReplyAndKeepsTheOrder) {
  // A late reply must not be taken for the reply to the next increment.
  start_client(100'000);
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  server->silent = true;
  EXPECT_EQ(increment(2).outcome, CounterOutcome::kUnknown);
  server->silent = false;
  client->increment({3, 5, 4'000'000});
  server->last_peer->write("$3\r\n222\r\n");  // the reply to increment 2, after its timeout
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 3; }));
  EXPECT_EQ(replies[2].name, 3);
  // Any other outcome means that the test process was suspended for a call timeout.
  if (replies[2].outcome == CounterOutcome::kOk) {
    EXPECT_DOUBLE_EQ(replies[2].total, 5);
  }
}

TEST_F(CounterClientTest, ReplacesASilentConnection) {
  // The client must not wait for ever on a connection to a counter that has disappeared.
  start_client(20'000);
  ASSERT_TRUE(reconnects());
  server->silent = true;
  const auto before = server->peers.size();
  EXPECT_EQ(increment(1).outcome, CounterOutcome::kUnknown);
  ASSERT_TRUE(run_until(io, [&] { return server->peers.size() > before; }));
  EXPECT_LE(server->peers.size(), before + 2);  // no storm of connections
  server->silent = false;
  EXPECT_TRUE(reconnects());
}

TEST_F(CounterClientTest, ReconnectsToARestartedCounter) {
  start_client();
  ASSERT_EQ(increment(1).outcome, CounterOutcome::kOk);
  server->stop();
  ASSERT_TRUE(run_until(io, [&] { return increment(1).outcome == CounterOutcome::kNotAdded; }));
  server.reset();
  server.emplace(io, address);
  EXPECT_TRUE(reconnects());
  EXPECT_EQ(server->peers.size(), 1u);
}

TEST_F(CounterClientTest, ReconnectsToANewAddress) {
  FakeCounter new_server(io);
  start_client();
  EXPECT_EQ(increment(7).outcome, CounterOutcome::kOk);
  client->reconnect_to(new_server.address());
  EXPECT_TRUE(reconnects());
  EXPECT_EQ(server->commands.size(), 1u);
  EXPECT_EQ(new_server.commands.size(), 1u);
}

TEST_F(CounterClientTest, ReplacesAConnectionAfterAReplyWithoutATotal) {
  // Such a connection may never reply again; the next increment must not wait for it.
  for (const char* bytes : {"$3\r\nnan\r\n", "+OK\r\n", "$-1\r\n"}) {
    start_client();
    ASSERT_TRUE(reconnects());
    const auto before = server->peers.size();
    server->raw_reply = bytes;
    EXPECT_EQ(increment(1).outcome, CounterOutcome::kUnknown) << bytes;
    server->raw_reply.reset();
    EXPECT_TRUE(reconnects()) << bytes;
    EXPECT_EQ(server->peers.size(), before + 1) << bytes;
  }
}

TEST_F(CounterClientTest, SurvivesMalformedReplies) {
  // Neither text in place of a total nor a length that the reader would allocate may do harm.
  start_client();
  for (const char* bytes : {"$3\r\nnan\r\n", "$3\r\ninf\r\n", "$4\r\n12x4\r\n", "$-1\r\n", ":12\r\n",
                            "+OK\r\n", "*2147483647\r\n", "*2\r\n:1\r\n:2\r\n", "$99999999999\r\n",
                            "nonsense\r\n", "$3\r\n1.5\r\n$3\r\n1.5\r\n"}) {
    ASSERT_TRUE(reconnects()) << bytes;
    server->raw_reply = bytes;
    const auto outcome = increment(1).outcome;
    EXPECT_TRUE(outcome == CounterOutcome::kUnknown || std::string(bytes).substr(4, 3) == "1.5") << bytes;
    server->raw_reply.reset();
  }
  EXPECT_TRUE(reconnects());
}

}  // namespace
}  // namespace quota_gateway::net::testing
