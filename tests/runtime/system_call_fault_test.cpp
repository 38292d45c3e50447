// The program while system calls fail in ways that Linux documents, and while clients stall.
#include <filesystem>

#include "restart/hot_restart.hpp"
#include "runtime/clock.hpp"
#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;

class FaultTest : public ::testing::Test {
 protected:
  // Starts the gateway with injected faults and waits until it is ready.
  Process& start(const std::string& faults = "") {
    auto json = nlohmann::json::parse(configuration_json(port, server, discovery));
    auto& plan = json["settings"]["TiersOfService"][0];
    plan["QuotaRate"] = 1e6;
    plan["Depth"] = 1e6;
    process.emplace(json.dump(), -1, "", faults);
    EXPECT_NE(process->log_until(": ready").find(": ready"), std::string::npos);
    return *process;
  }
  Client connect_client() { return {io, {asio::ip::address_v4::loopback(), port}}; }
  void expect_served(const std::string& id) {
    Client client = connect_client();
    client.send(get_request(id));
    const auto answer = client.receive();
    ASSERT_TRUE(answer) << id;
    EXPECT_EQ(answer->result_int(), 200u) << id;
  }
  // Seconds until the client has an answer or the end of its connection.
  double seconds_until_response(Client& client) {
    const auto began = SteadyClock::now();
    std::optional<error_code> done;
    client.socket.async_wait(tcp::socket::wait_read, [&](error_code ec) { done = ec; });
    EXPECT_TRUE(run_until(io, [&] { return done.has_value(); }));
    return std::chrono::duration<double>(SteadyClock::now() - began).count();
  }
  static std::string large_post(std::size_t size) {
    return "GET /profile-read/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: large\r\n"
           "Plan: plan-group\r\nX-Expires-In: 4000m\r\nContent-Length: " +
           std::to_string(size) + "\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\n";
  }
  // A request whose client waits for less than the latency objective of its class.
  static std::string with_timeout(const std::string& id, const std::string& timeout) {
    std::string request = get_request(id);
    return request.replace(request.find("4000m"), 5, timeout);
  }
  // The timeout in microseconds that the endpoint received with that attempt.
  long long forwarded_timeout(std::size_t attempt) {
    return std::stoll(std::string(server.requests.at(attempt)["X-Expires-In"]));
  }
  asio::io_context io;
  FakeEndpoint server{io};
  FakeDiscovery discovery{io};
  std::uint16_t port = free_port(io);
  std::optional<Process> process;
};

TEST_F(FaultTest, AStalledClientGetsAnErrorOrACloseWithinThreeSeconds) {
  constexpr double kMaxStallSeconds = 3;
  start();
  Client head = connect_client();
  Client body = connect_client();
  Client fresh = connect_client();
  for (Client* c : {&head, &body}) {
    c->send(get_request("complete"));
    ASSERT_TRUE(c->receive());
  }
  head.send(get_request("part").substr(0, 40));
  body.send(large_post(200'000) + std::string(120'000, 'x'));
  fresh.send(large_post(200'000) + std::string(120'000, 'x'));
  const auto began = SteadyClock::now();
  for (Client* c : {&head, &body, &fresh}) {
    seconds_until_response(*c);
    EXPECT_LT(SteadyClock::now() - began, std::chrono::duration<double>(kMaxStallSeconds));
  }
}

