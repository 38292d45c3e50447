// Tests that the program stays below its memory limit, whatever its peers send, and serves honest clients
// meanwhile.
#include <gtest/gtest.h>

#include <cstdio>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr int kMemoryLimitMb = 32;  // the smallest memory limit of a gateway
constexpr long kMemoryLimitKilobytes = kMemoryLimitMb * 1024;
// Far below the size of any record of a request, for the allocator's own variation.
constexpr long kMaxBytesPerAnsweredRequest = 16;
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
  // Sends requests on one connection, the next ones while earlier ones are answered, and reads the answers.
  void flood(int count, const std::function<std::string(int)>& request_of) {
    constexpr int kRequestsInFlight = 32;
    constexpr std::string_view kStatusLine = "HTTP/1.1 ";
    tcp::socket socket = connect();
    int sent = 0;
    int answered = 0;
    std::string received;
    std::array<char, 1 << 16> buffer{};
    EXPECT_TRUE(run_until(io_, [&] {
      while (sent < count && sent - answered < kRequestsInFlight) send(socket, request_of(sent++));
      io_.poll();
      error_code ec;
      const std::size_t size = socket.read_some(asio::buffer(buffer), ec);
      received.append(buffer.data(), ec ? 0 : size);
      for (std::size_t at = 0; (at = received.find(kStatusLine)) != std::string::npos; ++answered)
        received.erase(0, at + kStatusLine.size());
      return answered >= count || (ec && ec != asio::error::would_block);
    }));
    EXPECT_EQ(answered, count);
  }
  // Sends the requests in two floods of the same size, and expects that the second one needs no more memory.
  void expect_no_growth(const std::function<std::string(int)>& request_of) {
    constexpr int kRequestsPerFlood = 40'000 / kLoadDivisor;
    constexpr long kMaxGrowthKilobytes = kRequestsPerFlood * kMaxBytesPerAnsweredRequest / 1024;
    flood(kRequestsPerFlood, request_of);
    const long before = gateway_->peak_resident_kilobytes();
    flood(kRequestsPerFlood, [&](int i) { return request_of(kRequestsPerFlood + i); });
    const long growth = gateway_->peak_resident_kilobytes() - before;
    std::printf("growth %ld kB\n", growth);
    if (kMeasuresMemory) {
      EXPECT_LT(growth, kMaxGrowthKilobytes);
    }
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

std::string request_of_customer(int customer, const std::string& expires_in) {
  std::array<char, 17> name{};
  std::snprintf(name.data(), name.size(), "%016x", unsigned(customer));
  return "GET /profile-read/" + std::string(name.data()) + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: t" +
         std::to_string(customer) + "\r\nPlan: plan-group\r\nX-Expires-In: " + expires_in +
         "\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n";
}

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

TEST_F(MemoryLimitTest, RequestsOfEverNewCustomersDoNotGrowMemoryWithoutEnd) {
  expect_no_growth([](int i) { return request_of_customer(i, "4000m"); });
  expect_honest_client_is_served("honest");
  expect_peak_below_limit();
}

TEST_F(MemoryLimitTest, AnsweredRequestsWithLongTimeoutsHoldNoMemory) {
  expect_no_growth([](int) { return request_of_customer(1, "3600000m"); });
  expect_honest_client_is_served("honest");
  expect_peak_below_limit();
}

}  // namespace
}  // namespace quota_gateway::net::testing
