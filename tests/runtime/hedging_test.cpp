// Tests hedged requests through a complete gateway: what each endpoint receives, and whose response the
// client gets.
#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class HedgingTest : public ::testing::Test {
 protected:
  HedgingTest() {
    rig.config.settings.allow_hedging = true;
    rig.config.settings.classes[1].client_timeout = 4'000'000;
    for (FakeEndpoint* endpoint : {&first_endpoint, &second_endpoint})
      endpoint->on_request = [this](Peer& peer, const HttpRequest& request) { handle(peer, request); };
    rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
    rig.add_endpoint(discovered_endpoint("s2", second_endpoint));
  }
  // Endpoints respond to the usual requests at once, and leave the slow request to the test.
  void handle(Peer& peer, const HttpRequest& request) {
    if (!request["X-Trace-Id"].starts_with("slow")) return peer.write(reply("200 OK", "", "usual"));
    slow_requests.push_back(request);
    slow_peers.push_back(peer.shared_from_this());
  }
  // Starts the gateway and teaches it the usual latency.
  void start() {
    rig.start();
    client.emplace(rig.client());
    for (int i = 0; i < kUsualRequests; ++i) {
      client->send(post_request("usual" + std::to_string(i)));
      const auto response = client->receive();
      ASSERT_TRUE(response);
      ASSERT_EQ(response->result_int(), 200u);
    }
  }
  void send_slow_request(const std::string& headers, const std::string& body) {
    auto bytes = std::make_shared<std::string>(
        "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: slow" +
        std::to_string(++last_slow_request) +
        "\r\n"
        "Plan: plan-group\r\nX-Expires-In: 4000m\r\nIdempotency-Key: k\r\n" +
        headers + "Quota-Info: units=1,spread=3,first=0\r\n\r\n" + body);
    asio::async_write(client->socket, asio::buffer(*bytes), [bytes](error_code, std::size_t) {});
  }
  void send_small_slow_request() { send_slow_request("Content-Length: 5\r\n", "hello"); }
  // Returns how many connections carry the slow request, or a part of it.
  std::size_t connections_with_slow_request() const {
    std::size_t count = slow_peers.size();
    for (const FakeEndpoint* endpoint : {&first_endpoint, &second_endpoint})
      for (const auto& peer : endpoint->peers) count += peer->pending.empty() ? 0 : 1;
    return count;
  }
  static void write_all(const std::shared_ptr<Peer>& peer, std::string bytes) {
    auto buffer = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(peer->socket, asio::buffer(*buffer), [buffer, peer](error_code, std::size_t) {});
  }
  static std::string response_head(std::size_t length) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  // Has both attempts respond with a long body, the first one in two parts with the response of the second
  // one between them, which ends with a reset if `is_reset`. Expects the whole response of the first one.
  void expect_whole_response_of_first_attempt(bool is_reset) {
    start();
    send_small_slow_request();
    ASSERT_TRUE(rig.run_until([&] { return slow_peers.size() == 2; }));
    write_all(slow_peers[0], response_head(kLongBody) + std::string(kLongBody / 2, 'a'));
    run_for(rig.io, kSettleMs);
    write_all(slow_peers[1], response_head(kLongBody) + std::string(kLongBody / 2, 'b'));
    run_for(rig.io, kSettleMs);
    if (is_reset) {
      slow_peers[1]->reset();
    } else {
      write_all(slow_peers[1], std::string(kLongBody / 2, 'b'));
    }
    run_for(rig.io, kSettleMs);
    write_all(slow_peers[0], std::string(kLongBody / 2, 'a'));
    const auto response = client->receive();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->body() == std::string(kLongBody, 'a'));
    client->send(post_request("usual"));
    EXPECT_TRUE(client->receive());
  }

  static constexpr int kUsualRequests = 40;
  static constexpr int kSettleMs = 30;
  static constexpr int kSlowMs = 1500;  // many times the usual latency
  static constexpr std::size_t kLongBody = 400'000;
  static constexpr std::size_t kUnbufferedBody = 20 << 20;  // more than the socket buffers hold
  GatewayRig rig;
  FakeEndpoint first_endpoint{rig.io};
  FakeEndpoint second_endpoint{rig.io};
  int last_slow_request = 0;  // each request has an ID of its own
  std::vector<HttpRequest> slow_requests;
  std::vector<std::shared_ptr<Peer>> slow_peers;
  std::optional<Client> client;
};