TEST_F(FaultTest, ASlowClientIsServed) {
  start();
  Client head = connect_client();
  Client body = connect_client();
  head.send(get_request("complete"));
  ASSERT_TRUE(head.receive());
  const std::string request = get_request("slow");
  head.send(request.substr(0, 30));
  body.send(large_post(160'000));
  // The rest of the head after 2 s, and 64 kB a second of the body.
  for (int i = 0; i < 20; ++i) {
    run_for(io, 100);
    body.send(std::string(6'400, 'x'));
  }
  head.send(request.substr(30));
  const auto first = head.receive();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result_int(), 200u);
  for (int i = 0; i < 5; ++i) {
    run_for(io, 100);
    body.send(std::string(6'400, 'x'));
  }
  const auto second = body.receive();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->result_int(), 200u);
}

TEST_F(FaultTest, InterruptedSystemCallsResetNoConnection) {
  start("random:7:300");
  for (int i = 0; i < 40; ++i) expect_served("t" + std::to_string(i));
}

TEST_F(FaultTest, AClientBehindAnAbortedConnectionIsServedWithoutAFurtherConnection) {
  // ECONNABORTED, ENFILE, ENOBUFS and EMFILE, each with the client already in the backlog.
  for (const int error : {103, 23, 105, 24}) {
    start("accept:" + std::to_string(error) + ":2");
    expect_served(std::to_string(error));
    process.reset();
    port = free_port(io);
  }
}

TEST_F(FaultTest, AFailedAcceptDisconnectsNoOtherClient) {
  start("accept:23:3:200");
  Client idle = connect_client();
  idle.send(get_request("a"));
  ASSERT_TRUE(idle.receive());
  run_for(io, 250);
  expect_served("b");
  idle.send(get_request("c"));
  EXPECT_TRUE(idle.receive());
}

TEST_F(FaultTest, AWallClockStepIsLoggedAndMovesNoDeadline) {
  for (const char* step : {"wall:3600:200", "wall:-3600:200"}) {
    Process& gateway = start(step);
    run_for(io, 250);
    expect_served("a");
    EXPECT_NE(gateway.log_until("stepped").find("wall clock was stepped"), std::string::npos);
    server.on_request = [](Peer&, const HttpRequest&) {};
    Client client = connect_client();
    client.send(with_timeout("b", "300m"));
    EXPECT_NEAR(seconds_until_response(client), 0.3, 0.1);
    server.on_request = [](Peer& peer, const HttpRequest&) { peer.write(reply("200 OK")); };
    process.reset();
    port = free_port(io);
  }
}

TEST_F(FaultTest, ASuccessorContinuesTheClockOfItsPredecessor) {
  char shared[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(shared), nullptr);
  EXPECT_FALSE(predecessor_clock_offset(shared));
  tcp::acceptor platform(io, {asio::ip::address_v4::loopback(), 0});
  port = platform.local_endpoint().port();
  Process before(configuration_json(port, server, discovery), platform.native_handle(), shared);
  ASSERT_NE(before.log_until(": ready").find(": ready"), std::string::npos);
  const auto clock = predecessor_clock_offset(shared);
  ASSERT_TRUE(clock);
  EXPECT_NEAR(double(Clock(*clock).now()), double(Clock().now()), 1e6);
  before.kill();
  EXPECT_FALSE(predecessor_clock_offset(shared));
  for (const char* file : {"owner.json", "disabled.json"})
    ::unlink((std::string(shared) + "/" + file).c_str());
  EXPECT_EQ(::rmdir(shared), 0);
}

TEST_F(FaultTest, ABacklogWithFailingAcceptsIsServedBeforeTheExit) {
  Process& gateway = start("accept:103:400");
  Client client = connect_client();
  client.send(get_request("a"));
  gateway.terminate();
  const auto answer = client.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200u);
  EXPECT_EQ(gateway.exit_code(), 0);
}

TEST_F(FaultTest, TheForwardedTimeoutCountsTheWaitForTheAccept) {
  start("accept:23:30");  // each is followed by another try after 20 ms
  Client client = connect_client();
  client.send(with_timeout("a", "2000m"));
  ASSERT_TRUE(client.receive());
  EXPECT_LE(forwarded_timeout(0), 2'000'000 - 600'000 + 150'000);
}

TEST_F(FaultTest, TheForwardedTimeoutCountsTheWaitBehindAPipelinedRequest) {
  start();
  std::shared_ptr<Peer> pending;
  server.on_request = [&](Peer& peer, const HttpRequest&) { pending = peer.shared_from_this(); };
  Client client = connect_client();
  client.send(with_timeout("first", "2000m") + with_timeout("second", "2000m"));
  ASSERT_TRUE(run_until(io, [&] { return pending != nullptr; }));
  run_for(io, 1'000);
  pending->write(reply("200 OK"));
  ASSERT_TRUE(run_until(io, [&] { return server.requests.size() == 2; }));
  EXPECT_LE(forwarded_timeout(1), 2'000'000 - 1'000'000 + 150'000);
}

TEST_F(FaultTest, ALocalConnectFailureIsRetriedAndNotCountedAgainstTheEndpoint) {
  start("connect:99:8:100 socket:23:2:100");  // discovery's watch is up by then
  run_for(io, 150);
  for (int i = 0; i < 3; ++i) expect_served("t" + std::to_string(i));
}

TEST_F(FaultTest, AFailedBindAtTheStartIsRetried) {
  start("bind:98:3 socket:23:1");
  expect_served("a");
}

// With a shared directory and an admin address.
class SharedDirectoryTest : public FaultTest {
 protected:
  SharedDirectoryTest() { EXPECT_NE(::mkdtemp(shared), nullptr); }
  ~SharedDirectoryTest() override {
    process.reset();
    after.reset();
    std::error_code ignored;
    std::filesystem::remove_all(shared, ignored);
  }
  std::string with_admin(std::uint16_t at) {
    return configuration_json(port, server, discovery,
                              R"("admin_addr":"127.0.0.1:)" + std::to_string(at) + "\",");
  }
  int call(std::uint16_t at, const std::string& line) {
    Client operator_client(io, {asio::ip::address_v4::loopback(), at});
    operator_client.send(line + " HTTP/1.1\r\nHost: n0\r\n\r\n");
    const auto answer = operator_client.receive();
    return answer ? int(answer->result_int()) : 0;
  }
  std::string stored_endpoints() {
    std::ifstream file(std::string(shared) + "/disabled.json");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void start_in_shared_directory(const std::string& faults) {
    process.emplace(with_admin(admin), -1, shared, faults);
    ASSERT_NE(process->log_until(": ready").find(": ready"), std::string::npos);
  }
  char shared[32] = "/tmp/quota-gateway-test-XXXXXX";
  std::uint16_t admin = free_port(io);
  std::uint16_t admin_after = free_port(io);
  std::optional<Process> after;
};

TEST_F(SharedDirectoryTest, ADisabledEndpointIsOnDiskBeforeItIsConfirmedThoughWritesFailForAWhile) {
  for (const char* faults : {"write:28:3", "fsync:5:2"}) {
    start_in_shared_directory(faults);
    EXPECT_EQ(call(admin, "POST /-/booking-servers/s1/disable"), 200);
    EXPECT_EQ(stored_endpoints(), R"(["s1"])");
    process->kill();
    process.reset();
    std::filesystem::remove(std::string(shared) + "/disabled.json");
    port = free_port(io);
  }
}

TEST_F(SharedDirectoryTest, AChangeThatCannotBeStoredIsReportedAndHasNoEffect) {
  start_in_shared_directory("fsync:5:1000000");
  const auto began = SteadyClock::now();
  EXPECT_EQ(call(admin, "POST /-/booking-servers/s1/disable"), 503);
  EXPECT_LT(SteadyClock::now() - began, std::chrono::seconds(1));
  EXPECT_EQ(stored_endpoints(), "");
  expect_served("a");
}

TEST_F(SharedDirectoryTest, AHotRestartSucceedsThoughWritesFailForAWhileInEitherProcess) {
  for (const auto& [old_faults, new_faults] :
       {std::pair("write:28:3:300", ""), std::pair("", "write:28:3")}) {
    tcp::acceptor platform(io, {asio::ip::address_v4::loopback(), 0});
    port = platform.local_endpoint().port();
    process.emplace(with_admin(admin), platform.native_handle(), shared, old_faults);
    ASSERT_NE(process->log_until(": ready").find(": ready"), std::string::npos);
    run_for(io, 350);
    after.emplace(with_admin(admin_after), platform.native_handle(), shared, new_faults);
    const std::string log = after->log_until(": ready");
    EXPECT_EQ(log.find("does not answer"), std::string::npos) << log;
    EXPECT_EQ(call(admin_after, "GET /-/ready"), 200);
    EXPECT_EQ(call(admin, "GET /-/ready"), 503);
    process->terminate();
    EXPECT_EQ(process->exit_code(), 0);
    after->terminate();
    EXPECT_EQ(after->exit_code(), 0);
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
