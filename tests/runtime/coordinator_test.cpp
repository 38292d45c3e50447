// Tests a complete gateway that shares an event loop with its clients and with fake endpoints, counter and
// discovery.
#include "runtime/coordinator.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class CoordinatorTest : public ::testing::Test {
 protected:
  // Returns the status of the next response, or 0 if the connection ends first.
  int receive_status(Client& client) {
    const auto response = client.receive();
    return response ? int(response->result_int()) : 0;
  }
  GatewayRig rig;
  FakeEndpoint first_endpoint{rig.io};
  FakeEndpoint second_endpoint{rig.io};
  FakeEndpoint third_endpoint{rig.io};
  FakeEndpoint fourth_endpoint{rig.io};
};

TEST_F(CoordinatorTest, ForwardsRequestsUnchangedAndReusesConnection) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client client = rig.client();
  for (int i = 0; i < 3; ++i) {
    client.send(post_request("t" + std::to_string(i)));
    const auto response = client.receive();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200u);
    EXPECT_EQ(response->body(), "/intro-request/00000000b4d65521?x=1");
    run_for(rig.io, 25);  // a connection is reused only once no second response is expected on it
  }
  EXPECT_EQ(first_endpoint.requests[2]["X-Trace-Id"], "t2");
  EXPECT_EQ(first_endpoint.requests[2].body(), "hello");
  EXPECT_EQ(first_endpoint.peers.size(), 1u);
}

TEST_F(CoordinatorTest, RespondsToHealthChecks) {
  rig.start();
  Client client = rig.client();
  client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(receive_status(client), 200);
}

TEST_F(CoordinatorTest, RejectsInvalidOrOversizedRequestsAndClosesConnection) {
  rig.start();
  const std::string head = "GET /profile-read/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\n";
  const std::map<std::string, int> inputs = {
      {"nonsense\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\n\r\n", 400},
      {"GET /profile-read/short HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n", 400},
      {"GET /unknown/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n", 400},
      {"GET /intro-request/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n", 400},
      {"POST /intro-request/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: 0\r\n\r\n", 400},
      {"GET /profile-read/00000000b4d65521 HTTP/1.1\r\n\r\n", 400},
      {head + "X-Expires-In: soon\r\n\r\n", 400},
      {head + "X-Expires-In: -5m\r\n\r\n", 400},
      {head + "X-Expires-In: nanm\r\n\r\n", 400},
      {head + "Quota-Info: units=many\r\n\r\n", 400},
      {head + "Quota-Info: units=0,spread=2,first=0\r\n\r\n", 400},
      {head + "Quota-Info: units=1e12,spread=2,first=0\r\n\r\n", 400},
      {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
      {head + "X: " + std::string(40'000, 'x') + "\r\n\r\n", 413},
      {"POST /intro-request/00000000b4d65521 HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 400},
      {"POST /intro-request/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\nIdempotency-Key: k\r\n"
       "Content-Length: 70000000\r\n\r\n",
       413}};
  for (const auto& [input, expected_status] : inputs) {
    Client client = rig.client();
    client.send(input);
    EXPECT_EQ(receive_status(client), expected_status) << input.substr(0, 200);
    EXPECT_TRUE(client.closed_by_peer()) << input.substr(0, 200);
  }
}

TEST_F(CoordinatorTest, ClosesConnectionsWithoutCompleteRequestButKeepsIdleClients) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client established = rig.client();
  Client silent = rig.client();
  Client partial = rig.client();
  established.send(get_request("a"));
  EXPECT_EQ(receive_status(established), 200);
  partial.send(get_request("b").substr(0, 40));
  EXPECT_TRUE(silent.closed_by_peer());  // fails if it stays open for 20 s
  EXPECT_TRUE(partial.closed_by_peer());
  established.send(get_request("c"));
  EXPECT_EQ(receive_status(established), 200);
}

TEST_F(CoordinatorTest, ReadsFragmentedAndPipelinedRequests) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client client = rig.client();
  for (const char byte : post_request("a")) client.send(std::string(1, byte));
  EXPECT_EQ(receive_status(client), 200);
  client.send(get_request("b") + get_request("c"));
  EXPECT_EQ(receive_status(client), 200);
  EXPECT_EQ(receive_status(client), 200);
}

TEST_F(CoordinatorTest, RespondsBeforeClientTimeoutWhenEndpointHangs) {
  first_endpoint.on_request = [](Peer&, const HttpRequest&) {};
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a", "400m"));
  EXPECT_EQ(receive_status(client), 504);  // not a rejection, as the request may have been executed
  ASSERT_TRUE(rig.run_until([&] { return first_endpoint.peers.at(0)->closed; }));
  // Idempotent, so it is rejected although it may have been executed. Its deadline is the latency objective.
  client.send(get_request("b", "X-Second-Try: 1\r\n"));
  EXPECT_EQ(receive_status(client), 503);
  EXPECT_EQ(first_endpoint.requests.size(), 2u);
}

TEST_F(CoordinatorTest, RetriesByIdempotencyKeyWithinTheSameCell) {
  // A request that may have been executed is retried only on endpoints that share its idempotency key.
  std::vector<std::string> cells;
  const auto serve = [&cells](const std::string& cell) {
    return [&cells, cell](Peer& peer, const HttpRequest&) {
      cells.push_back(cell);
      if (cells.size() % 2 == 1) return peer.reset();
      peer.write(reply("200 OK", "", "x"));
    };
  };
  first_endpoint.on_request = serve("one");
  second_endpoint.on_request = serve("one");
  third_endpoint.on_request = serve("two");
  fourth_endpoint.on_request = serve("two");
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint, 1));
  rig.add_endpoint(discovered_endpoint("s2", second_endpoint, 1));
  rig.add_endpoint(discovered_endpoint("s3", third_endpoint, 2));
  rig.add_endpoint(discovered_endpoint("s4", fourth_endpoint, 2));
  rig.start();
  Client client = rig.client();
  for (int i = 0; i < 4; ++i) {
    client.send(post_request("t" + std::to_string(i)));
    EXPECT_EQ(receive_status(client), 200);
    ASSERT_EQ(cells.size(), std::size_t(2 * i + 2));
    EXPECT_EQ(cells[cells.size() - 1], cells[cells.size() - 2]);
  }
}

