// Tests that nothing of a pending request is forwarded after its client disconnects, in each state of the
// request.
#include <sys/file.h>

#include "support/loopback.hpp"
#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr int kDisconnectProcessingTime = 100;  // ms

// Parameter: whether attempts may be cancelled.
class ClientDisconnectTest : public ::testing::TestWithParam<bool> {
 protected:
  ClientDisconnectTest() {
    rig.config.settings.allow_cancel = GetParam();
    for (ClassSettings& request_class : rig.config.settings.classes)
      request_class.latency_objective =
          3'000'000;  // requests wait in the admission queue for at most a quarter of it
  }
  // Sends another request and expects that it is the only one forwarded to `endpoint`.
  void expect_only_next_request_forwarded(FakeEndpoint& endpoint) {
    Client next = rig.client();
    next.send(get_request("next"));
    ASSERT_TRUE(next.receive());
    ASSERT_EQ(endpoint.requests.size(), 1u);
    EXPECT_EQ(endpoint.requests[0]["X-Trace-Id"], "next");
  }
  static std::string upload_head(const std::string& id) {
    return "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
           "\r\nPlan: plan-group\r\nX-Expires-In: 4000m\r\nIdempotency-Key: k-" + id +
           "\r\nContent-Length: 100000\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\n";
  }
  void disconnect_during_connect(const std::string& request);
  GatewayRig rig;
  FakeEndpoint first_endpoint{rig.io};
};
INSTANTIATE_TEST_SUITE_P(AllowCancel, ClientDisconnectTest, ::testing::Bool());

TEST_P(ClientDisconnectTest, DropsRequestWaitingForEndpoint) {
  rig.discovery.first_update = "\n";
  rig.start();  // without an endpoint
  {
    Client client = rig.client();
    client.send(get_request("disconnected"));
    run_for(rig.io, 20);
  }
  run_for(rig.io, kDisconnectProcessingTime);
  rig.discovery.send_update(update_json(42, false, endpoint_json("s1", first_endpoint.address_text())));
  run_for(rig.io, 20);
  expect_only_next_request_forwarded(first_endpoint);
}

TEST_P(ClientDisconnectTest, DropsRequestWaitingForCounter) {
  FakeCounter counter(rig.io);
  counter.silent = true;
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 1'000'000;
  rig.config.counter_address = counter.address();
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  {
    Client client = rig.client();
    client.send(get_request("disconnected"));
    ASSERT_TRUE(rig.run_until([&] { return counter.commands.size() == 1; }));
  }
  run_for(rig.io, kDisconnectProcessingTime);
  EXPECT_TRUE(first_endpoint.requests.empty());
  counter.silent = false;
  counter.last_peer->write("$1\r\n1\r\n");
  expect_only_next_request_forwarded(first_endpoint);
}

void ClientDisconnectTest::disconnect_during_connect(const std::string& request) {
  // The endpoint's backlog is full until the client has disconnected, so the connection is established only
  // when the kernel retries the connect.
  tcp::acceptor full_acceptor(rig.io, {asio::ip::address_v4::loopback(), 0}, true);
  full_acceptor.listen(0);
  tcp::socket backlog_filler(rig.io);
  backlog_filler.connect(full_acceptor.local_endpoint());
  DiscoveredEndpoint endpoint = discovered_endpoint("s1", first_endpoint);
  endpoint.address = full_acceptor.local_endpoint();
  rig.add_endpoint(endpoint);
  rig.config.connect_timeout = 3'500'000;
  rig.start();
  {
    Client client = rig.client();
    client.send(request);
    run_for(rig.io, 20);
  }
  run_for(rig.io, kDisconnectProcessingTime);
  std::vector<std::shared_ptr<tcp::socket>> accepted;
  std::function<void()> accept = [&] {
    full_acceptor.async_accept([&](error_code ec, tcp::socket socket) {
      if (ec) return;
      accepted.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      accept();
    });
  };
  accept();
  run_for(rig.io, 1500);  // longer than the kernel waits before its first retry
  error_code ignored;
  for (const auto& socket : accepted) EXPECT_EQ(socket->available(ignored), 0u);
  full_acceptor.close();
}

