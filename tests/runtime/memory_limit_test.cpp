// Tests that the program stays below its memory limit, whatever its peers send, and serves honest clients
// meanwhile.
#include <gtest/gtest.h>

#include <cstdio>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr int kMemoryLimitMb = 32;  // the smallest memory limit of a gateway
constexpr long kMemoryLimitKilobytes = kMemoryLimitMb * 1024;
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;  // the sanitizer needs memory of its own
constexpr int kLoadDivisor = 10;
#else
constexpr bool kMeasuresMemory = true;
constexpr int kLoadDivisor = 1;
#endif

// A gateway at the smallest memory limit, its peers, and an endpoint that answers at once.
class MemoryLimitTest : public ::testing::Test {
 protected:
  MemoryLimitTest() {
    endpoint_.on_request = [this](Peer& peer, const HttpRequest& request) {
      peer.write(reply("200 OK", "", std::string(request["X-Trace-Id"])));
      endpoint_.requests.clear();
    };
    auto json = nlohmann::json::parse(configuration_json(port_, endpoint_, discovery_));
    json["limits"]["memory_mb"] = kMemoryLimitMb;
    auto& plan = json["settings"]["TiersOfService"][0];
    plan["QuotaRate"] = plan["Depth"] = 1e9;
    gateway_.emplace(json.dump());
    EXPECT_NE(gateway_->log_until("ready").find("ready"), std::string::npos);
  }

  tcp::socket connect() {
    tcp::socket socket(io_);
    error_code ec;
    socket.connect({asio::ip::address_v4::loopback(), port_}, ec);
    socket.non_blocking(true, ec);
    return socket;
  }
  // Opens connections that each send one text and then nothing more.
  void connect_peers(int count, const std::function<std::string(int)>& text_of_peer) {
    for (int i = 0; i < count / kLoadDivisor; ++i) {
      peers_.push_back(connect());
      send(peers_.back(), text_of_peer(i));
    }
  }
  static void send(tcp::socket& socket, const std::string& text) {
    error_code ignored;
    socket.write_some(asio::buffer(text), ignored);
  }
  void expect_honest_client_is_served(const std::string& id) {
    Client client(io_, {asio::ip::address_v4::loopback(), port_});
    client.send(get_request(id));
    const auto response = client.receive();
    ASSERT_TRUE(response) << id;
    EXPECT_EQ(response->body(), id);
  }
  void expect_peak_below_limit() {
    std::printf("peak %ld kB of %ld kB\n", gateway_->peak_resident_kilobytes(), kMemoryLimitKilobytes);
    if (kMeasuresMemory) {
      EXPECT_LT(gateway_->peak_resident_kilobytes(), kMemoryLimitKilobytes);
    }
  }

  asio::io_context io_;
  FakeEndpoint endpoint_{io_};
  FakeDiscovery discovery_{io_};
  const std::uint16_t port_ = free_port(io_);
  std::optional<Process> gateway_;
  std::deque<tcp::socket> peers_;
};

std::string unfinished_head_of_short_fields(int field_count) {
  std::string text = "GET /profile-read/00000000b4d65521 HTTP/1.1\r\n";
  for (int i = 0; i < field_count; ++i) text += "ab:\r\n";
  return text;
}

TEST_F(MemoryLimitTest, FreshProcessSurvivesManyUnfinishedHeadsOfShortFields) {
  connect_peers(500, [](int i) { return unfinished_head_of_short_fields(1500 + i); });
  run_for(io_, 500);
  expect_honest_client_is_served("honest");
  expect_peak_below_limit();
}

TEST_F(MemoryLimitTest, HeadsOfShortFieldsThatArriveInPiecesDoNotGrowWithoutEnd) {
  connect_peers(300, [](int) { return unfinished_head_of_short_fields(100); });
  const std::string start = unfinished_head_of_short_fields(0);
  const std::string piece = unfinished_head_of_short_fields(400).substr(start.size());
  for (int i = 0; i < 20; ++i) {
    for (tcp::socket& peer : peers_) send(peer, piece);
    run_for(io_, 50);
  }
  expect_peak_below_limit();
}

}  // namespace
}  // namespace quota_gateway::net::testing