TEST_F(CoordinatorTest, FailsRequestWithIdempotencyKeyWhenItsCellHasNoOtherEndpoint) {
  int attempts = 0;
  first_endpoint.on_request = second_endpoint.on_request = [&](Peer& peer, const HttpRequest&) {
    ++attempts;
    peer.reset();
  };
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint, 1));
  rig.add_endpoint(discovered_endpoint("s2", second_endpoint, 2));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a"));
  EXPECT_EQ(receive_status(client), 502);
  EXPECT_EQ(attempts, 1);
}

TEST_F(CoordinatorTest, RetriesUnexecutedAttemptOnAnotherEndpoint) {
  int attempts = 0;
  const auto busy = [&](Peer& peer, const HttpRequest&) {
    if (++attempts == 1) return peer.write(reply("503 Full", "X-Never-Ran: 1\r\n"));
    peer.write(reply("200 OK", "", "x"));
  };
  first_endpoint.on_request = busy;
  second_endpoint.on_request = busy;
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint, 1));
  rig.add_endpoint(discovered_endpoint("s2", second_endpoint, 2));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a"));
  EXPECT_EQ(receive_status(client), 200);
  EXPECT_EQ(attempts, 2);
}

TEST_F(CoordinatorTest, CancelsAttemptWhenClientDisconnects) {
  first_endpoint.on_request = [](Peer&, const HttpRequest&) {};
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  {
    Client client = rig.client();
    client.send(get_request("a"));
    ASSERT_TRUE(rig.run_until([&] { return first_endpoint.requests.size() == 1; }));
  }
  EXPECT_TRUE(rig.run_until([&] { return first_endpoint.peers.at(0)->closed; }));
  first_endpoint.on_request = [](Peer& peer, const HttpRequest&) { peer.write(reply("200 OK", "", "x")); };
  Client other = rig.client();
  other.send(get_request("b"));
  EXPECT_EQ(receive_status(other), 200);
}

