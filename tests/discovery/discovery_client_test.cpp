// Tests of the discovery client against a fake agent on the loopback interface.
#include "discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

// A client whose watch begins after revision 41.
class DiscoveryClientTest : public ::testing::Test {
 protected:
  DiscoveryClientTest() { client.start(); }

  void advance_clock(Duration span) {
    timers.schedule_after(10'000, [] {});  // makes the timers read the clock soon
    clock.advance(span);
    run_for(io, 50);
  }

  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  FakeDiscovery agent{io};
  std::vector<DiscoveryUpdate> updates;
  DiscoveryClient client{
      io, timers, clock, agent.address(), 41, 500'000, [this](const DiscoveryUpdate& update) {
        updates.push_back(update);
      }};
};

TEST_F(DiscoveryClientTest, WatchesFromTheKnownRevisionAndReportsUpdates) {
  agent.first_update = update_json(43, false, endpoint_json("s1", "127.0.0.1:9", "draining", 1500));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(agent.requested_targets.at(0), "/catalog/members?watch=1&after=41");
  EXPECT_EQ(updates[0].revision, 43);
  EXPECT_FALSE(updates[0].complete);
  const auto& endpoint = updates[0].endpoints.at(0);
  EXPECT_EQ(endpoint.entry.state, EndpointState::kDraining);
  EXPECT_EQ(endpoint.entry.started_at, 1'500'000);
  EXPECT_EQ(endpoint.entry.cell, 1);
  EXPECT_EQ(endpoint.address.port(), 9);
}

TEST_F(DiscoveryClientTest, AcceptsAFragmentedLine) {
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() == 1; }));
  const std::string line = update_json(44, true, endpoint_json("s1", "127.0.0.1:9"));
  const std::string bytes = FakeDiscovery::chunk("\n") + FakeDiscovery::chunk(line.substr(0, 20)) +
                            FakeDiscovery::chunk(line.substr(20) + line.substr(0, 9));
  for (const char byte : bytes) agent.write_raw(std::string(1, byte));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_TRUE(updates[0].complete);
}

TEST_F(DiscoveryClientTest, ResumesABrokenWatchAtTheLastRevision) {
  agent.first_update = update_json(43, false, "");
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  agent.peers[0]->reset();
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(agent.requested_targets.at(1), "/catalog/members?watch=1&after=43");
}

TEST_F(DiscoveryClientTest, ReplacesAWatchWithoutAResponse) {
  // A watch may stay open without any data, not even a heartbeat.
  agent.silent = true;
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() == 2; }));
  agent.silent = false;
  agent.first_update = update_json(45, true, "");
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
}

TEST_F(DiscoveryClientTest, RequestsTheCompleteListAfterAMalformedMessage) {
  // The malformed message may have held an update.
  agent.first_update = "{\"revision\":\"x\"}\n";
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() >= 2; }));
  agent.first_update = update_json(50, true, endpoint_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(agent.requested_targets.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryClientTest, DetectsSilenceEarlyEnoughForANewWatch) {
  // An update that a silent watch missed must be known within 6 s after the silence began.
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() == 1; }));
  run_for(io, 20);
  advance_clock(4'500'000);
  EXPECT_EQ(agent.requested_targets.size(), 2u);
}

TEST_F(DiscoveryClientTest, DoesNotCountIncompleteLinesAsHeartbeats) {
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() == 1; }));
  run_for(io, 20);
  for (int i = 0; i < 3; ++i) {
    advance_clock(1'400'000);
    agent.write_raw(FakeDiscovery::chunk(" "));
    run_for(io, 20);
  }
  EXPECT_EQ(agent.requested_targets.size(), 1u);
  advance_clock(400'000);
  EXPECT_EQ(agent.requested_targets.size(), 2u);
}

TEST_F(DiscoveryClientTest, RetriesWithinTheDrainGraceIfTheAgentDoesNotRespond) {
  agent.silent = true;
  run_for(io, 400);
  EXPECT_GE(agent.requested_targets.size(), 2u);
}

TEST_F(DiscoveryClientTest, ReconnectsWithinTheDrainGraceAfterALongOutage) {
  agent.first_update = update_json(43, false, "");
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  const auto address = agent.address();
  agent.stop();
  run_for(io, 1600);  // longer than delays of 0.1, 0.2, 0.4 and 0.8 s, which an unbounded backoff would reach
  FakeDiscovery restarted_agent(io, address);
  run_for(io, 400);
  EXPECT_GE(restarted_agent.requested_targets.size(), 1u);
}

TEST_F(DiscoveryClientTest, GivesTheAgentTheFullTimeToRespondAfterASuspension) {
  // The connection must survive if its completion and its timeout are handled in one turn of the loop.
  timers.schedule_after(0, [] {});  // makes the timers read the clock at once
  clock.advance(3'000'000);
  run_for(io, 50);
  EXPECT_EQ(agent.peers.size(), 1u);
  EXPECT_EQ(agent.requested_targets.size(), 1u);
}

