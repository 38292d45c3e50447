// Tests of streamed request and response bodies through a complete gateway, and of many connections without
// requests.
#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class BodyTest : public ::testing::Test {
 protected:
  BodyTest() {
    rig.add_endpoint(discovered_endpoint("s1", s1));
    // The endpoints here answer within a millisecond, so a slow attempt would be cancelled after ten.
    rig.config.settings.allow_cancel = false;
  }
  static std::string text(std::size_t size) {
    std::string out(size, 'x');
    for (std::size_t i = 0; i < size; i += 97) out[i] = char('a' + i % 26);
    return out;
  }
  static std::string upload(const std::string& id, const std::string& headers) {
    return "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
           "\r\nPlan: plan-group\r\nX-Expires-In: 4000m\r\nIdempotency-Key: k-" + id + "\r\n" + headers +
           "Quota-Info: units=1,spread=3,first=0\r\n\r\n";
  }
  static std::string length(std::size_t size) { return "Content-Length: " + std::to_string(size) + "\r\n"; }
  int status(Client& client) {
    const auto response = client.receive();
    return response ? int(response->result_int()) : 0;
  }
  // Both ends run in this event loop, so neither may block on the other.
  void send_all(Client& client, const std::string& bytes) {
    auto buffer = std::make_shared<std::string>(bytes);
    asio::async_write(client.socket, asio::buffer(*buffer), [buffer](error_code, std::size_t) {});
  }
  static void write_all(Peer& connection, const std::string& bytes) {
    auto buffer = std::make_shared<std::string>(bytes);
    asio::async_write(connection.socket, asio::buffer(*buffer),
                      [buffer, self = connection.shared_from_this()](error_code, std::size_t) {});
  }
  Rig rig;
  FakeEndpoint s1{rig.io};
};