TEST_F(CoordinatorTest, RejectsRequestsBeyondQuotaWithRetryAfter) {
  // A rejection has a Retry-After header even if the settings do not allow it.
  rig.config.settings.allow_retry_after = false;
  rig.config.settings.plans[0].rate = 1;
  rig.config.settings.plans[0].burst = 3;
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client client = rig.client();
  int requests_until_rejection = 0;
  for (int i = 0; i < 10 && requests_until_rejection == 0; ++i) {
    client.send(get_request("t" + std::to_string(i)));
    const auto response = client.receive();
    ASSERT_TRUE(response);
    if (response->result_int() == 200) continue;
    EXPECT_EQ(response->result_int(), 429u);
    EXPECT_GT(std::stod(std::string((*response)["Retry-After"])), 0);
    requests_until_rejection = i + 1;
  }
  EXPECT_GT(requests_until_rejection, 1);
}

TEST_F(CoordinatorTest, ChargesBilledUnitsToQuota) {
  rig.config.settings.endpoints_bill_units = true;
  rig.config.settings.plans[0].rate = 1e-6;
  rig.config.settings.plans[0].burst = 30;  // over three gateways; the slice of this one is 10
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  first_endpoint.on_request = [](Peer& peer, const HttpRequest& request) {
    peer.write(
        reply("200 OK", request["X-Trace-Id"] == "odd" ? "Billed-Units: many\r\n" : "Billed-Units: 4.5\r\n"));
  };
  rig.start();
  Client client = rig.client();
  for (const auto& [id, expected_status] : {std::pair{"odd", 200}, {"a", 200}, {"b", 200}, {"c", 429}}) {
    client.send(get_request(id));  // estimated as one unit
    EXPECT_EQ(receive_status(client), expected_status) << id;
  }
}

TEST_F(CoordinatorTest, IncrementsCounterAndAdmitsRequestsWhenItDoesNotReply) {
  FakeCounter counter(rig.io);
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 30'000;
  rig.config.counter_address = counter.address();
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client client = rig.client();
  client.send(get_request("a"));
  EXPECT_EQ(receive_status(client), 200);
  ASSERT_TRUE(rig.run_until([&] { return !counter.commands.empty(); }));
  counter.silent = true;
  client.send(get_request("b"));
  EXPECT_EQ(receive_status(client), 200);
  counter.stop();
  client.send(get_request("c"));
  EXPECT_EQ(receive_status(client), 200);
}

TEST_F(CoordinatorTest, AppliesDiscoveryUpdates) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  ASSERT_TRUE(rig.run_until([&] { return rig.discovery.requested_targets.size() == 1; }));
  rig.discovery.send_update(update_json(42, false,
                                        endpoint_json("s1", first_endpoint.address_text(), "draining") + "," +
                                            endpoint_json("s2", second_endpoint.address_text())));
  Client client = rig.client();
  // Sends requests until the update is applied; from then on the draining endpoint gets none.
  for (int i = 0; second_endpoint.requests.empty() && i < 1000; ++i) {
    client.send(get_request("t" + std::to_string(i)));
    EXPECT_EQ(receive_status(client), 200);
  }
  const auto requests_before = first_endpoint.requests.size();
  for (int i = 0; i < 10; ++i) {
    client.send(get_request("u" + std::to_string(i)));
    EXPECT_EQ(receive_status(client), 200);
  }
  EXPECT_EQ(first_endpoint.requests.size(), requests_before);
}