// An update that occurs while the watch is silent. The next requests fail in the given ways before one
// succeeds. The parameters are the drain grace and the raw responses to the failing requests.
class EndpointUpdateTest : public ::testing::TestWithParam<std::tuple<Duration, std::vector<std::string>>> {
 protected:
  // Advances the clock in steps until `deadline` or until an update. Returns whether there was an update.
  bool is_updated_by(TimePoint deadline) {
    timers.schedule_after(1'000, [] {});  // makes the timers read the clock soon
    clock.advance(std::max<Duration>(0, deadline - clock.now() - 1'600'000));
    run_for(io, 3);
    while (updates.empty() && clock.now() < deadline) {
      timers.schedule_after(1'000, [] {});
      clock.advance(20'000);
      run_for(io, 3);
    }
    return !updates.empty();
  }

  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  FakeDiscovery agent{io};
  FakeDiscovery new_agent{io};
  std::vector<DiscoveryUpdate> updates;
};

const std::string kNoResponse;
const std::string kHeaderOnly = FakeDiscovery::kResponseHead;
const std::string kStalledMessage =
    kHeaderOnly + FakeDiscovery::chunk(update_json(45, true, "").substr(0, 20));
const std::string kRejected = reply("503 No");
const std::string kMalformedMessage = kHeaderOnly + FakeDiscovery::chunk("{\"revision\":\"x\"}\n");

TEST_P(EndpointUpdateTest, IsReceivedWithinSixSecondsOfSilenceDespiteFailedRequests) {
  const auto& [drain_grace, failures] = GetParam();
  DiscoveryClient client(io, timers, clock, agent.address(), 41, drain_grace,
                         [this](const DiscoveryUpdate& update) { updates.push_back(update); });
  client.start();
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() == 1; }));
  run_for(io, 20);
  clock.stop();
  agent.first_update = update_json(45, true, "");
  agent.scripted_responses.assign(failures.begin(), failures.end());
  EXPECT_TRUE(is_updated_by(clock.now() + 6'000'000)) << agent.requested_targets.size() << " requests";
}

TEST_P(EndpointUpdateTest, IsReceivedInTimeFromANewAddressDespiteFailedRequests) {
  const auto& [drain_grace, failures] = GetParam();
  DiscoveryClient client(io, timers, clock, agent.address(), 41, drain_grace,
                         [this](const DiscoveryUpdate& update) { updates.push_back(update); });
  client.start();
  ASSERT_TRUE(run_until(io, [&] { return agent.requested_targets.size() == 1; }));
  run_for(io, 20);
  clock.stop();
  agent.silent = true;
  new_agent.first_update = update_json(45, true, "");
  new_agent.scripted_responses.assign(failures.begin(), failures.end());
  const TimePoint silent_since = clock.now();
  EXPECT_FALSE(is_updated_by(silent_since + 4'700'000));
  client.reconnect_to(new_agent.address());
  EXPECT_TRUE(is_updated_by(silent_since + 6'000'000)) << new_agent.requested_targets.size() << " requests";
}

INSTANTIATE_TEST_SUITE_P(
    Failures, EndpointUpdateTest,
    ::testing::Combine(
        ::testing::Values(250'000, 500'000, 8'000'000),
        ::testing::Values(std::vector<std::string>{kNoResponse, kNoResponse},
                          std::vector<std::string>{kHeaderOnly}, std::vector<std::string>{kStalledMessage},
                          std::vector<std::string>{kRejected, kRejected},
                          std::vector<std::string>{kMalformedMessage, kMalformedMessage},
                          std::vector<std::string>{kStalledMessage, kRejected, kMalformedMessage},
                          std::vector<std::string>{kNoResponse, kMalformedMessage, kStalledMessage})));

TEST_F(DiscoveryClientTest, IgnoresAnOlderRevision) {
  // An agent that lags behind the previous one must not bring a draining endpoint back into use.
  agent.first_update = update_json(43, true, endpoint_json("s1", "127.0.0.1:9", "draining"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  FakeDiscovery lagging_agent(io);
  lagging_agent.first_update = update_json(42, true, endpoint_json("s1", "127.0.0.1:9"));
  client.reconnect_to(lagging_agent.address());
  ASSERT_TRUE(run_until(io, [&] { return lagging_agent.requested_targets.size() == 1; }));
  EXPECT_EQ(lagging_agent.requested_targets[0], "/catalog/members?watch=1&after=43");
  run_for(io, 20);
  lagging_agent.send_update(update_json(41, false, endpoint_json("s2", "127.0.0.1:9")));
  lagging_agent.send_update(update_json(44, false, endpoint_json("s3", "127.0.0.1:9")));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(updates[1].revision, 44);
  EXPECT_EQ(lagging_agent.requested_targets.size(), 1u);  // the watch continues while the agent catches up
}

TEST_F(DiscoveryClientTest, AcceptsAnIndentedObject) {
  const auto text = update_json(44, true, endpoint_json("s\\\"{", "127.0.0.1:9"));
  agent.first_update = nlohmann::json::parse(text).dump(1) + "\n\n" + update_json(45, false, "");
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(updates[0].endpoints.at(0).entry.endpoint, "s\"{");
  EXPECT_EQ(agent.requested_targets.size(), 1u);
}

TEST(DiscoveryProtocolTest, RejectsMalformedLists) {
  for (const char* text :
       {"[]", "{}", R"({"revision":1,"members":[{}]})", R"({"revision":1,"members":[1]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"nowhere:1"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"127.0.0.1:99999"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"odd","host_port":"127.0.0.1:9"}]})"})
    EXPECT_ANY_THROW(parse_discovery_update(nlohmann::json::parse(text))) << text;
}

}  // namespace
}  // namespace quota_gateway::net::testing
