// A complete gateway in one event loop with its clients, endpoints, counter and discovery.
#include "runtime/coordinator.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class CoordinatorTest : public ::testing::Test {
 protected:
  int status(Client& client) {
    const auto answer = client.receive();
    return answer ? int(answer->result_int()) : 0;
  }
  Rig rig;
  FakeEndpoint s1{rig.io};
  FakeEndpoint s2{rig.io};
  FakeEndpoint s3{rig.io};
  FakeEndpoint s4{rig.io};
};

TEST_F(CoordinatorTest, ForwardsRequestsUnchangedAndReusesTheConnection) {
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  Client client = rig.client();
  for (int i = 0; i < 3; ++i) {
    client.send(post_request("t" + std::to_string(i)));
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200u);
    EXPECT_EQ(answer->body(), "/intro-request/00000000b4d65521?x=1");
    run_for(rig.io, 25);  // a server's connection is used again only once no second answer is due
  }
  EXPECT_EQ(s1.requests[2]["X-Trace-Id"], "t2");
  EXPECT_EQ(s1.requests[2].body(), "hello");
  EXPECT_EQ(s1.peers.size(), 1u);
}

TEST_F(CoordinatorTest, AnswersHealthChecks) {
  rig.start();
  Client client = rig.client();
  client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(status(client), 200);
}

TEST_F(CoordinatorTest, RejectsMalformedOrOversizedInputAndClosesTheConnection) {
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
  for (const auto& [input, want] : inputs) {
    Client client = rig.client();
    client.send(input);
    EXPECT_EQ(status(client), want) << input.substr(0, 200);
    EXPECT_TRUE(client.closed_by_peer()) << input.substr(0, 200);
  }
}

TEST_F(CoordinatorTest, ClosesConnectionsWithoutACompleteRequestAndKeepsIdleClients) {
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  Client known = rig.client();
  Client silent = rig.client();
  Client partial = rig.client();
  known.send(get_request("a"));
  EXPECT_EQ(status(known), 200);
  partial.send(get_request("b").substr(0, 40));
  EXPECT_TRUE(silent.closed_by_peer());  // fails after 20 s
  EXPECT_TRUE(partial.closed_by_peer());
  known.send(get_request("c"));
  EXPECT_EQ(status(known), 200);
}

