// Clients that leave while their request waits, each in another place: nothing of it may be sent on
// afterwards.
#include <sys/file.h>

#include "support/loopback.hpp"
#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr int kAfter = 100;  // ms after the client has left

// With cancels allowed and not.
class ClientDisconnectTest : public ::testing::TestWithParam<bool> {
 protected:
  ClientDisconnectTest() {
    rig.config.settings.allow_cancel = GetParam();
    for (ClassSettings& c : rig.config.settings.classes)
      c.latency_objective = 3'000'000;  // a quarter of which may be waited
  }
  // Whoever comes now is served, and alone.
  void only_the_next_is_sent_on(FakeServer& server) {
    Client next = rig.client();
    next.send(get("next"));
    ASSERT_TRUE(next.receive());
    ASSERT_EQ(server.requests.size(), 1u);
    EXPECT_EQ(server.requests[0]["X-Trace-Id"], "next");
  }
  static std::string upload(const std::string& id) {
    return "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
           "\r\nPlan: plan-group\r\nX-Expires-In: 4000m\r\nIdempotency-Key: k-" + id +
           "\r\nContent-Length: 100000\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\n";
  }
  void leaves_while_a_connection_comes_up(const std::string& request);
  Rig rig;
  FakeServer s1{rig.io};
};
INSTANTIATE_TEST_SUITE_P(Cancels, ClientDisconnectTest, ::testing::Bool());

TEST_P(ClientDisconnectTest, WhileItWaitedForAServer) {
  rig.discovery.first = "\n";
  rig.start();  // knows no server
  {
    Client c = rig.client();
    c.send(get("left"));
    wait(rig.io, 20);
  }
  wait(rig.io, kAfter);
  rig.discovery.tell(list(42, false, entry("s1", s1.text())));
  wait(rig.io, 20);
  only_the_next_is_sent_on(s1);
}

TEST_P(ClientDisconnectTest, WhileItWaitedForTheCounter) {
  FakeCounter counter(rig.io);
  counter.silent = true;
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 1'000'000;
  rig.config.counter = counter.address();
  rig.know(member("s1", s1));
  rig.start();
  {
    Client c = rig.client();
    c.send(get("left"));
    ASSERT_TRUE(rig.until([&] { return counter.calls.size() == 1; }));
  }
  wait(rig.io, kAfter);
  EXPECT_TRUE(s1.requests.empty());
  counter.silent = false;
  counter.last->write("$1\r\n1\r\n");
  only_the_next_is_sent_on(s1);
}

void ClientDisconnectTest::leaves_while_a_connection_comes_up(const std::string& request) {
  // The server's line is full, and taken from only after the client has left; the kernel then tries again.
  tcp::acceptor full(rig.io, {asio::ip::address_v4::loopback(), 0}, true);
  full.listen(0);
  tcp::socket filler(rig.io);
  filler.connect(full.local_endpoint());
  DiscoveredEndpoint m = member("s1", s1);
  m.address = full.local_endpoint();
  rig.know(m);
  rig.config.connect_timeout = 3'500'000;
  rig.start();
  {
    Client c = rig.client();
    c.send(request);
    wait(rig.io, 20);
  }
  wait(rig.io, kAfter);
  std::vector<std::shared_ptr<tcp::socket>> came;
  std::function<void()> accept = [&] {
    full.async_accept([&](error_code ec, tcp::socket s) {
      if (ec) return;
      came.push_back(std::make_shared<tcp::socket>(std::move(s)));
      accept();
    });
  };
  accept();
  wait(rig.io, 1500);  // longer than the kernel's first try again
  error_code ignored;
  for (const auto& s : came) EXPECT_EQ(s->available(ignored), 0u);
  full.close();
}

TEST_P(ClientDisconnectTest, WhileAConnectionCameUpLate) { leaves_while_a_connection_comes_up(post("left")); }

TEST_P(ClientDisconnectTest, BetweenTwoAttempts) {
  FakeServer busy(rig.io);
  busy.on_request = [](Peer& p, const Request_&) { p.write(reply("503 No", "X-Never-Ran: 1\r\n")); };
  rig.know(member("s0", busy));
  rig.config.settings.max_attempts = 2;
  rig.start();
  Client stays = rig.client();
  {
    Client c = rig.client();
    c.send(get("left"));
    ASSERT_TRUE(rig.until([&] { return busy.requests.size() == 1; }));
    stays.send(get("stays"));
    ASSERT_TRUE(rig.until([&] { return busy.requests.size() == 2; }));
    wait(rig.io, 5);
  }
  wait(rig.io, kAfter);
  rig.discovery.tell(list(42, true, entry("s1", s1.text())));
  ASSERT_TRUE(stays.receive());
  EXPECT_EQ(busy.requests.size(), 2u);
  ASSERT_EQ(s1.requests.size(), 1u);
  EXPECT_EQ(s1.requests[0]["X-Trace-Id"], "stays");
}

