// Reuse, eviction and limits of connections, and updates of the endpoint list.
#include "upstream/upstream_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST_F(UpstreamTest, ReusesIdleConnection) {
  create_upstream();
  for (int i = 1; i <= 5; ++i) {
    EXPECT_EQ(send_and_wait(std::uint64_t(i)).outcome, Outcome::kOk);
    clock.advance(20'000);  // until a duplicate response would have arrived
  }
  EXPECT_EQ(endpoint.peers.size(), 1u);
}

TEST_F(UpstreamTest, DoesNotMatchDuplicateResponseToNextRequest) {
  // If the connection were reused at once, a client would receive the response to another client's request.
  endpoint.on_request = [&](Peer& peer, const HttpRequest& received) {
    if (endpoint.requests.size() == 2) {
      endpoint.peers[0]->write(reply("200 OK", "", "duplicate"));
      if (&peer == endpoint.peers[0].get()) return;
    }
    peer.write(reply("200 OK", "", std::string(received["X-Trace-Id"])));
  };
  create_upstream();
  clock.stop();
  ASSERT_EQ(send_and_wait(1).body, "t1");
  request.trace_id = "t2";
  EXPECT_EQ(send_and_wait(2).body, "t2");
  EXPECT_TRUE(run_until(io, [&] { return endpoint.peers[0]->closed; }));
}

TEST_F(UpstreamTest, DoesNotReuseConnectionClosedByEndpoint) {
  // A request written to a connection whose close has not been read yet would end as a reset. As it might
  // have executed, it could not be retried at another endpoint.
  create_upstream();
  ASSERT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  endpoint.peers[0]->close();  // the event loop does not run between this and the send
  EXPECT_EQ(send_and_wait(2).outcome, Outcome::kOk);
  EXPECT_EQ(endpoint.peers.size(), 2u);
  EXPECT_EQ(endpoint.requests.size(), 2u);
}

TEST_F(UpstreamTest, ClosesIdleConnectionBeforeEndpointIdleTimeout) {
  create_upstream({.idle_timeout = 500'000, .max_connections = 10});
  ASSERT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  EXPECT_TRUE(run_until(io, [&] { return endpoint.peers[0]->closed; }));
}

TEST_F(UpstreamTest, DoesNotReuseConnectionAfterCloseHeader) {
  endpoint.on_request = [](Peer& peer, const HttpRequest&) {
    peer.write(reply("200 OK", "Connection: close\r\n", "x"));
  };
  create_upstream();
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  EXPECT_EQ(send_and_wait(2).outcome, Outcome::kOk);
  EXPECT_EQ(endpoint.peers.size(), 2u);
}

TEST_F(UpstreamTest, SendsNothingToEndpointDrainedDuringConnect) {
  // The endpoint list changes while the connect is in progress.
  create_upstream();
  send(1);
  endpoint_update.complete = false;
  endpoint_update.endpoints[0].entry.state = EndpointState::kDraining;
  upstream->update_endpoints(endpoint_update);
  ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kNotSent);
  ASSERT_TRUE(run_until(io, [&] { return endpoint.peers.empty() || endpoint.peers[0]->closed; }));
  EXPECT_TRUE(endpoint.requests.empty());
}

TEST_F(UpstreamTest, ComputesRemainingTimeHeaderAfterConnect) {
  create_upstream({.connect_timeout = 10'000'000, .max_connections = 10});
  send(1);  // with 10 s until the deadline
  clock.advance(6'000'000);
  ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
  const std::string time_left(endpoint.requests.at(0)["X-Expires-In"]);
  EXPECT_LE(std::stoll(time_left), 4'000'000);
  EXPECT_GT(std::stoll(time_left), 3'000'000);
}

TEST_F(UpstreamTest, SendsNothingWhenDeadlinePassesDuringConnect) {
  create_upstream({.connect_timeout = 20'000'000, .max_connections = 10});
  send(1);
  clock.advance(10'000'001);
  ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kNotSent);
  EXPECT_TRUE(endpoint.requests.empty());
}

TEST_F(UpstreamTest, SendsNothingToEndpointMovedDuringConnect) {
  FakeEndpoint other_endpoint(io);
  create_upstream();
  send(1);
  endpoint_update.complete = false;
  endpoint_update.endpoints[0].address = other_endpoint.address();
  upstream->update_endpoints(endpoint_update);
  ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kNotSent);
  EXPECT_TRUE(endpoint.requests.empty());
}

TEST_F(UpstreamTest, SendsNothingToRemovedOrUnknownEndpoint) {
  create_upstream();
  endpoint_update.endpoints[0].entry.state = EndpointState::kRemoved;
  upstream->update_endpoints(endpoint_update);
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kNotSent);
  upstream->send({2, 0}, "unknown", request, clock.now() + 1'000'000);
  ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results[1].second.outcome, Outcome::kNotSent);
}

TEST_F(UpstreamTest, OpensNewConnectionToRestartedOrMovedEndpoint) {
  // Connections to a machine that is gone stay open without ever answering.
  FakeEndpoint moved_endpoint(io);
  create_upstream();
  ASSERT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  endpoint_update.endpoints[0].entry.started_at = clock.now();
  upstream->update_endpoints(endpoint_update);
  ASSERT_EQ(send_and_wait(2).outcome, Outcome::kOk);
  EXPECT_EQ(endpoint.peers.size(), 2u);
  endpoint_update.endpoints[0].address = moved_endpoint.address();
  upstream->update_endpoints(endpoint_update);
  ASSERT_EQ(send_and_wait(3).outcome, Outcome::kOk);
  EXPECT_EQ(moved_endpoint.requests.size(), 1u);
}

TEST_F(UpstreamTest, ForgetsRemovedEndpointAndClosesItsConnections) {
  // Otherwise memory use would grow with each deployment.
  create_upstream();
  ASSERT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  endpoint_update.complete = false;
  endpoint_update.endpoints[0].entry.state = EndpointState::kRemoved;
  upstream->update_endpoints(endpoint_update);
  EXPECT_FALSE(upstream->is_known("s"));
  EXPECT_TRUE(run_until(io, [&] { return endpoint.peers[0]->closed; }));
  endpoint_update.complete = true;
  endpoint_update.endpoints = {discovered_endpoint("a", endpoint), discovered_endpoint("b", endpoint)};
  upstream->update_endpoints(endpoint_update);
  endpoint_update.endpoints = {discovered_endpoint("b", endpoint)};
  upstream->update_endpoints(endpoint_update);
  EXPECT_FALSE(upstream->is_known("a"));
  EXPECT_TRUE(upstream->is_known("b"));
}

TEST_F(UpstreamTest, LimitsNumberOfConnections) {
  endpoint.on_request = [](Peer&, const HttpRequest&) {};
  create_upstream({.max_connections = 2});
  send(1);
  send(2);
  EXPECT_EQ(send_and_wait(3).outcome, Outcome::kNotSent);
}

}  // namespace
}  // namespace quota_gateway::net::testing
