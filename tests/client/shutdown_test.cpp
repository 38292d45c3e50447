// Tests of what must still be completed in a drain, at exit, after a signal during startup and after a
// failure in the middle of a batch.
#include <sys/ioctl.h>
#include <sys/stat.h>

#include <iostream>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

// The client listener alone; each request is answered at once.
class ClientListenerTest : public ::testing::Test {
 protected:
  ClientListenerTest() {
    ClassSettings read;
    read.name = "profile-read";
    read.idempotency = Idempotency::kIdempotent;
    settings.classes = {read};
    listener.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  }
  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  Settings settings;
  std::string body = "x";  // of each response
  int request_count = 0;
  BodyBudget budget{1 << 20};
  ClientListener::Callbacks callbacks(ClientListener& target) {
    return {.on_request =
                [this, &target](std::uint64_t client, ClientRequest) {
                  ++request_count;
                  asio::post(io, [this, &target, client] { target.respond(client, {200, 0, body}); });
                  return std::uint64_t(1);
                },
            .on_body_complete = [](std::uint64_t, TimePoint) {},
            .on_body_lagging = [](std::uint64_t, TimePoint) {},
            .on_client_disconnected = [](std::uint64_t) {},
            .on_writable = [](std::uint64_t) {},
            .on_listening = [] {}};
  }
  ClientListener listener{io, timers, clock, settings, 100, budget, callbacks(listener)};
};

TEST_F(ClientListenerTest, IdleClientWithAnUnreadRequestReceivesAResponse) {
  Client client(io, listener.address());
  client.send(get_request("a"));
  ASSERT_TRUE(client.receive());
  EXPECT_TRUE(listener.is_idle());
  client.send(get_request("b"));  // the event loop does not run before the next check
  EXPECT_FALSE(listener.is_idle());
  listener.drain();
  EXPECT_FALSE(listener.is_idle());
  EXPECT_TRUE(client.receive());
}

TEST_F(ClientListenerTest, RequestsInTheBacklogAreAnsweredAfterAcceptingStops) {
  std::deque<Client> clients;
  for (int i = 0; i < 5; ++i) {
    clients.emplace_back(io, listener.address());
    clients.back().send(get_request("a"));
  }
  listener.drain();
  listener.stop_accepting();  // none has been accepted by the listener
  for (Client& client : clients) EXPECT_TRUE(client.receive());
}

TEST_F(ClientListenerTest, DataDuringAnOrderlyCloseIsNotProcessedAndDoesNotDestroyTheResponse) {
  // Guards against a close that crosses arriving data: it resets the connection and destroys unread
  // responses.
  body.assign(400'000, 'x');
  Client client(io, listener.address());
  client.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return request_count == 1 && client.socket.available() > 0; }));
  run_for(io, 20);  // the kernel has all of it, and the client a part
  listener.drain();
  client.send(get_request("b"));  // it has not noticed the close yet
  run_for(io, 20);
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_TRUE(response->body() == body);
  std::optional<error_code> ended;
  char byte;
  client.socket.async_read_some(asio::buffer(&byte, 1), [&](error_code ec, std::size_t) { ended = ec; });
  ASSERT_TRUE(run_until(io, [&] { return ended.has_value(); }));
  EXPECT_EQ(*ended, asio::error::eof);
  EXPECT_EQ(request_count, 1);
}

TEST_F(ClientListenerTest, LastResponseToASlowReaderIsNotDestroyedByFurtherRequests) {
  body.assign(400'000, 'x');
  listener.drain();
  Client client(io, listener.address());
  client.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return request_count == 1 && client.socket.available() > 0; }));
  run_for(io, 20);
  clock.advance(3'000'000);
  run_for(io, 250);  // longer than the interval of the stall checks
  client.send(get_request("b"));
  run_for(io, 20);
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_TRUE(response->body() == body);
  EXPECT_EQ(request_count, 1);
}

TEST_F(ClientListenerTest, ClientWithAnUnacknowledgedResponseIsNotEvicted) {
  ClientListener small{io, timers, clock, settings, 2, budget, callbacks(small)};
  small.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  Client first(io, small.address());
  Client second(io, small.address());
  body.assign(400'000, 'x');
  first.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return first.socket.available() > 0; }));
  run_for(io, 20);
  body = "x";
  second.send(get_request("a"));
  ASSERT_TRUE(second.receive());
  Client third(io, small.address());
  third.send(get_request("c"));  // the one that is idle for longest would be evicted first
  EXPECT_TRUE(third.receive());
  first.send(get_request("b"));
  run_for(io, 20);
  const auto response = first.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body().size(), 400'000u);
  EXPECT_TRUE(second.closed_by_peer());
}

