// The second address of a whole gateway: its calls, its bounds, and the figures.
#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <fstream>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class AdminTest : public ::testing::Test {
 protected:
  AdminTest() {
    rig.config.admin_address = {asio::ip::address_v4::loopback(), 0};
    rig.know(member("s1", s1));
  }
  Client caller() { return {rig.io, rig.coordinator->admin_address()}; }
  http::response<http::string_body> call(const std::string& method, const std::string& target) {
    Client c = caller();
    c.send(method + " " + target + " HTTP/1.1\r\nHost: n0\r\n\r\n");
    auto answer = c.receive();
    EXPECT_TRUE(answer && !answer->keep_alive());
    return answer.value_or(http::response<http::string_body>{});
  }
  nlohmann::json figures() { return nlohmann::json::parse(call("GET", "/-/metrics").body()); }
  Rig rig;
  FakeServer s1{rig.io};
};

TEST_F(AdminTest, SaysReadyUntilItDrains) {
  Coordinator& coordinator = rig.start();
  EXPECT_EQ(call("GET", "/-/ready").result_int(), 200u);
  coordinator.drain([] {});
  EXPECT_EQ(call("GET", "/-/ready").result_int(), 503u);
}

TEST_F(AdminTest, WhatIsNoCallIsToldSo) {
  rig.start();
  EXPECT_EQ(call("GET", "/").result_int(), 404u);
  EXPECT_EQ(call("GET", "/-/metricsx").result_int(), 404u);
  EXPECT_EQ(call("POST", "/-/booking-servers/s1/stop").result_int(), 404u);
  EXPECT_EQ(call("POST", "/-/booking-servers//disable").result_int(), 404u);
  EXPECT_EQ(call("POST", "/-/ready").result_int(), 405u);
  EXPECT_EQ(call("GET", "/-/booking-servers/s1/disable")[http::field::allow], "POST");
  Client c = caller();
  c.send("nonsense\r\n\r\n");
  const auto answer = c.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 400u);
}

TEST_F(AdminTest, CallersThatHoldTheirConnectionsKeepNobodyOut) {
  rig.start();
  std::deque<Client> stalled;
  for (int i = 0; i < 50; ++i) {
    stalled.emplace_back(rig.io, rig.coordinator->admin_address());
    stalled.back().send("GET /-/rea");
  }
  EXPECT_EQ(call("GET", "/-/ready").result_int(), 200u);
  EXPECT_TRUE(stalled.front().ended());  // the oldest made room
  EXPECT_TRUE(stalled.back().ended());   // in time
}

TEST_F(AdminTest, FiguresCountEachAnswerAndEachAttemptOnce) {
  std::shared_ptr<Peer> held;
  s1.on_request = [&](Peer& p, const Request_& r) {
    if (r["X-Trace-Id"] == "held") {
      held = p.shared_from_this();
    } else {
      p.write(reply(r.method() == http::verb::post ? "500 Oops" : "200 OK"));
    }
  };
  rig.start();
  Client c = rig.client(), waiting = rig.client();
  for (const std::string& request : {get("a"), get("b"), post("c")}) {
    c.send(request);
    ASSERT_TRUE(c.receive());
  }
  waiting.send(get("held"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  const auto told = figures();
  EXPECT_EQ(told["passed"]["profile-read"], 2);
  EXPECT_EQ(told["passed"]["intro-request"], 0);
  EXPECT_EQ(told["dropped"]["intro-request"].get<int>() + told["bad_gateway"]["intro-request"].get<int>(), 1);
  EXPECT_EQ(told["upstream_tries"], s1.requests.size());
  EXPECT_EQ(told["in_progress"], 1);
  EXPECT_EQ(told["known_booking_servers"], 1);
  EXPECT_EQ(told["skipped_booking_servers"], 0);
  held->write(reply("200 OK"));
  ASSERT_TRUE(waiting.receive());
  EXPECT_EQ(figures()["in_progress"], 0);
}

TEST_F(AdminTest, AServerTakenOutByHandGetsNothingUntilItIsGivenBackWhateverTheListSays) {
  FakeServer s2(rig.io);
  rig.know(member("s2", s2));
  rig.start();
  EXPECT_EQ(call("POST", "/-/booking-servers/nobody/disable").result_int(), 404u);
  EXPECT_EQ(call("POST", "/-/booking-servers/s1/disable").result_int(), 200u);
  EXPECT_EQ(call("POST", "/-/booking-servers/s1/disable").result_int(), 200u);
  EXPECT_EQ(figures()["skipped_booking_servers"], 1);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.peers.size() == 1 && !rig.discovery.asked.empty(); }));
  rig.discovery.tell(
      list(42, true,
           entry("s1", s1.text(), "up", 5) + "," + entry("s2", s2.text()) + "," + entry("s3", s2.text())));
  ASSERT_TRUE(rig.until([&] { return figures()["known_booking_servers"] == 3; }));
  Client c = rig.client();
  const auto serve = [&](const std::string& id) {
    c.send(get(id));
    ASSERT_TRUE(c.receive());
  };
  for (int i = 0; i < 30; ++i) serve("a" + std::to_string(i));
  EXPECT_TRUE(s1.requests.empty());
  EXPECT_EQ(call("POST", "/-/booking-servers/s1/enable").result_int(), 200u);
  EXPECT_EQ(figures()["skipped_booking_servers"], 0);
  EXPECT_EQ(call("POST", "/-/booking-servers/s2/disable").result_int(), 200u);
  EXPECT_EQ(call("POST", "/-/booking-servers/s3/disable").result_int(), 200u);
  serve("b");
  EXPECT_EQ(s1.requests.size(), 1u);
}

TEST_F(AdminTest, ServersTakenOutByHandOutliveTheProcessAndBindTheOtherOneAndATornFileChangesNothing) {
  char name[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(name), nullptr);
  const std::string file = std::string(name) + "/disabled.json";
  rig.config.shared_directory = name;
  rig.start();
  EXPECT_EQ(call("POST", "/-/booking-servers/s1/disable").result_int(), 200u);
  rig.coordinator.reset();
  rig.start();
  EXPECT_EQ(figures()["skipped_booking_servers"], 1);
  std::vector<std::pair<std::string, bool>> told;
  Clock clock;
  Timers timers(rig.io, clock);
  DisabledEndpoints other(timers, name, [&](const std::string& id, bool out) { told.emplace_back(id, out); });
  other.start();
  ASSERT_EQ(told.size(), 1u);
  std::ofstream(file) << "[\"s1";
  EXPECT_EQ(figures()["skipped_booking_servers"], 1);
  other.set("s1", false, [](bool kept) { EXPECT_TRUE(kept); });
  ASSERT_TRUE(rig.until([&] { return figures()["skipped_booking_servers"] == 0; }));
  ::unlink(file.c_str());
  ::rmdir(name);
}

}  // namespace
}  // namespace quota_gateway::net::testing
