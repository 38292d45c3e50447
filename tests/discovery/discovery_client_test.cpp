// Discovery's client, against a discovery on loopback.
#include "discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class DiscoveryTest : public ::testing::Test {
 protected:
  DiscoveryTest() { discovery.start(); }
  void move(Micros by) {
    timers.schedule_after(10'000, [] {});  // so that the timers look at the clock soon
    clock.move(by);
    wait(io, 50);
  }
  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  FakeDiscovery fake{io};
  std::vector<DiscoveryUpdate> told;
  DiscoveryClient discovery{io,
                            timers,
                            clock,
                            fake.address(),
                            41,
                            500'000,
                            [this](const DiscoveryUpdate& l) { told.push_back(l); }};
};

TEST_F(DiscoveryTest, WatchesFromWhatIsKnownAndTellsChanges) {
  fake.first = list(43, false, entry("s1", "127.0.0.1:9", "draining", 1500));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(fake.asked.at(0), "/catalog/members?watch=1&after=41");
  EXPECT_EQ(told[0].revision, 43);
  EXPECT_FALSE(told[0].complete);
  const auto& m = told[0].endpoints.at(0);
  EXPECT_EQ(m.entry.state, EndpointState::kDraining);
  EXPECT_EQ(m.entry.started_at, 1'500'000);
  EXPECT_EQ(m.entry.cell, 1);
  EXPECT_EQ(m.address.port(), 9);
}

TEST_F(DiscoveryTest, LinesMayComeInPieces) {
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const std::string line = list(44, true, entry("s1", "127.0.0.1:9"));
  const std::string bytes = FakeDiscovery::chunk("\n") + FakeDiscovery::chunk(line.substr(0, 20)) +
                            FakeDiscovery::chunk(line.substr(20) + line.substr(0, 9));
  for (const char byte : bytes) fake.raw(std::string(1, byte));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_TRUE(told[0].complete);
}

TEST_F(DiscoveryTest, ABrokenWatchGoesOnAtTheLastRevision) {
  fake.first = list(43, false, "");
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  fake.peers[0]->reset();
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(fake.asked.at(1), "/catalog/members?watch=1&after=43");
}

TEST_F(DiscoveryTest, AQuietWatchIsTakenForBroken) {
  // Guards against a watch that stays open and says nothing, not even its heartbeat.
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 2; }));
  fake.mute = false;
  fake.first = list(45, true, "");
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
}

TEST_F(DiscoveryTest, NonsenseIsNoCrashAndTheWholeListIsAskedFor) {
  // Guards against a change lost in a line that was not understood.
  fake.first = "{\"revision\":\"x\"}\n";
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() >= 2; }));
  fake.first = list(50, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryTest, SilenceIsFoundWhileThereIsTimeToWatchAnew) {
  // Guards against news that a silent watch missed: it counts as told 6 s after the silence began.
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  wait(io, 20);
  move(4'500'000);
  EXPECT_EQ(fake.asked.size(), 2u);
}