TEST_P(ClientDisconnectTest, BehindABodyThatNoServerTakesYet) {
  // Guards against a client that goes unseen, as the end of its large body was left unread.
  rig.start();  // knows no server
  {
    Client c = rig.client();
    c.send(upload("left") + std::string(100'000, 'x'));
    wait(rig.io, 20);
  }
  wait(rig.io, kAfter);
  rig.discovery.tell(list(42, false, entry("s1", s1.text())));
  wait(rig.io, 20);
  ASSERT_TRUE(s1.peers.empty());
  only_the_next_is_sent_on(s1);
}

TEST_P(ClientDisconnectTest, BehindABodyWhoseConnectionCameUpLate) {
  leaves_while_a_connection_comes_up(upload("left") + std::string(100'000, 'x'));
}

TEST_P(ClientDisconnectTest, BehindItsRequest) {
  // Guards against a request sent on though its client's end was there to be read with it.
  rig.know(member("s1", s1));
  rig.start();
  {
    Client c = rig.client();
    c.send(get("left"));
  }
  only_the_next_is_sent_on(s1);
}

TEST_P(ClientDisconnectTest, HavingSentMoreThanIsReadAhead) {
  // Guards against a client that goes unseen, as what it sent ahead was left unread.
  rig.start();  // knows no server
  {
    Client c = rig.client();
    c.send(get("left") + std::string(200'000, 'x'));
    wait(rig.io, 20);
  }
  wait(rig.io, kAfter);
  rig.discovery.tell(list(42, false, entry("s1", s1.text())));
  wait(rig.io, 20);
  only_the_next_is_sent_on(s1);
}

TEST_P(ClientDisconnectTest, HavingSentMoreThanIsReadAheadAClientThatStaysHasItsAnswer) {
  rig.know(member("s1", s1));
  std::shared_ptr<Peer> held;
  s1.on_request = [&](Peer& p, const Request_&) { held = p.shared_from_this(); };
  rig.start();
  Client c = rig.client();
  c.send(get("stays") + std::string(200'000, 'x'));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  wait(rig.io, 20);
  held->write(reply("200 OK", "", "held"));
  const auto answer = c.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "held");
  EXPECT_FALSE(answer->keep_alive());
}

// An attempt sent in the batch in which its client goes must be told as ended.
TEST_P(ClientDisconnectTest, InTheBatchThatSendsItsAttempt) {
  FakeCounter counter(rig.io);
  counter.silent = true;
  rig.config.settings.gateway_count = 1;
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 1'000'000;
  rig.config.settings.plans[0].max_concurrent_attempts = 1;
  rig.config.counter = counter.address();
  rig.know(member("s1", s1));
  rig.start();
  {
    Client c = rig.client();
    c.send(get("left"));
    ASSERT_TRUE(rig.until([&] { return counter.calls.size() == 1; }));
    while (rig.io.poll() > 0) rig.io.restart();
    rig.io.restart();
    counter.last->write("$1\r\n1\r\n");  // both are read in one turn of the loop
  }
  wait(rig.io, 50);
  Client next = rig.client();
  next.send(get("next"));
  const auto answer = next.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200u);  // its place under the open cap is free
}

TEST(Gone, WhileAProcessWaitedForTheOneBeforeIt) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  char shared[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(shared), nullptr);
  const std::string owner = std::string(shared) + "/owner.json",
                    alive = std::string(shared) + "/alive-before";
  std::ofstream(owner) << R"({"token":"before"})";
  const int lock = ::open(alive.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  ASSERT_EQ(::flock(lock, LOCK_EX | LOCK_NB), 0);  // lives, and never hands over
  tcp::acceptor platform(io, {asio::ip::address_v4::loopback(), 0});
  {
    Client c(io, platform.local_endpoint());
    c.send(get("left"));
  }
  Process p(config(platform.local_endpoint().port(), server, discovery), platform.native_handle(), shared);
  ASSERT_NE(p.log_until("does not answer").find("does not answer"), std::string::npos);
  Client next(io, platform.local_endpoint());
  next.send(get("next"));
  ASSERT_TRUE(next.receive());
  ASSERT_EQ(server.requests.size(), 1u);
  EXPECT_EQ(server.requests[0]["X-Trace-Id"], "next");
  p.terminate();
  EXPECT_EQ(p.exit_code(), 0);
  ::close(lock);
  for (const char* file : {"owner.json", "alive-before"})
    ::unlink((std::string(shared) + "/" + file).c_str());
  ::rmdir(shared);
}

}  // namespace
}  // namespace quota_gateway::net::testing