TEST_F(ClientListenerTest, ClosingConnectionsDoNotDelayNewClients) {
  // Guards against requests that wait in the backlog while invalid clients do not close their connections.
  ClientListener small{io, timers, clock, settings, 2, budget, callbacks(small)};
  small.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  clock.stop();
  std::deque<Client> invalid_clients;
  for (int i = 0; i < 3; ++i) {
    invalid_clients.emplace_back(io, small.address());
    invalid_clients.back().send("nonsense\r\n\r\n");
    ASSERT_TRUE(invalid_clients.back().receive());
  }
  Client client(io, small.address());
  client.send(get_request("a"));
  for (int i = 0; i < 25 && request_count == 0; ++i) {  // half of the linger timeout of one second
    timers.schedule_after(1'000, [] {});
    clock.advance(20'000);
    run_for(io, 10);
  }
  EXPECT_EQ(request_count, 1);
}

TEST_F(ClientListenerTest, ClientWithAnUnreadRequestIsNotEvicted) {
  ClientListener small{io, timers, clock, settings, 2, budget, callbacks(small)};
  small.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  Client first(io, small.address());
  Client second(io, small.address());
  for (Client* client : {&first, &second}) {
    client->send(get_request("a"));
    ASSERT_TRUE(client->receive());
  }
  Client third(io, small.address());  // it is in the backlog, and its request is read when it is accepted
  first.send(get_request("b"));       // the one that is idle for longest would be evicted first
  EXPECT_TRUE(first.receive());
  third.send(get_request("c"));
  EXPECT_TRUE(third.receive());
  EXPECT_TRUE(second.closed_by_peer());
}

TEST(ShutdownTest, TerminationRightAfterAReloadFinishesPendingRequests) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery before(io);
  FakeDiscovery after(io);
  std::shared_ptr<Peer> pending_peer;
  server.on_request = [&](Peer& connection, const HttpRequest&) {
    pending_peer = connection.shared_from_this();
  };
  const auto port = free_port(io);
  Process process(configuration_json(port, server, before));
  ASSERT_NE(process.log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return pending_peer != nullptr; }));
  process.reconfigure(configuration_json(port, server, after));
  process.terminate();
  ASSERT_NE(process.log_until("draining").find("draining"), std::string::npos);
  pending_peer->write(reply("200 OK", "", "late"));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "late");
  EXPECT_TRUE(client.closed_by_peer());
  EXPECT_EQ(process.exit_code(), 0);
}