TEST_F(HedgingTest, SendsWholeBufferedBodyOnBothAttempts) {
  start();
  const std::string body(50'000, 'x');
  send_slow_request("Content-Length: 50000\r\n", body);
  ASSERT_TRUE(rig.run_until([&] { return slow_requests.size() == 2; }));
  for (const HttpRequest& request : slow_requests) EXPECT_TRUE(request.body() == body);
  slow_peers[1]->write(reply("200 OK", "", "from the hedge"));
  const auto response = client->receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "from the hedge");
}

// Guards against a hedged request whose streamed body reaches the second endpoint empty or not at all.
TEST_F(HedgingTest, SendsStreamedBodyToOneEndpointOnly) {
  const std::string body(200'000, 'x');
  start();
  for (const bool is_chunked : {false, true}) {
    slow_requests.clear();
    slow_peers.clear();
    if (is_chunked) {
      send_slow_request("Transfer-Encoding: chunked\r\n", FakeDiscovery::chunk(body) + "0\r\n\r\n");
    } else {
      send_slow_request("Content-Length: 200000\r\n", body);
    }
    ASSERT_TRUE(rig.run_until([&] { return !slow_requests.empty(); }));
    run_for(rig.io, kSlowMs);
    EXPECT_EQ(connections_with_slow_request(), 1u) << "chunked: " << is_chunked;
    ASSERT_EQ(slow_requests.size(), 1u);
    EXPECT_TRUE(slow_requests[0].body() == body);
    slow_peers[0]->write(reply("200 OK", "", "served"));
    const auto response = client->receive();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200u);
  }
}

// Guards against a second attempt that begins while the body is still arriving.
TEST_F(HedgingTest, SendsBodyThatArrivesSlowlyToOneEndpointOnly) {
  start();
  send_slow_request("Content-Length: 200000\r\n", std::string(100'000, 'x'));
  ASSERT_TRUE(rig.run_until([&] { return connections_with_slow_request() > 0; }));
  run_for(rig.io, kSlowMs);
  EXPECT_EQ(connections_with_slow_request(), 1u);
  client->send(std::string(100'000, 'x'));
  ASSERT_TRUE(rig.run_until([&] { return slow_requests.size() == 1; }));
  run_for(rig.io, kSlowMs);
  EXPECT_EQ(connections_with_slow_request(), 1u);
  slow_peers[0]->write(reply("200 OK", "", "served"));
  EXPECT_TRUE(client->receive());
}

// Guards against a long response that is mixed from the responses of two attempts.
TEST_F(HedgingTest, ForwardsLongResponseOfOneAttemptOnlyWhenOtherOneIsCancelled) {
  expect_whole_response_of_first_attempt(false);
}

// Guards against a slower attempt, which may not be cancelled, that feeds or ends the response of another
// one.
TEST_F(HedgingTest, ForwardsLongResponseOfOneAttemptOnlyWhenOtherOneGoesOn) {
  rig.config.settings.allow_cancel = false;
  expect_whole_response_of_first_attempt(false);
}

// Guards against a response that is cut off because another attempt of its request fails.
TEST_F(HedgingTest, ForwardsWholeLongResponseWhenOtherAttemptIsReset) {
  rig.config.settings.allow_cancel = false;
  expect_whole_response_of_first_attempt(true);
}

// Guards against an attempt that stays stopped in mid-response because the client got another one's.
TEST_F(HedgingTest, ReadsLateLongResponseToItsEnd) {
  rig.config.settings.allow_cancel = false;
  start();
  send_small_slow_request();
  ASSERT_TRUE(rig.run_until([&] { return slow_peers.size() == 2; }));
  slow_peers[0]->write(reply("200 OK", "", "short"));
  const auto response = client->receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "short");
  bool is_sent = false;
  const std::string long_response = response_head(kUnbufferedBody) + std::string(kUnbufferedBody, 'b');
  asio::async_write(slow_peers[1]->socket, asio::buffer(long_response),
                    [&](error_code ec, std::size_t) { is_sent = !ec; });
  EXPECT_TRUE(rig.run_until([&] { return is_sent; }));
}

// Guards against a client that leaves while one attempt's response is forwarded and another attempt goes on.
TEST_F(HedgingTest, CancelsForwardedAttemptWhenClientLeaves) {
  start();
  send_small_slow_request();
  ASSERT_TRUE(rig.run_until([&] { return slow_peers.size() == 2; }));
  write_all(slow_peers[0], response_head(kLongBody) + std::string(kLongBody / 2, 'a'));
  run_for(rig.io, kSettleMs);
  client->socket.close();
  EXPECT_TRUE(rig.run_until([&] { return slow_peers[0]->closed && slow_peers[1]->closed; }));
}

}  // namespace
}  // namespace quota_gateway::net::testing