TEST_F(DiscoveryTest, BytesThatEndNoLineAreNoHeartbeat) {
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  wait(io, 20);
  for (int i = 0; i < 3; ++i) {
    move(1'400'000);
    fake.raw(FakeDiscovery::chunk(" "));
    wait(io, 20);
  }
  EXPECT_EQ(fake.asked.size(), 1u);
  move(400'000);
  EXPECT_EQ(fake.asked.size(), 2u);
}

TEST_F(DiscoveryTest, AnAgentThatTakesTheCallAndSaysNothingIsAskedAgainWithinTheGrace) {
  fake.mute = true;
  wait(io, 400);
  EXPECT_GE(fake.asked.size(), 2u);
}

TEST_F(DiscoveryTest, AnAgentThatReturnsIsAskedWithinTheGraceHoweverLongItWasAway) {
  fake.first = list(43, false, "");
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  const auto at = fake.address();
  fake.stop();
  wait(io, 1600);  // past 0.1, 0.2, 0.4 and 0.8 s of waiting, had it doubled each time
  FakeDiscovery back(io, at);
  wait(io, 400);
  EXPECT_GE(back.asked.size(), 1u);
}

TEST_F(DiscoveryTest, AnAgentIsLeftItsTimeToAnswerWhereWeStoodStill) {
  // Guards against a good call given up: the connect's news and the end of its time come in one turn.
  timers.schedule_after(0, [] {});  // so that the timers look at the clock at once
  clock.move(3'000'000);
  wait(io, 50);
  EXPECT_EQ(fake.peers.size(), 1u);
  EXPECT_EQ(fake.asked.size(), 1u);
}

// What the calls after a watch that falls silent meet, before one that is answered well.
class EndpointUpdateTest : public ::testing::TestWithParam<std::tuple<Micros, std::vector<std::string>>> {
 protected:
  // Moves the clock on in steps until it is `until`, or there is news; true if there is.
  bool told_by(Micros until) {
    timers.schedule_after(1'000, [] {});  // so that the timers look at the clock soon
    clock.move(std::max<Micros>(0, until - clock.now() - 1'600'000));
    wait(io, 3);
    while (told.empty() && clock.now() < until) {
      timers.schedule_after(1'000, [] {});
      clock.move(20'000);
      wait(io, 3);
    }
    return !told.empty();
  }
  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  FakeDiscovery fake{io}, other{io};
  std::vector<DiscoveryUpdate> told;
};
const std::string kSilent;
const std::string kHeadAlone = FakeDiscovery::kHead;
const std::string kStalled = kHeadAlone + FakeDiscovery::chunk(list(45, true, "").substr(0, 20));
const std::string kTurnedAway = reply("503 No");
const std::string kSpoilt = kHeadAlone + FakeDiscovery::chunk("{\"revision\":\"x\"}\n");

TEST_P(EndpointUpdateTest, IsKnownSixSecondsAfterTheWatchFellSilentWhateverFailsBefore) {
  const auto& [grace, failures] = GetParam();
  DiscoveryClient discovery(io, timers, clock, fake.address(), 41, grace,
                            [this](const DiscoveryUpdate& l) { told.push_back(l); });
  discovery.start();
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  wait(io, 20);
  clock.stop();
  fake.first = list(45, true, "");
  fake.instead.assign(failures.begin(), failures.end());
  EXPECT_TRUE(told_by(clock.now() + 6'000'000)) << fake.asked.size() << " calls";
}

TEST_P(EndpointUpdateTest, IsKnownInTimeOverAMoveAmidFailures) {
  const auto& [grace, failures] = GetParam();
  DiscoveryClient discovery(io, timers, clock, fake.address(), 41, grace,
                            [this](const DiscoveryUpdate& l) { told.push_back(l); });
  discovery.start();
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  wait(io, 20);
  clock.stop();
  fake.mute = true;
  other.first = list(45, true, "");
  other.instead.assign(failures.begin(), failures.end());
  const Micros silent = clock.now();
  EXPECT_FALSE(told_by(silent + 4'700'000));
  discovery.reconnect_to(other.address());
  EXPECT_TRUE(told_by(silent + 6'000'000)) << other.asked.size() << " calls";
}
INSTANTIATE_TEST_SUITE_P(
    Failures, EndpointUpdateTest,
    ::testing::Combine(::testing::Values(250'000, 500'000, 8'000'000),
                       ::testing::Values(std::vector<std::string>{kSilent, kSilent},
                                         std::vector<std::string>{kHeadAlone},
                                         std::vector<std::string>{kStalled},
                                         std::vector<std::string>{kTurnedAway, kTurnedAway},
                                         std::vector<std::string>{kSpoilt, kSpoilt},
                                         std::vector<std::string>{kStalled, kTurnedAway, kSpoilt},
                                         std::vector<std::string>{kSilent, kSpoilt, kStalled})));

TEST_F(DiscoveryTest, AnOlderRevisionAfterANewerOneChangesNothing) {
  // Guards against an agent that lags behind the one before it and brings a drained server back into use.
  fake.first = list(43, true, entry("s1", "127.0.0.1:9", "draining"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  FakeDiscovery lagging(io);
  lagging.first = list(42, true, entry("s1", "127.0.0.1:9"));
  discovery.reconnect_to(lagging.address());
  ASSERT_TRUE(until(io, [&] { return lagging.asked.size() == 1; }));
  EXPECT_EQ(lagging.asked[0], "/catalog/members?watch=1&after=43");
  wait(io, 20);
  lagging.tell(list(41, false, entry("s2", "127.0.0.1:9")));
  lagging.tell(list(44, false, entry("s3", "127.0.0.1:9")));
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(told[1].revision, 44);
  EXPECT_EQ(lagging.asked.size(), 1u);  // it is followed as it catches up
}

TEST_F(DiscoveryTest, AListMayComeIndented) {
  const auto text = list(44, true, entry("s\\\"{", "127.0.0.1:9"));
  fake.first = nlohmann::json::parse(text).dump(1) + "\n\n" + list(45, false, "");
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(told[0].endpoints.at(0).entry.endpoint, "s\"{");
  EXPECT_EQ(fake.asked.size(), 1u);
}

TEST(Members, WrongShapesThrow) {
  for (const char* text :
       {"[]", "{}", R"({"revision":1,"members":[{}]})", R"({"revision":1,"members":[1]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"nowhere:1"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"127.0.0.1:99999"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"odd","host_port":"127.0.0.1:9"}]})"})
    EXPECT_ANY_THROW(parse_discovery_update(nlohmann::json::parse(text))) << text;
}

}  // namespace
}  // namespace quota_gateway::net::testing