TEST(ShutdownTest, ClientOfAKilledProcessDoesNotTakeATruncatedResponseAsComplete) {
  // An HTTP/1.0 client takes an orderly close for the end of a response without a length.
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery discovery(io);
  server.on_request = [](Peer& connection, const HttpRequest&) {
    const auto all = std::make_shared<std::string>("HTTP/1.1 200 OK\r\n\r\n" + std::string(100'000, 'x'));
    asio::async_write(connection.socket, asio::buffer(*all),
                      [all, self = connection.shared_from_this()](error_code, std::size_t) {});
  };
  const auto port = free_port(io);
  Process process(configuration_json(port, server, discovery));
  ASSERT_NE(process.log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  std::string request = get_request("a");
  request.replace(request.find("HTTP/1.1") + 5, 3, "1.0");
  client.send(request);
  ASSERT_TRUE(run_until(io, [&] { return client.socket.available() > 100'000; }));
  process.kill();
  EXPECT_FALSE(client.receive());
}

TEST(ShutdownTest, DrainWaitsUntilTheClientHasReceivedItsResponse) {
  Rig rig;
  FakeEndpoint s1(rig.io);
  std::shared_ptr<Peer> pending_peer;
  s1.on_request = [&](Peer& connection, const HttpRequest&) { pending_peer = connection.shared_from_this(); };
  rig.add_endpoint(discovered_endpoint("s1", s1));
  Coordinator& coordinator = rig.start();
  std::optional<Client> client(rig.client());
  client->send(post_request("a"));
  ASSERT_TRUE(rig.run_until([&] { return pending_peer != nullptr; }));
  bool done = false;
  coordinator.drain([&] { done = true; });
  run_for(rig.io, 1100);  // new connections are accepted for 1 s
  pending_peer->write(reply("200 OK", "", "late"));
  ASSERT_TRUE(rig.run_until([&] { return client->socket.available() > 0; }));
  run_for(rig.io, 100);
  EXPECT_FALSE(done);
  EXPECT_TRUE(client->receive());
  client.reset();
  EXPECT_TRUE(rig.run_until([&] { return done; }));
}

TEST(ShutdownTest, FailedTimerCallbackDoesNotStopOthersOfTheSameInstant) {
  asio::io_context io;
  Clock clock;
  Timers timers(io, clock);
  int fired = 0;
  const TimePoint at = clock.now() + 1000;
  timers.schedule_at(at, [] { throw std::runtime_error("first"); });
  for (int i = 0; i < 3; ++i) timers.schedule_at(at, [&] { ++fired; });
  EXPECT_THROW(run_until(io, [&] { return fired == 3; }), std::runtime_error);
  EXPECT_TRUE(run_until(io, [&] { return fired == 3; }));
}

TEST(ShutdownTest, FailedActionDoesNotStopOthersOfItsBatch) {
  Rig rig;
  rig.start();  // without an endpoint; the log line, which fails here, is written before the timer for the
                // wait
  Client client = rig.client();
  struct Broken : std::streambuf {
  } broken;  // accepts no output
  const auto kept = std::cerr.rdbuf(&broken);
  std::cerr.exceptions(std::ios::badbit);
  client.send(get_request("a"));
  const auto response = client.receive();
  std::cerr.exceptions(std::ios::goodbit);
  std::cerr.rdbuf(kept);
  std::cerr.clear();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(),
            429u);  // rejected after its wait; a lost action would end in 502
}

TEST(ShutdownTest, TerminationDuringStartupIsHandled) {
  // Guards against a process that is killed by the signal with clients in its backlog. Here it blocks in the
  // middle of reading its configuration.
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery discovery(io);
  char dir[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(dir), nullptr);
  const std::string fifo = std::string(dir) + "/config",
                    text = configuration_json(free_port(io), server, discovery);
  ASSERT_EQ(::mkfifo(fifo.c_str(), 0600), 0);
  const int file = ::open(fifo.c_str(), O_RDWR | O_CLOEXEC);
  Process process(Process::From{fifo});
  ASSERT_EQ(::write(file, text.data(), 10), 10);
  int unread = 1;
  ASSERT_TRUE(run_until(io, [&] { return ::ioctl(file, FIONREAD, &unread) == 0 && unread == 0; }));
  process.terminate();
  EXPECT_EQ(::write(file, text.data() + 10, text.size() - 10), ssize_t(text.size() - 10));
  ASSERT_TRUE(run_until(io, [&] { return ::ioctl(file, FIONREAD, &unread) == 0 && unread == 0; }));
  ::close(file);
  EXPECT_EQ(process.exit_code(), 0);
  ::unlink(fifo.c_str());
  ::rmdir(dir);
}

TEST(ShutdownTest, KeyedRequestIsNotRetriedIfALateConnectionWouldExceedTheDedupWindow) {
  Rig rig;
  FakeEndpoint s1(rig.io);
  FakeEndpoint s2(rig.io);
  asio::steady_timer timer(rig.io);
  int seen = 0;
  s1.on_request = s2.on_request = [&](Peer& connection, const HttpRequest&) {
    if (++seen > 1) return connection.write(reply("200 OK", "", "x"));
    timer.expires_after(std::chrono::milliseconds(450));
    timer.async_wait([peer = connection.shared_from_this()](error_code) { peer->reset(); });
  };
  rig.config.settings.connect_timeout = 250'000;
  rig.config.settings.classes[1].dedup_window = 600'000;
  rig.add_endpoint(discovered_endpoint("s1", s1));
  rig.add_endpoint(discovered_endpoint("s2", s2));
  rig.start();
  Client client = rig.client();
  client.send(post_request("a"));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 502u);
  EXPECT_EQ(seen, 1);
}

}  // namespace
}  // namespace quota_gateway::net::testing
