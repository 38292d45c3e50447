// What a gateway does while its memory is short.
#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class OverloadTest : public ::testing::Test {
 protected:
  OverloadTest() {
    rig.add_endpoint(discovered_endpoint("s1", endpoint));
    rig.memory_in_use = [this] { return std::size_t(used_share * double(rig.config.memory_mb << 20)); };
    rig.config.settings.allow_cancel = false;
    endpoint.on_request = [this](Peer& peer, const HttpRequest&) { pending = peer.shared_from_this(); };
    rig.start();
  }
  // Connects a client and sends a request that stays in progress until `pending` answers it.
  Client client_with_request_in_progress() {
    Client client = rig.client();
    client.send(get_request("in-progress"));
    EXPECT_TRUE(rig.run_until([&] { return pending != nullptr; }));
    return client;
  }
  GatewayRig rig;
  FakeEndpoint endpoint{rig.io};
  std::shared_ptr<Peer> pending;
  double used_share = 0;
};

TEST_F(OverloadTest, RejectsNewRequestsAndCompletesThoseInProgress) {
  Client busy = client_with_request_in_progress();
  Client late = rig.client();
  run_for(rig.io, 10);
  used_share = 0.36;
  late.send(get_request("late"));
  const auto rejection = late.receive();
  ASSERT_TRUE(rejection);
  EXPECT_EQ(rejection->result_int(), 503u);
  pending->write(reply("200 OK", "", "whole"));
  const auto response = busy.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "whole");
  EXPECT_EQ(endpoint.requests.size(), 1u);
}

TEST_F(OverloadTest, RejectsLongBodyBeforeItIsSentToAnEndpoint) {
  Client client = rig.client();
  run_for(rig.io, 10);
  used_share = 0.36;
  client.send(
      "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: a\r\n"
      "Plan: plan-group\r\nIdempotency-Key: k\r\nContent-Length: 900000\r\n\r\nbegin");
  const auto rejection = client.receive();
  ASSERT_TRUE(rejection);
  EXPECT_EQ(rejection->result_int(), 503u);
  EXPECT_TRUE(endpoint.peers.empty());
}

TEST_F(OverloadTest, LeavesNewConnectionsInBacklogUntilMemoryIsFree) {
  used_share = 0.33;
  run_for(rig.io, 250);            // until the next check
  Client admitted = rig.client();  // the accept that was pending already
  run_for(rig.io, 30);
  Client waiting = rig.client();
  waiting.send(get_request("a"));
  run_for(rig.io, 100);
  EXPECT_EQ(pending, nullptr);
  used_share = 0;
  EXPECT_TRUE(rig.run_until([&] { return pending != nullptr; }));
}

TEST_F(OverloadTest, ClosesUnfinishedRequestsAndCompletesThoseInProgress) {
  Client busy = client_with_request_in_progress();
  Client unfinished = rig.client();
  unfinished.send("GET /profile-read/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: unfinished\r\n");
  run_for(rig.io, 10);
  used_share = 0.40;
  EXPECT_TRUE(unfinished.closed_by_peer());
  pending->write(reply("200 OK", "", "whole"));
  const auto response = busy.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "whole");
}

TEST_F(OverloadTest, ResetsRequestsInProgressOnlyAsTheLastStep) {
  Client busy = client_with_request_in_progress();
  used_share = 0.47;
  run_for(rig.io, 300);
  EXPECT_EQ(busy.socket.available(), 0u);
  used_share = 0.50;
  EXPECT_TRUE(busy.closed_by_peer());
}

}  // namespace
}  // namespace quota_gateway::net::testing
