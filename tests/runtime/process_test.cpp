// The program: its start, invalid configurations, SIGTERM, SIGHUP and hot restart.
#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST(Process, AnInvalidConfigurationEndsItWithOneLineAndAnError) {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"name":"n","listen":"x","discovery":"127.0.0.1:1"})",
        R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":3})",
        R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}})"}) {
    Process gateway(text);
    const std::string log = gateway.log_until("never");
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << text << " -> " << log;
    EXPECT_GT(gateway.exit_code(), 0) << text;
  }
}

TEST(Process, SigtermFinishesPendingRequestsAndExitsWithSuccess) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery discovery(io);
  std::shared_ptr<Peer> pending;
  server.on_request = [&](Peer& peer, const HttpRequest&) { pending = peer.shared_from_this(); };
  const auto port = free_port(io);
  Process gateway(configuration_json(port, server, discovery));
  ASSERT_NE(gateway.log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return pending != nullptr; }));
  gateway.terminate();
  ASSERT_NE(gateway.log_until("draining").find("draining"), std::string::npos);
  pending->write(reply("200 OK", "", "pending"));
  const auto answer = client.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "pending");
  EXPECT_TRUE(client.closed_by_peer());
  EXPECT_EQ(gateway.exit_code(), 0);
}

TEST(Process, SighupFollowsDiscoveryAndAnInvalidFileChangesNothing) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeEndpoint moved_to(io);
  FakeDiscovery before(io);
  FakeDiscovery after(io);
  const auto port = free_port(io);
  Process gateway(configuration_json(port, server, before));
  ASSERT_NE(gateway.log_until("ready").find("ready"), std::string::npos);
  ASSERT_TRUE(run_until(io, [&] { return before.requested_targets.size() == 1; }));
  gateway.reconfigure("{");
  ASSERT_NE(gateway.log_until("reconfiguration").find("reconfiguration"), std::string::npos);
  after.first_update = update_json(42, false,
                                   endpoint_json("s1", server.address_text(), "draining") + "," +
                                       endpoint_json("s2", moved_to.address_text()));
  gateway.reconfigure(configuration_json(port, server, after));
  ASSERT_TRUE(run_until(io, [&] { return after.requested_targets.size() == 1; }));
  EXPECT_EQ(after.requested_targets[0], "/catalog/members?watch=1&after=41");
  Client client(io, {asio::ip::address_v4::loopback(), port});
  for (int i = 0; moved_to.requests.empty() && i < 1000; ++i) {  // until the update is applied
    client.send(get_request("t" + std::to_string(i)));
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
  }
  EXPECT_FALSE(moved_to.requests.empty());
}

TEST(Process, ServesAmongAThousandGatewaysWithAThousandEndpointsInOneUpdate) {
  constexpr int kThousand = 1024;
  asio::io_context io;
  FakeEndpoint before(io);
  FakeEndpoint after(io);
  FakeDiscovery discovery(io);
  const auto entries = [&](const std::string& name, const LoopbackServer& at) {
    std::string out;
    for (int i = 0; i < kThousand; ++i)
      out += (i > 0 ? "," : "") + endpoint_json(name + std::to_string(i), at.address_text());
    return out;
  };
  const auto port = free_port(io);
  auto json = nlohmann::json::parse(configuration_json(port, before, discovery));
  json["known"] = nlohmann::json::parse(update_json(41, true, entries("old", before)));
  json["settings"]["ReplicasOfMe"] = kThousand;
  json["settings"]["Position"] = kThousand - 1;
  auto& plan = json["settings"]["TiersOfService"][0];
  plan["QuotaRate"] = 1e9;
  plan["Depth"] = 1e9;
  discovery.first_update = "\n";
  Process gateway(json.dump());
  ASSERT_NE(gateway.log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("known"));
  ASSERT_TRUE(client.receive());
  EXPECT_EQ(before.requests.size(), 1u);
  ASSERT_TRUE(run_until(io, [&] { return discovery.requested_targets.size() == 1; }));
  discovery.send_update(update_json(42, true, entries("new", after)));
  for (int i = 0; after.requests.size() < 300 && i < 3000; ++i) {
    client.send(get_request("t" + std::to_string(i)));
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200u);
  }
  EXPECT_EQ(after.requests.size(), 300u);
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(gateway.resident_kilobytes(), 16 << 10);  // half of the least that a gateway may have
#endif
}