TEST_F(CoordinatorTest, ReadsFragmentedAndPipelinedRequests) {
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  Client client = rig.client();
  for (const char byte : post_request("a")) client.send(std::string(1, byte));
  EXPECT_EQ(status(client), 200);
  client.send(get_request("b") + get_request("c"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(status(client), 200);
}

TEST_F(CoordinatorTest, AnswersBeforeTheDeadlineOfTheClient) {
  // The endpoint does not respond: the client gets one response before its timeout.
  s1.on_request = [](Peer&, const HttpRequest&) {};
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a", "400m"));
  EXPECT_EQ(status(client), 504);  // may have been executed, so it is not a rejection
  ASSERT_TRUE(rig.run_until([&] { return s1.peers.at(0)->closed; }));
  client.send(get_request(
      "b", "X-Second-Try: 1\r\n"));  // idempotent; the latency objective is as long as the timeout
  EXPECT_EQ(status(client), 503);
  EXPECT_EQ(s1.requests.size(), 2u);
}

TEST_F(CoordinatorTest, ARetryByIdempotencyKeyStaysInItsCell) {
  // A request that may have been executed is retried only on endpoints that share its idempotency key.
  std::vector<std::string> cells;
  const auto serve = [&cells](const std::string& cell) {
    return [&cells, cell](Peer& peer, const HttpRequest&) {
      cells.push_back(cell);
      if (cells.size() % 2 == 1) return peer.reset();
      peer.write(reply("200 OK", "", "x"));
    };
  };
  s1.on_request = serve("one");
  s2.on_request = serve("one");
  s3.on_request = serve("two");
  s4.on_request = serve("two");
  rig.add_endpoint(discovered_endpoint("s1", s1, 1));
  rig.add_endpoint(discovered_endpoint("s2", s2, 1));
  rig.add_endpoint(discovered_endpoint("s3", s3, 2));
  rig.add_endpoint(discovered_endpoint("s4", s4, 2));
  rig.start();
  Client client = rig.client();
  for (int i = 0; i < 4; ++i) {
    client.send(post_request("t" + std::to_string(i)));
    EXPECT_EQ(status(client), 200);
    ASSERT_EQ(cells.size(), std::size_t(2 * i + 2));
    EXPECT_EQ(cells[cells.size() - 1], cells[cells.size() - 2]);
  }
}

TEST_F(CoordinatorTest, ARequestByIdempotencyKeyFailsWhenItsCellHasNoOtherEndpoint) {
  int seen = 0;
  s1.on_request = s2.on_request = [&](Peer& peer, const HttpRequest&) {
    ++seen;
    peer.reset();
  };
  rig.add_endpoint(discovered_endpoint("s1", s1, 1));
  rig.add_endpoint(discovered_endpoint("s2", s2, 2));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a"));
  EXPECT_EQ(status(client), 502);
  EXPECT_EQ(seen, 1);
}

TEST_F(CoordinatorTest, RetriesAnAttemptThatWasNotExecutedOnAnotherEndpoint) {
  int attempts = 0;
  const auto busy = [&](Peer& peer, const HttpRequest&) {
    if (++attempts == 1) return peer.write(reply("503 Full", "X-Never-Ran: 1\r\n"));
    peer.write(reply("200 OK", "", "x"));
  };
  s1.on_request = busy;
  s2.on_request = busy;
  rig.add_endpoint(discovered_endpoint("s1", s1, 1));
  rig.add_endpoint(discovered_endpoint("s2", s2, 2));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(attempts, 2);
}

TEST_F(CoordinatorTest, ADisconnectedClientEndsItsAttempt) {
  s1.on_request = [](Peer&, const HttpRequest&) {};
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  {
    Client client = rig.client();
    client.send(get_request("a"));
    ASSERT_TRUE(rig.run_until([&] { return s1.requests.size() == 1; }));
  }
  EXPECT_TRUE(rig.run_until([&] { return s1.peers.at(0)->closed; }));
  s1.on_request = [](Peer& peer, const HttpRequest&) { peer.write(reply("200 OK", "", "x")); };
  Client other = rig.client();
  other.send(get_request("b"));
  EXPECT_EQ(status(other), 200);
}

TEST_F(CoordinatorTest, RejectsBeyondTheQuotaAtOnceWithRetryAfter) {
  // A rejection carries Retry-After even where the settings do not ask for it.
  rig.config.settings.allow_retry_after = false;
  rig.config.settings.plans[0].rate = 1;
  rig.config.settings.plans[0].burst = 3;
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  Client client = rig.client();
  int rejected = 0;
  for (int i = 0; i < 10 && rejected == 0; ++i) {
    client.send(get_request("t" + std::to_string(i)));
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    if (answer->result_int() == 200) continue;
    EXPECT_EQ(answer->result_int(), 429u);
    EXPECT_GT(std::stod(std::string((*answer)["Retry-After"])), 0);
    rejected = i + 1;
  }
  EXPECT_GT(rejected, 1);
}

TEST_F(CoordinatorTest, ChargesUnitsBilledWithTheResponseToTheQuota) {
  rig.config.settings.endpoints_bill_units = true;
  rig.config.settings.plans[0].rate = 1e-6;
  rig.config.settings.plans[0].burst = 30;  // ten of them at this one of three gateways
  rig.add_endpoint(discovered_endpoint("s1", s1));
  s1.on_request = [](Peer& peer, const HttpRequest& request) {
    peer.write(
        reply("200 OK", request["X-Trace-Id"] == "odd" ? "Billed-Units: many\r\n" : "Billed-Units: 4.5\r\n"));
  };
  rig.start();
  Client client = rig.client();
  for (const auto& [id, want] : {std::pair{"odd", 200}, {"a", 200}, {"b", 200}, {"c", 429}}) {
    client.send(get_request(id));  // estimated as one unit
    EXPECT_EQ(status(client), want) << id;
  }
}

TEST_F(CoordinatorTest, QueriesTheCounterAndAdmitsRequestsWhenItDoesNotAnswer) {
  FakeCounter counter(rig.io);
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 30'000;
  rig.config.counter_address = counter.address();
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  Client client = rig.client();
  client.send(get_request("a"));
  EXPECT_EQ(status(client), 200);
  ASSERT_TRUE(rig.run_until([&] { return !counter.calls.empty(); }));
  counter.silent = true;
  client.send(get_request("b"));
  EXPECT_EQ(status(client), 200);
  counter.stop();
  client.send(get_request("c"));
  EXPECT_EQ(status(client), 200);
}

TEST_F(CoordinatorTest, FollowsDiscoveryUpdates) {
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  ASSERT_TRUE(rig.run_until([&] { return rig.discovery.requested_targets.size() == 1; }));
  rig.discovery.send_update(update_json(
      42, false,
      endpoint_json("s1", s1.address_text(), "draining") + "," + endpoint_json("s2", s2.address_text())));
  Client client = rig.client();
  // Until the update is applied; from then on the draining endpoint gets no request.
  for (int i = 0; s2.requests.empty() && i < 1000; ++i) {
    client.send(get_request("t" + std::to_string(i)));
    EXPECT_EQ(status(client), 200);
  }
  const auto before = s1.requests.size();
  for (int i = 0; i < 10; ++i) {
    client.send(get_request("u" + std::to_string(i)));
    EXPECT_EQ(status(client), 200);
  }
  EXPECT_EQ(s1.requests.size(), before);
}

TEST_F(CoordinatorTest, DrainFinishesPendingRequestsAndAcceptsNewOnes) {
  std::shared_ptr<Peer> pending;
  s1.on_request = [&](Peer& peer, const HttpRequest&) {
    if (!pending) {
      pending = peer.shared_from_this();
    } else {
      peer.write(reply("200 OK", "", "x"));
    }
  };
  s2.on_request = s1.on_request;
  rig.config.settings.gateway_count = 1;
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.add_endpoint(discovered_endpoint("s2", s2));
  Coordinator& coordinator = rig.start();
  Client idle = rig.client();
  Client busy = rig.client();
  idle.send("GET /profile-read/nobody HTTP/1.1\r\n\r\n");
  EXPECT_EQ(status(idle), 400);
  busy.send(get_request("a"));
  ASSERT_TRUE(rig.run_until([&] { return pending != nullptr; }));
  bool done = false;
  coordinator.drain([&] { done = true; });
  Client late = rig.client();
  late.send(get_request("b"));
  const auto answer = late.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200u);
  EXPECT_FALSE(answer->keep_alive());
  EXPECT_FALSE(done);
  pending->write(reply("200 OK", "", "pending"));
  EXPECT_EQ(status(busy), 200);
  EXPECT_TRUE(busy.closed_by_peer());
  EXPECT_TRUE(rig.run_until([&] { return done; }));
}

TEST_F(CoordinatorTest, DrainWaitsForTheSlowRequestOfAConnectedClient) {
  rig.add_endpoint(discovered_endpoint("s1", s1));
  Coordinator& coordinator = rig.start();
  Client slow = rig.client();
  bool done = false;
  bool later = false;
  ASSERT_TRUE(rig.run_until([&] { return s1.peers.empty(); }));
  coordinator.drain([&] { done = true; });
  asio::steady_timer timer(rig.io, std::chrono::milliseconds(1200));  // new clients are accepted for 1 s
  timer.async_wait([&](error_code) { later = true; });
  ASSERT_TRUE(rig.run_until([&] { return later; }));
  EXPECT_FALSE(done);
  slow.send(get_request("a"));
  EXPECT_EQ(status(slow), 200);
  EXPECT_TRUE(rig.run_until([&] { return done; }));
}

TEST_F(CoordinatorTest, DrainAnswersPendingRequestsBeforeTheEarliestKillThoughTheEndpointHangs) {
  // SIGKILL may come the longest deadline (3 s at most) + 0.7 s after SIGTERM, to a process descheduled for
  // 0.15 s.
  s1.on_request = [](Peer&, const HttpRequest&) {};
  rig.config.settings.allow_cancel = false;
  rig.add_endpoint(discovered_endpoint("s1", s1));
  Coordinator& coordinator = rig.start();
  Client before = rig.client();
  Client after = rig.client();
  Client late = rig.client();
  before.send(post_request("before"));
  ASSERT_TRUE(rig.run_until([&] { return s1.requests.size() == 1; }));
  const auto began = std::chrono::steady_clock::now();
  coordinator.drain([] {});
  after.send(post_request("after"));
  run_for(rig.io, 1'900);
  late.send(post_request("late"));
  for (Client* c : {&before, &after, &late}) {
    EXPECT_GE(status(*c), 429);
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3'700 - 150));
  }
}

TEST_F(CoordinatorTest, DrainClosesIdleConnections) {
  rig.add_endpoint(discovered_endpoint("s1", s1));
  Coordinator& coordinator = rig.start();
  Client client = rig.client();
  client.send(get_request("a"));
  ASSERT_EQ(status(client), 200);
  coordinator.drain([] {});
  EXPECT_TRUE(client.closed_by_peer());
}

TEST_F(CoordinatorTest, EvictsIdleClientsForNewOnes) {
  rig.config.max_sockets = 64;  // 32 clients
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.start();
  std::deque<Client> clients;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back(rig.io, rig.coordinator->address());
    clients.back().send(get_request("t" + std::to_string(i)));
    EXPECT_EQ(status(clients.back()), 200) << i;
  }
  EXPECT_TRUE(clients.front().closed_by_peer());
}

}  // namespace
}  // namespace quota_gateway::net::testing