TEST_F(BodyTest, LargeResponseIsForwardedUnchangedWithLengthAndInChunks) {
  const std::string body = text(900'000);
  s1.on_request = [&](Peer& connection, const HttpRequest& r) {
    if (r["X-Trace-Id"] == "chunked")
      write_all(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                FakeDiscovery::chunk(body.substr(0, 300'000)) +
                                FakeDiscovery::chunk(body.substr(300'000)) + "0\r\nX-Trailer: t\r\n\r\n");
    else
      write_all(connection, reply("200 OK", "", body));
  };
  rig.start();
  Client client = rig.client();
  for (const std::string id : {"sized", "chunked", "again"}) {
    client.send(get_request(id));
    const auto response = client.receive();
    ASSERT_TRUE(response) << id;
    EXPECT_EQ(response->result_int(), 200u);
    EXPECT_TRUE(response->body() == body) << id;
    EXPECT_EQ(response->chunked(), id == "chunked");
    run_for(rig.io, 25);  // a connection is reused only once no second response can follow
  }
  EXPECT_EQ(s1.requests.size(), 3u);
  EXPECT_EQ(s1.peers.size(), 1u);
}

TEST_F(BodyTest, TruncatedLargeResponseIsAbortedAndNotRetried) {
  FakeEndpoint s2(rig.io);
  s1.on_request = s2.on_request = [&](Peer& connection, const HttpRequest&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + text(100'000));
    connection.close();
  };
  rig.add_endpoint(discovered_endpoint("s2", s2));
  rig.start();
  Client client = rig.client();
  client.send(get_request("a"));
  EXPECT_FALSE(client.receive());
  EXPECT_EQ(s1.requests.size() + s2.requests.size(), 1u);
}

TEST_F(BodyTest, ResponseWithoutLengthEndsForTheClientAsTheEndpointEndedIt) {
  // An HTTP/1.0 client takes an orderly close for the end of such a response, so a truncated one must be
  // reset.
  const std::string body = text(100'000);
  std::shared_ptr<Peer> peer;
  s1.on_request = [&](Peer& connection, const HttpRequest&) {
    peer = connection.shared_from_this();
    write_all(connection, "HTTP/1.1 200 OK\r\n\r\n" + body);
  };
  rig.start();
  for (const std::string version : {"1.1", "1.0"})
    for (const bool orderly : {true, false}) {
      SCOPED_TRACE(version + (orderly ? " closed" : " reset"));
      Client client = rig.client();
      std::string request = get_request("a");
      request.replace(request.find("HTTP/1.1") + 5, 3, version);
      client.send(request);
      ASSERT_TRUE(rig.run_until([&] { return client.socket.available() > body.size(); }));
      orderly ? peer->close() : peer->reset();
      const auto response = client.receive();
      ASSERT_EQ(response.has_value(), orderly);
      if (orderly) {
        EXPECT_TRUE(response->body() == body);
      }
    }
}

// Parameters: the client's HTTP version and the header with the length of the response.
class SilentResponseTest : public BodyTest,
                           public ::testing::WithParamInterface<std::tuple<const char*, const char*>> {};

TEST_P(SilentResponseTest, IsAbortedWithinHalfASecondOfTheClientTimeout) {
  // Guards against a client that waits ten seconds past its timeout, however the response is framed.
  const auto [version, length] = GetParam();
  const std::string body = text(100'000);
  std::shared_ptr<Peer> peer;
  s1.on_request = [&, length = length](Peer& connection, const HttpRequest&) {
    peer = connection.shared_from_this();
    write_all(connection, std::string("HTTP/1.1 200 OK\r\n") + length + "\r\n" + body);
  };
  rig.start();
  rig.clock.stop();
  Client client = rig.client();
  std::string request = get_request("a");  // with a timeout of 4 s
  request.replace(request.find("HTTP/1.1") + 5, 3, version);
  client.send(request);
  ASSERT_TRUE(rig.run_until([&] { return client.socket.available() > body.size(); }));
  run_for(rig.io, 1);
  rig.clock.advance(3'900'000);
  run_for(rig.io, 250);  // lets the timers run
  EXPECT_FALSE(peer->closed);
  rig.clock.advance(590'000);
  EXPECT_FALSE(client.receive());
  EXPECT_TRUE(rig.run_until([&] { return peer->closed; }));
}
INSTANTIATE_TEST_SUITE_P(Answers, SilentResponseTest,
                         ::testing::Combine(::testing::Values("1.1", "1.0"),
                                            ::testing::Values("Content-Length: 900000\r\n", "")));

TEST_F(BodyTest, ResponseInProgressIsNotAbortedAfterTheClientTimeout) {
  const std::string body = text(100'000);
  std::shared_ptr<Peer> peer;
  s1.on_request = [&](Peer& connection, const HttpRequest&) {
    peer = connection.shared_from_this();
    write_all(connection, "HTTP/1.1 200 OK\r\nContent-Length: 100030\r\n\r\n" + body);
  };
  rig.start();
  rig.clock.stop();
  Client client = rig.client();
  client.send(get_request("a"));
  ASSERT_TRUE(rig.run_until([&] { return client.socket.available() > body.size(); }));
  for (int i = 0; i < 30; ++i) {
    rig.clock.advance(300'000);  // 9 s in all; the client timeout is 4 s
    const auto had = client.socket.available();
    peer->write("x");
    ASSERT_TRUE(rig.run_until([&] { return client.socket.available() > had || peer->closed; }));
    ASSERT_FALSE(peer->closed) << i;
  }
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_TRUE(response->body() == body + std::string(30, 'x'));
}

TEST_F(BodyTest, ClientThatDisconnectsDuringAResponseEndsItsAttempt) {
  s1.on_request = [&](Peer& connection, const HttpRequest&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + text(100'000));
  };
  rig.start();
  {
    Client client = rig.client();
    client.send(get_request("a"));
    std::array<char, 1000> some;
    bool got = false;
    client.socket.async_read_some(asio::buffer(some), [&](error_code ec, std::size_t) { got = !ec; });
    ASSERT_TRUE(rig.run_until([&] { return got; }));
  }
  EXPECT_TRUE(rig.run_until([&] { return s1.peers.at(0)->closed; }));
}

TEST_F(BodyTest, LargeRequestIsForwardedUnchangedWithLengthAndInChunksWithTrailers) {
  const std::string body = text(900'000);
  rig.start();
  Client client = rig.client();
  send_all(client, upload("sized", length(body.size())) + body);
  EXPECT_EQ(status(client), 200);
  send_all(client, upload("chunked", "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n") +
                       FakeDiscovery::chunk(body.substr(0, 700'000)) +
                       FakeDiscovery::chunk(body.substr(700'000)) + "0\r\nX-T: t\r\n\r\n" +
                       get_request("pipelined"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(status(client), 200);
  ASSERT_EQ(s1.requests.size(), 3u);
  EXPECT_TRUE(s1.requests[0].body() == body);
  EXPECT_TRUE(s1.requests[1].body() == body);
  EXPECT_EQ(s1.requests[1]["Idempotency-Key"], "k-chunked");
  EXPECT_EQ(s1.requests[2]["X-Trace-Id"], "pipelined");
}

TEST_F(BodyTest, SmallChunkedRequestIsBufferedAndForwardedWithLength) {
  rig.start();
  Client client = rig.client();
  client.send(upload("a", "Transfer-Encoding: chunked\r\n") + FakeDiscovery::chunk("hello") + "0\r\n\r\n");
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(s1.requests[0].body(), "hello");
  EXPECT_FALSE(s1.requests[0].chunked());
}

TEST_F(BodyTest, ClientThatExpectsContinueReceivesIt) {
  rig.start();
  for (const std::size_t size : {std::size_t(5), std::size_t(200'000)}) {
    Client client = rig.client();
    client.send(upload("a" + std::to_string(size), "Expect: 100-continue\r\n" + length(size)));
    EXPECT_EQ(status(client), 100) << size;
    send_all(client, text(size));
    EXPECT_EQ(status(client), 200) << size;
    EXPECT_EQ(s1.requests.back().body().size(), size);
  }
}

TEST_F(BodyTest, LargeRequestOverQuotaIsRejectedBeforeItsBodyArrives) {
  rig.config.settings.plans[0].rate = rig.config.settings.plans[0].burst = 1;
  rig.config.settings.gateway_count = 1;
  rig.start();
  Client client = rig.client();
  Client other = rig.client();
  other.send(get_request("a"));
  EXPECT_EQ(status(other), 200);
  client.send(upload("b", "Expect: 100-continue\r\n" + length(200'000)));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 429u);
  EXPECT_FALSE(response->keep_alive());
}

TEST_F(BodyTest, LargeRequestIsNotRetriedAfterItsEndpointDisconnects) {
  FakeEndpoint s2(rig.io);
  rig.add_endpoint(discovered_endpoint("s2", s2));
  rig.start();
  Client client = rig.client();
  client.send(upload("a", length(900'000)) + text(100'000));
  ASSERT_TRUE(rig.run_until([&] {
    return (s1.peers.size() == 1 && !s1.peers[0]->pending.empty()) ||
           (s2.peers.size() == 1 && !s2.peers[0]->pending.empty());
  }));
  for (FakeEndpoint* endpoint : {&s1, &s2})
    for (const auto& connection : endpoint->peers) connection->reset();
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_GE(response->result_int(), 500u);
  EXPECT_EQ(s1.peers.size() + s2.peers.size(), 1u);
}

// An endpoint that reads a large body late or never, and a client that has sent all of it at once.
class UnreadBodyTest : public BodyTest {
 protected:
  UnreadBodyTest() { rig.config.connect_timeout = 60'000'000; }
  void start_with(const tcp::acceptor& server) {
    DiscoveredEndpoint endpoint = discovered_endpoint("s2", s1);
    endpoint.address = server.local_endpoint();
    rig.config.initial_endpoints.endpoints = {endpoint};
    rig.start();
    rig.clock.stop();
    client.emplace(rig.client());
    asio::async_write(client->socket, asio::buffer(request), [&](error_code ec, std::size_t) { sent = !ec; });
    ASSERT_TRUE(rig.run_until([&] { return sent; }));
    advance(20'000);
  }
  void advance(Duration duration) {
    rig.clock.advance(duration);
    run_for(rig.io, 60);  // lets the timers run
  }
  // The client timeout is 4 s from the last byte of the request.
  void expect_timeout_response(Duration elapsed) {
    advance(3'900'000 - elapsed);
    EXPECT_EQ(client->socket.available(), 0u);
    advance(90'000);
    EXPECT_EQ(status(*client), 504);
  }
  tcp::acceptor server{rig.io, {asio::ip::address_v4::loopback(), 0}, true};
  const std::string request = upload("a", length(300'000)) + text(300'000);
  bool sent = false;
  std::optional<Client> client;
};

TEST_F(UnreadBodyTest, TimesOutFromItsLastByteIfTheEndpointHangs) {
  start_with(server);
  expect_timeout_response(20'000);
}

TEST_F(UnreadBodyTest, TimesOutFromItsLastByteIfNoConnectionIsEstablished) {
  server.listen(0);
  tcp::socket filler(rig.io);
  filler.connect(server.local_endpoint());
  start_with(server);
  expect_timeout_response(20'000);
}

TEST_F(UnreadBodyTest, TimesOutFromItsLastByteIfItIsReadLateAndNotAnswered) {
  std::shared_ptr<Peer> peer;
  std::size_t got = 0;
  tcp::socket accepted(rig.io);
  server.async_accept(accepted, [](error_code) {});
  start_with(server);
  advance(3'000'000);
  peer = std::make_shared<Peer>(std::move(accepted), [&](Peer&, std::string& in) {
    got += in.size();
    in.clear();
  });
  peer->read();
  ASSERT_TRUE(rig.run_until([&] { return got > 300'000; }));
  expect_timeout_response(3'020'000);
}

TEST_F(UnreadBodyTest, IsServedIfTheEndpointReadsLongerThanTheClientTimeoutFromTheLastByte) {
  const std::string large = upload("a", length(16 << 20)) + text(16 << 20);
  tcp::socket accepted(rig.io);
  server.async_accept(accepted, [](error_code) {});
  DiscoveredEndpoint endpoint = discovered_endpoint("s2", s1);
  endpoint.address = server.local_endpoint();
  rig.config.initial_endpoints.endpoints = {endpoint};
  rig.start();
  rig.clock.stop();
  client.emplace(rig.client());
  send_all(*client, large);
  ASSERT_TRUE(rig.run_until([&] { return accepted.is_open(); }));
  std::vector<char> part(2 << 20);
  for (int i = 0; i < 8; ++i) {  // 6.4 s in all; the client timeout is 4 s
    advance(800'000);
    bool got = false;
    asio::async_read(accepted, asio::buffer(part), [&](error_code ec, std::size_t) { got = !ec; });
    ASSERT_TRUE(rig.run_until([&] { return got; })) << i;
  }
  std::size_t rest = 0;
  const auto peer = std::make_shared<Peer>(
      std::move(accepted), [&](Peer&, std::string& in) { rest += std::exchange(in, {}).size(); });
  peer->read();
  run_for(rig.io, 60);
  peer->write(reply("200 OK", "", "late"));
  EXPECT_EQ(status(*client), 200);
}

TEST_F(UnreadBodyTest, IsAwaitedWhileMoreIsUnsentThanTheClientKernelCanBuffer) {
  rig.config.initial_endpoints.endpoints = {};
  DiscoveredEndpoint endpoint = discovered_endpoint("s2", s1);
  endpoint.address = server.local_endpoint();
  rig.config.initial_endpoints.endpoints = {endpoint};
  rig.start();
  rig.clock.stop();
  Client slow = rig.client();
  slow.send(upload("slow", length(30'000'000)) + text(70'000));
  run_for(rig.io, 20);
  for (int i = 0; i < 5; ++i) advance(1'500'000);
  EXPECT_EQ(slow.socket.available(), 0u);
  slow.socket.close();
}

TEST_F(BodyTest, DataOfAnInvalidClientIsNotReadIndefinitely) {
  rig.start();
  Client client = rig.client();
  std::optional<error_code> sent;
  const std::string all = "POST /nowhere HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + text(40'000'000);
  asio::async_write(client.socket, asio::buffer(all), [&](error_code ec, std::size_t) { sent = ec; });
  ASSERT_TRUE(rig.run_until([&] { return sent.has_value(); }));
  EXPECT_TRUE(*sent);  // the connection ended before all data was sent
}

TEST_F(BodyTest, IdleClientsAtTheDescriptorLimitBlockNothingDuringADiscoveryOutage) {
  // Guards against a discovery, counter or endpoint that is unreachable because no descriptor is left.
  FakeCounter counter(rig.io);
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 1'000'000;
  rig.config.counter_address = counter.address();
  rig.config.max_sockets = 64;
  rig.start();
  ASSERT_TRUE(rig.run_until([&] { return rig.discovery.requested_targets.size() == 1; }));
  const auto at = rig.discovery.address();
  rig.discovery.stop();
  std::deque<Client> idle;
  for (int i = 0; i < 200; ++i) idle.emplace_back(rig.io, rig.coordinator->address());
  EXPECT_TRUE(idle.front().closed_by_peer());  // the descriptors for clients are used up
  Client client = rig.client();
  client.send(get_request("a"));
  EXPECT_EQ(status(client), 200);
  EXPECT_FALSE(counter.calls.empty());
  FakeEndpoint s2(rig.io);
  FakeDiscovery back(rig.io, at);
  back.first_update = update_json(42, true, endpoint_json("s2", s2.address_text()));
  ASSERT_TRUE(rig.run_until([&] { return back.requested_targets.size() == 1; }));
  run_for(rig.io, 20);
  client.send(get_request("b"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(s2.requests.size(), 1u);
}

TEST_F(BodyTest, ConnectionsWithoutRequestsDoNotKeepNewClientsOut) {
  rig.config.max_sockets = 64;
  rig.start();
  Client slow = rig.client();
  slow.send(get_request("slow").substr(0, 60));
  std::deque<Client> silent_clients;
  for (int i = 0; i < 60; ++i) {
    silent_clients.emplace_back(rig.io, rig.coordinator->address());
    if (i % 10 != 9) continue;
    Client client = rig.client();
    client.send(get_request("t" + std::to_string(i)));
    EXPECT_EQ(status(client), 200) << i;
  }
  EXPECT_TRUE(silent_clients.front().closed_by_peer());
  slow.send(get_request("slow").substr(60));  // it has begun a request and so was not evicted
  EXPECT_EQ(status(slow), 200);
}

}  // namespace
}  // namespace quota_gateway::net::testing