TEST(Process, RetriesAConfigurationThatIsInvalidForAMoment) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery before(io);
  FakeDiscovery after(io);
  const auto port = free_port(io);
  Process gateway(configuration_json(port, server, before));
  ASSERT_NE(gateway.log_until(": ready").find(": ready"), std::string::npos);
  gateway.reconfigure("{");
  ASSERT_NE(gateway.log_until("reconfiguration").find("reconfiguration"), std::string::npos);
  gateway.replace_config(configuration_json(port, server, after));  // without a further signal
  EXPECT_TRUE(run_until(io, [&] { return after.requested_targets.size() == 1; }));
}

struct Usage {
  double cpu_seconds = 0;
  double megabytes = 0;
};

// What a gateway among 300 uses for a thousand requests with so many endpoints.
Usage usage_of_thousand_requests(int endpoints) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  std::string entries;
  for (int i = 0; i < endpoints; ++i)
    entries += (i > 0 ? "," : "") + endpoint_json("s" + std::to_string(i), server.address_text());
  auto json = nlohmann::json::parse(configuration_json(port, server, discovery));
  json["known"] = nlohmann::json::parse(update_json(41, true, entries));
  json["settings"]["ReplicasOfMe"] = 300;
  auto& plan = json["settings"]["TiersOfService"][0];
  plan["QuotaRate"] = 1e9;
  plan["Depth"] = 1e9;
  Process gateway(json.dump());
  EXPECT_NE(gateway.log_until(": ready").find(": ready"), std::string::npos);
#if defined(__SANITIZE_ADDRESS__)
  const double before = gateway.cpu_seconds();  // with a sanitizer, reading the list takes many times as long
#else
  const double before = 0;
#endif
  Client client(io, {asio::ip::address_v4::loopback(), port});
  for (int i = 0; i < 1000; ++i) {
    client.send(get_request("t" + std::to_string(i)));
    EXPECT_TRUE(client.receive()) << i;
  }
  return {gateway.cpu_seconds() - before, double(gateway.resident_kilobytes()) / 1024};
}

TEST(Process, SixteenTimesTheEndpointsStayWithinTheAllowedResources) {
  constexpr double kThousands = 3.2;
  const Usage usual = usage_of_thousand_requests(200);
  const Usage many = usage_of_thousand_requests(3200);
  EXPECT_LE(many.cpu_seconds, 1.4 * usual.cpu_seconds + 0.02 + 0.03 * kThousands);
  EXPECT_LE(many.megabytes, 1.5 * usual.megabytes + 8 + 4 * kThousands);
  RecordProperty("cpu", std::to_string(usual.cpu_seconds) + " " + std::to_string(many.cpu_seconds));
  std::printf("cpu %.2f s and %.2f s, memory %.1f MB and %.1f MB\n", usual.cpu_seconds, many.cpu_seconds,
              usual.megabytes, many.megabytes);
}

TEST(Process, IsReadyWithHundredsOfEndpointsWhenDiscoveryAndCounterFail) {
  // No answer, a full backlog, a refused connection, an error status. The limit for the start is 10 s.
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery silent(io);
  FakeDiscovery turns_away(io);
  FakeDiscovery refuses(io);
  FakeCounter counter(io);
  silent.silent = true;
  turns_away.scripted_responses.assign(100, reply("503 No"));
  tcp::acceptor full(io, {asio::ip::address_v4::loopback(), 0}, true);
  full.listen(0);
  tcp::socket filler(io);
  filler.connect(full.local_endpoint());
  const std::string refusing = refuses.address_text();
  refuses.stop();
  std::string servers = endpoint_json("s1", server.address_text());
  for (int i = 2; i <= 400; ++i)
    servers += "," + endpoint_json("s" + std::to_string(i), server.address_text());
  const std::string hangs = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  for (const std::string& discovery : {silent.address_text(), turns_away.address_text(), refusing, hangs})
    for (const std::string& at : {refusing, hangs}) {
      SCOPED_TRACE(discovery + " " + at);
      const auto port = free_port(io);
      std::string text = configuration_json(port, server, silent, R"("counter":")" + at + R"(",)");
      text.replace(text.find(silent.address_text()), silent.address_text().size(), discovery);
      const std::string one = endpoint_json("s1", server.address_text());
      text.replace(text.find(one), one.size(), servers);
      const auto began = std::chrono::steady_clock::now();
      Process gateway(text);
      ASSERT_NE(gateway.log_until("ready").find("ready"), std::string::npos);
      Client client(io, {asio::ip::address_v4::loopback(), port});
      client.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
      const auto health = client.receive();
      ASSERT_TRUE(health);
      EXPECT_EQ(health->result_int(), 200u);
      client.send(get_request("a"));
      const auto answer = client.receive();
      ASSERT_TRUE(answer);
      EXPECT_EQ(answer->result_int(), 200u);
      EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(10));
    }
}