TEST_P(ClientDisconnectTest, DropsRequestWhenConnectionIsEstablishedLate) {
  disconnect_during_connect(post_request("disconnected"));
}

TEST_P(ClientDisconnectTest, DropsRequestBetweenAttempts) {
  FakeEndpoint busy_endpoint(rig.io);
  busy_endpoint.on_request = [](Peer& connection, const HttpRequest&) {
    connection.write(reply("503 No", "X-Never-Ran: 1\r\n"));
  };
  rig.add_endpoint(discovered_endpoint("s0", busy_endpoint));
  rig.config.settings.max_attempts = 2;
  rig.start();
  Client connected_client = rig.client();
  {
    Client client = rig.client();
    client.send(get_request("disconnected"));
    ASSERT_TRUE(rig.run_until([&] { return busy_endpoint.requests.size() == 1; }));
    connected_client.send(get_request("stays"));
    ASSERT_TRUE(rig.run_until([&] { return busy_endpoint.requests.size() == 2; }));
    run_for(rig.io, 5);
  }
  run_for(rig.io, kDisconnectProcessingTime);
  rig.discovery.send_update(update_json(42, true, endpoint_json("s1", first_endpoint.address_text())));
  ASSERT_TRUE(connected_client.receive());
  EXPECT_EQ(busy_endpoint.requests.size(), 2u);
  ASSERT_EQ(first_endpoint.requests.size(), 1u);
  EXPECT_EQ(first_endpoint.requests[0]["X-Trace-Id"], "stays");
}