TEST_F(CoordinatorTest, DrainCompletesPendingRequestsAndAcceptsNewOnes) {
  std::shared_ptr<Peer> pending;
  first_endpoint.on_request = [&](Peer& peer, const HttpRequest&) {
    if (!pending) {
      pending = peer.shared_from_this();
    } else {
      peer.write(reply("200 OK", "", "x"));
    }
  };
  second_endpoint.on_request = first_endpoint.on_request;
  rig.config.settings.gateway_count = 1;
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.add_endpoint(discovered_endpoint("s2", second_endpoint));
  Coordinator& coordinator = rig.start();
  Client idle = rig.client();
  Client busy = rig.client();
  idle.send("GET /profile-read/nobody HTTP/1.1\r\n\r\n");
  EXPECT_EQ(receive_status(idle), 400);
  busy.send(get_request("a"));
  ASSERT_TRUE(rig.run_until([&] { return pending != nullptr; }));
  bool drained = false;
  coordinator.drain([&] { drained = true; });
  Client late = rig.client();
  late.send(get_request("b"));
  const auto response = late.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200u);
  EXPECT_FALSE(response->keep_alive());
  EXPECT_FALSE(drained);
  pending->write(reply("200 OK", "", "pending"));
  EXPECT_EQ(receive_status(busy), 200);
  EXPECT_TRUE(busy.closed_by_peer());
  EXPECT_TRUE(rig.run_until([&] { return drained; }));
}

TEST_F(CoordinatorTest, DrainWaitsForFirstRequestOfConnectedClient) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  Coordinator& coordinator = rig.start();
  Client slow = rig.client();
  bool drained = false;
  bool accept_period_elapsed = false;
  ASSERT_TRUE(rig.run_until([&] { return first_endpoint.peers.empty(); }));
  coordinator.drain([&] { drained = true; });
  asio::steady_timer timer(rig.io, std::chrono::milliseconds(1200));  // new clients are accepted for 1 s
  timer.async_wait([&](error_code) { accept_period_elapsed = true; });
  ASSERT_TRUE(rig.run_until([&] { return accept_period_elapsed; }));
  EXPECT_FALSE(drained);
  slow.send(get_request("a"));
  EXPECT_EQ(receive_status(slow), 200);
  EXPECT_TRUE(rig.run_until([&] { return drained; }));
}

TEST_F(CoordinatorTest, DrainRespondsBeforeEarliestKillWhenEndpointHangs) {
  // SIGKILL may follow SIGTERM after the longest client timeout (3 s at most) plus 0.7 s, and the process may
  // be descheduled for 0.15 s of that time.
  first_endpoint.on_request = [](Peer&, const HttpRequest&) {};
  rig.config.settings.allow_cancel = false;
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  Coordinator& coordinator = rig.start();
  Client before_drain = rig.client();
  Client during_drain = rig.client();
  Client late = rig.client();
  before_drain.send(post_request("before"));
  ASSERT_TRUE(rig.run_until([&] { return first_endpoint.requests.size() == 1; }));
  const auto drain_started_at = std::chrono::steady_clock::now();
  coordinator.drain([] {});
  during_drain.send(post_request("after"));
  run_for(rig.io, 1'900);
  late.send(post_request("late"));
  for (Client* client : {&before_drain, &during_drain, &late}) {
    EXPECT_GE(receive_status(*client), 429);
    EXPECT_LT(std::chrono::steady_clock::now() - drain_started_at, std::chrono::milliseconds(3'700 - 150));
  }
}

TEST_F(CoordinatorTest, DrainClosesIdleConnections) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  Coordinator& coordinator = rig.start();
  Client client = rig.client();
  client.send(get_request("a"));
  ASSERT_EQ(receive_status(client), 200);
  coordinator.drain([] {});
  EXPECT_TRUE(client.closed_by_peer());
}

TEST_F(CoordinatorTest, EvictsIdleClientsToAcceptNewOnes) {
  rig.config.max_sockets = 64;  // 32 clients
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  std::deque<Client> clients;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back(rig.io, rig.coordinator->address());
    clients.back().send(get_request("t" + std::to_string(i)));
    EXPECT_EQ(receive_status(clients.back()), 200) << i;
  }
  EXPECT_TRUE(clients.front().closed_by_peer());
}

}  // namespace
}  // namespace quota_gateway::net::testing