TEST(Process, TwoProcessesShareOneInheritedSocketAndTheOldOneLeavesNoClientUnread) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery discovery(io);
  tcp::acceptor platform(io, {asio::ip::address_v4::loopback(), 0});
  const auto port = platform.local_endpoint().port();
  Process before(configuration_json(port, server, discovery), platform.native_handle());
  ASSERT_NE(before.log_until("ready").find("ready"), std::string::npos);
  Client first(io, platform.local_endpoint());
  first.send(get_request("a"));
  ASSERT_TRUE(first.receive());
  const auto admin = free_port(io);
  Process after(configuration_json(port, server, discovery,
                                   R"("admin_addr":"127.0.0.1:)" + std::to_string(admin) + "\","),
                platform.native_handle());
  ASSERT_NE(after.log_until("ready").find("ready"), std::string::npos);
  Client operator_client(io, {asio::ip::address_v4::loopback(), admin});
  operator_client.send("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
  const auto ready = operator_client.receive();
  ASSERT_TRUE(ready);
  EXPECT_EQ(ready->result_int(), 200u);
  before.terminate();
  EXPECT_EQ(before.exit_code(), 0);
  for (int i = 0; i < 20; ++i) {
    Client client(io, platform.local_endpoint());
    client.send(get_request("b" + std::to_string(i)));
    EXPECT_TRUE(client.receive());
  }
}

TEST(Process, AHotRestartHandsOverAndIsAbortedWhenTheSuccessorDies) {
  asio::io_context io;
  FakeEndpoint server(io);
  FakeDiscovery discovery(io);
  std::shared_ptr<Peer> pending;
  server.on_request = [&](Peer& peer, const HttpRequest& request) {
    if (request["X-Trace-Id"] == "pending") {
      pending = peer.shared_from_this();
    } else {
      peer.write(reply("200 OK", "", "x"));
    }
  };
  char shared[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(shared), nullptr);
  tcp::acceptor platform(io, {asio::ip::address_v4::loopback(), 0});
  const auto port = platform.local_endpoint().port();
  const auto admin_of = [&](std::uint16_t admin) {
    return configuration_json(port, server, discovery,
                              R"("admin_addr":"127.0.0.1:)" + std::to_string(admin) + "\",");
  };
  const auto ready = [&](std::uint16_t admin) {
    Client operator_client(io, {asio::ip::address_v4::loopback(), admin});
    operator_client.send("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
    const auto answer = operator_client.receive();
    return answer ? int(answer->result_int()) : 0;
  };
  const auto admin1 = free_port(io);
  const auto admin2 = free_port(io);
  Process before(admin_of(admin1), platform.native_handle(), shared);
  ASSERT_NE(before.log_until("ready").find("ready"), std::string::npos);
  Client waiting(io, platform.local_endpoint());
  Client idle(io, platform.local_endpoint());
  idle.send(get_request("a"));
  ASSERT_TRUE(idle.receive());
  waiting.send(get_request("pending"));
  ASSERT_TRUE(run_until(io, [&] { return pending != nullptr; }));
  Process after(admin_of(admin2), platform.native_handle(), shared);
  ASSERT_NE(after.log_until("ready").find("ready"), std::string::npos);
  ASSERT_TRUE(run_until(io, [&] { return ready(admin2) == 200; }));
  EXPECT_EQ(ready(admin1), 503);
  EXPECT_TRUE(idle.closed_by_peer());
  Client client(io, platform.local_endpoint());
  client.send(get_request("b"));
  const auto next = client.receive();
  ASSERT_TRUE(next);
  EXPECT_TRUE(next->keep_alive());  // from the successor
  pending->write(reply("200 OK", "", "pending"));
  const auto last = waiting.receive();
  ASSERT_TRUE(last);
  EXPECT_EQ(last->body(), "pending");
  EXPECT_FALSE(last->keep_alive());
  after.kill();
  ASSERT_TRUE(run_until(io, [&] { return ready(admin1) == 200; }));
  Client again(io, platform.local_endpoint());
  again.send(get_request("c"));
  EXPECT_TRUE(again.receive());
  before.terminate();
  EXPECT_EQ(before.exit_code(), 0);
  for (const char* file : {"owner.json", "open.json", "state.json"})
    ::unlink((std::string(shared) + "/" + file).c_str());
  EXPECT_EQ(::rmdir(shared), 0);  // no other file is left
}

}  // namespace
}  // namespace quota_gateway::net::testing