TEST_P(ClientDisconnectTest, DropsUploadWaitingForEndpoint) {
  // Guards against missing a disconnect because the end of a large body is unread.
  rig.start();  // without an endpoint
  {
    Client client = rig.client();
    client.send(upload_head("disconnected") + std::string(100'000, 'x'));
    run_for(rig.io, 20);
  }
  run_for(rig.io, kDisconnectProcessingTime);
  rig.discovery.send_update(update_json(42, false, endpoint_json("s1", first_endpoint.address_text())));
  run_for(rig.io, 20);
  ASSERT_TRUE(first_endpoint.peers.empty());
  expect_only_next_request_forwarded(first_endpoint);
}

TEST_P(ClientDisconnectTest, DropsUploadWhenConnectionIsEstablishedLate) {
  disconnect_during_connect(upload_head("disconnected") + std::string(100'000, 'x'));
}

TEST_P(ClientDisconnectTest, DropsRequestWhenClientDisconnectsRightAfterIt) {
  // Guards against forwarding a request although the end of its connection can be read together with it.
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  {
    Client client = rig.client();
    client.send(get_request("disconnected"));
  }
  expect_only_next_request_forwarded(first_endpoint);
}

TEST_P(ClientDisconnectTest, DropsRequestWhenDataBeyondReadAheadLimitFollows) {
  // Guards against missing a disconnect because pipelined data is unread.
  rig.start();  // without an endpoint
  {
    Client client = rig.client();
    client.send(get_request("disconnected") + std::string(200'000, 'x'));
    run_for(rig.io, 20);
  }
  run_for(rig.io, kDisconnectProcessingTime);
  rig.discovery.send_update(update_json(42, false, endpoint_json("s1", first_endpoint.address_text())));
  run_for(rig.io, 20);
  expect_only_next_request_forwarded(first_endpoint);
}

// Guards against a request that is forwarded from the read-ahead although the client has closed the
// connection behind it, with more data than the gateway had read.
TEST_P(ClientDisconnectTest, DropsRequestsReadAheadWhenMoreDataAndTheCloseAreUnread) {
  const std::string long_body(8'000'000, 'r');
  first_endpoint.on_request = [&](Peer& peer, const HttpRequest&) {
    const auto response = std::make_shared<std::string>(reply("200 OK", "", long_body));
    asio::async_write(peer.socket, asio::buffer(*response),
                      [response, self = peer.shared_from_this()](error_code, std::size_t) {});
  };
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  Client client = rig.client();
  client.send(get_request("first"));
  ASSERT_TRUE(rig.run_until([&] { return client.socket.available() > 0; }));
  std::string more;
  for (int i = 0; i < 500; ++i) more += get_request("more" + std::to_string(i));
  client.send(more);
  client.socket.shutdown(tcp::socket::shutdown_send);
  run_for(rig.io, kDisconnectProcessingTime);
  client.receive();
  run_for(rig.io, 50);
  EXPECT_EQ(first_endpoint.requests.size(), 1u);
}

TEST_P(ClientDisconnectTest, RespondsToConnectedClientThatExceedsReadAheadLimit) {
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  std::shared_ptr<Peer> pending_peer;
  first_endpoint.on_request = [&](Peer& connection, const HttpRequest&) {
    pending_peer = connection.shared_from_this();
  };
  rig.start();
  Client client = rig.client();
  client.send(get_request("stays") + std::string(200'000, 'x'));
  ASSERT_TRUE(rig.run_until([&] { return pending_peer != nullptr; }));
  run_for(rig.io, 20);
  pending_peer->write(reply("200 OK", "", "late"));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "late");
  EXPECT_FALSE(response->keep_alive());
}

// An attempt that starts in the batch in which its client disconnects must be reported as ended.
TEST_P(ClientDisconnectTest, FreesConcurrencySlotWhenAttemptStartsInSameBatch) {
  FakeCounter counter(rig.io);
  counter.silent = true;
  rig.config.settings.gateway_count = 1;
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 1'000'000;
  rig.config.settings.plans[0].max_concurrent_attempts = 1;
  rig.config.counter_address = counter.address();
  rig.add_endpoint(discovered_endpoint("s1", first_endpoint));
  rig.start();
  {
    Client client = rig.client();
    client.send(get_request("disconnected"));
    ASSERT_TRUE(rig.run_until([&] { return counter.commands.size() == 1; }));
    while (rig.io.poll() > 0) rig.io.restart();
    rig.io.restart();
    // Read in the same iteration of the event loop as the disconnect.
    counter.last_peer->write("$1\r\n1\r\n");
  }
  run_for(rig.io, 50);
  Client next = rig.client();
  next.send(get_request("next"));
  const auto response = next.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200u);  // the first request's slot under the concurrency cap is free
}

TEST(ClientDisconnectDuringHotRestartTest, DropsRequestReceivedWhileWaitingForPredecessor) {
  asio::io_context io;
  FakeEndpoint endpoint(io);
  FakeDiscovery discovery(io);
  char shared_directory[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(shared_directory), nullptr);
  const std::string owner_path = std::string(shared_directory) + "/owner.json";
  const std::string alive_path = std::string(shared_directory) + "/alive-before";
  std::ofstream(owner_path) << R"({"token":"before"})";
  const int lock_fd = ::open(alive_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  ASSERT_EQ(::flock(lock_fd, LOCK_EX | LOCK_NB), 0);  // the predecessor is alive and never hands over
  tcp::acceptor inherited_listener(io, {asio::ip::address_v4::loopback(), 0});
  {
    Client client(io, inherited_listener.local_endpoint());
    client.send(get_request("disconnected"));
  }
  Process process(configuration_json(inherited_listener.local_endpoint().port(), endpoint, discovery),
                  inherited_listener.native_handle(), shared_directory);
  ASSERT_NE(process.log_until("does not answer").find("does not answer"), std::string::npos);
  Client next(io, inherited_listener.local_endpoint());
  next.send(get_request("next"));
  ASSERT_TRUE(next.receive());
  ASSERT_EQ(endpoint.requests.size(), 1u);
  EXPECT_EQ(endpoint.requests[0]["X-Trace-Id"], "next");
  process.terminate();
  EXPECT_EQ(process.exit_code(), 0);
  ::close(lock_fd);
  for (const char* file : {"owner.json", "alive-before"})
    ::unlink((std::string(shared_directory) + "/" + file).c_str());
  ::rmdir(shared_directory);
}

}  // namespace
}  // namespace quota_gateway::net::testing
