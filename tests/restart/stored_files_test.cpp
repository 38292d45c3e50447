// A gateway restores its state from the files that an earlier build has written: quota slices, slow start,
// endpoints that operators disabled, and attempts of its predecessor. QUOTA_GATEWAY_UPDATE_FIXTURES=1 records
// them anew.
#include <sys/file.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr const char* kFixtures = FIXTURE_DIRECTORY "/stored_files/";
constexpr const char* kExhausted = "00000000000000a1";  // customers: has used up its quota
constexpr const char* kBusy = "00000000000000b2";       // has its one attempt in flight
constexpr const char* kSteady = "00000000000000c3";     // has a wide quota
constexpr const char* kFresh = "00000000000000d4";      // is not in the files

TimePoint steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string read_text(const fs::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void write_json(const fs::path& path, const json& content) {
  const fs::path part = path.string() + ".part";
  std::ofstream(part) << content.dump();
  fs::rename(part, path);
}

// The lock that shows that a process is running.
class LivenessLockFile {
 public:
  LivenessLockFile(const fs::path& directory, const std::string& token)
      : path_(directory / ("alive-" + token)),
        descriptor_(::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
    EXPECT_EQ(::flock(descriptor_, LOCK_EX | LOCK_NB), 0);
  }
  LivenessLockFile(const LivenessLockFile&) = delete;
  LivenessLockFile& operator=(const LivenessLockFile&) = delete;
  ~LivenessLockFile() {
    ::close(descriptor_);
    ::unlink(path_.c_str());
  }

 private:
  fs::path path_;
  int descriptor_;
};

class StoredFiles : public ::testing::Test {
 protected:
  StoredFiles() {
    char name[] = "/tmp/quota-gateway-test-XXXXXX";
    EXPECT_NE(::mkdtemp(name), nullptr);
    directory = name;
    servers[0].on_request = [this](Peer& peer, const HttpRequest& request) {
      if (request["X-Trace-Id"] == "pending") return;
      peer.write(reply("200 OK", "", "x"));
    };
    for (int i = 1; i < 3; ++i)
      servers[i].on_request = [](Peer& peer, const HttpRequest&) { peer.write(reply("200 OK", "", "x")); };
  }
  ~StoredFiles() override { fs::remove_all(directory); }

  std::string endpoints() const {
    std::string out;
    for (int i = 0; i < 3; ++i)
      out += (i > 0 ? "," : "") + endpoint_json("s" + std::to_string(i + 1), servers[i].address_text());
    return out;
  }
  std::string configuration(std::uint16_t admin) const {
    json out = json::parse(R"({"name":"n0","seed":"8c1f30d27a5be964",
      "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
      "settings":{"Az":"a","ReplicasOfMe":1,"Position":0,
        "Classes":[{"Name":"profile-read","Repeat":"safe","ObjectiveUs":3000000,"GiveUpUs":4000000,
          "Importance":1.0}],
        "TiersOfService":[{"Name":"narrow","QuotaRate":0.01,"Depth":5},{"Name":"wide","QuotaRate":1000,"Depth":1000},
          {"Name":"single","MaxOut":1}],
        "Limits":{"MaxAttempts":4,"MayCancel":true},
        "Obligations":{"ColdShare":0.05,"ColdUs":60000000,"TipMultiple":1.0,"TipAfterUs":5000000}}})");
    out["listen"] = "127.0.0.1:" + std::to_string(platform.local_endpoint().port());
    out["admin_addr"] = "127.0.0.1:" + std::to_string(admin);
    out["discovery"] = discovery.address_text();
    out["known"] = json::parse(update_json(41, true, endpoints()));
    return out.dump();
  }
  static std::string request(const std::string& id, const std::string& customer, const std::string& plan) {
    return "GET /profile-read/" + customer + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
           "\r\nPlan: " + plan + "\r\nX-Expires-In: 4000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n";
  }
  int status_of(const std::string& customer, const std::string& plan) {
    Client client(io, platform.local_endpoint());
    client.send(request("r" + std::to_string(++requests_), customer, plan));
    const auto answer = client.receive();
    return answer ? int(answer->result_int()) : 0;
  }
  std::string call_admin(std::uint16_t admin, const std::string& call) {
    Client operator_client(io, {asio::ip::address_v4::loopback(), admin});
    operator_client.send(call + " HTTP/1.1\r\nHost: n0\r\n\r\n");
    const auto answer = operator_client.receive();
    EXPECT_TRUE(answer && answer->result_int() == 200u);
    return answer ? answer->body() : "";
  }
  std::string owner() const {
    const json stored = json::parse(read_text(directory / "owner.json"), nullptr, false);
    return stored.is_object() ? stored.value("token", "") : "";
  }
  void record() {
    const auto admin = free_port(io);
    Process gateway(configuration(admin), platform.native_handle(), directory.string());
    ASSERT_NE(gateway.log_until(": ready").find(": ready"), std::string::npos);
    ASSERT_TRUE(run_until(io, [&] { return !discovery.requested_targets.empty(); }));
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    discovery.send_update(
        update_json(42, false, endpoint_json("s2", servers[1].address_text(), "up", now_ms)));
    call_admin(admin, "POST /-/booking-servers/s3/disable");
    for (int i = 0; i < 6; ++i) status_of(kExhausted, "narrow");
    for (int i = 0; i < 60; ++i) status_of(kSteady, "wide");
    Client waiting(io, platform.local_endpoint());
    const std::size_t before = servers[0].requests.size() + servers[1].requests.size();
    servers[1].on_request = [](Peer&, const HttpRequest&) {};
    waiting.send(request("pending", kBusy, "single"));
    ASSERT_TRUE(
        run_until(io, [&] { return servers[0].requests.size() + servers[1].requests.size() > before; }));
    json fixture_owner = json::parse(read_text(directory / "owner.json"));
    const LivenessLockFile successor(directory, "successor");
    write_json(directory / "owner.json", {{"token", "successor"}, {"clock", 0}});
    ASSERT_TRUE(run_until(io, [&] { return fs::exists(directory / "open.json"); }));
    fixture_owner["recorded_at"] =
        fixture_owner["clock"].get<TimePoint>() + steady_now();  // for the test only
    std::ofstream(std::string(kFixtures) + "owner.json") << fixture_owner.dump();
    for (const char* file : {"state.json", "open.json", "disabled.json"})
      fs::copy_file(directory / file, kFixtures + std::string(file), fs::copy_options::overwrite_existing);
    gateway.kill();
    fs::remove_all(directory);
    fs::create_directory(directory);
    for (FakeEndpoint& server : servers) server.requests.clear();
    servers[1].on_request = [](Peer& peer, const HttpRequest&) { peer.write(reply("200 OK", "", "x")); };
  }
  // A fixture that is addressed to the process named by `token`.
  static json addressed_to(const std::string& token, const std::string& file) {
    json stored = json::parse(read_text(kFixtures + file));
    stored["for"] = token;
    return stored;
  }

  asio::io_context io;
  FakeEndpoint servers[3]{FakeEndpoint(io), FakeEndpoint(io), FakeEndpoint(io)};
  FakeDiscovery discovery{io};
  tcp::acceptor platform{io, {asio::ip::address_v4::loopback(), 0}};
  fs::path directory;

 private:
  int requests_ = 0;
};

TEST_F(StoredFiles, OfAnEarlierBuildAreRestored) {
  if (std::getenv("QUOTA_GATEWAY_UPDATE_FIXTURES") != nullptr) record();
  json before = json::parse(read_text(kFixtures + std::string("owner.json")));
  const std::string predecessor = before.at("token");
  before["clock"] = before.at("recorded_at").get<TimePoint>() + 100'000 - steady_now();
  before.erase("recorded_at");
  write_json(directory / "owner.json", before);
  fs::copy_file(kFixtures + std::string("disabled.json"), directory / "disabled.json");
  const LivenessLockFile alive(directory, predecessor);

  const auto admin = free_port(io);
  Process gateway(configuration(admin), platform.native_handle(), directory.string());
  ASSERT_TRUE(run_until(io, [&] { return !owner().empty() && owner() != predecessor; }));
  write_json(directory / "open.json", addressed_to(owner(), "open.json"));
  write_json(directory / "state.json", addressed_to(owner(), "state.json"));
  ASSERT_NE(gateway.log_until(": ready").find(": ready"), std::string::npos);

  const json figures = json::parse(call_admin(admin, "GET /-/metrics"));
  EXPECT_EQ(figures.at("known_booking_servers"), 3);
  EXPECT_EQ(figures.at("skipped_booking_servers"), 1);
  EXPECT_EQ(status_of(kExhausted, "narrow"), 429);
  EXPECT_EQ(status_of(kFresh, "narrow"), 200);

  ASSERT_TRUE(run_until(io, [&] { return status_of(kBusy, "single") == 429; }));
  json open = addressed_to(owner(), "open.json");
  EXPECT_EQ(open.at("open").size(), 1u);
  open["open"] = json::object();
  write_json(directory / "open.json", open);
  EXPECT_TRUE(run_until(io, [&] { return status_of(kBusy, "single") == 200; }));

  for (int i = 0; i < 40; ++i) EXPECT_EQ(status_of(kSteady, "wide"), 200);
  EXPECT_GE(servers[0].requests.size(), 36u);
  EXPECT_LE(servers[1].requests.size(), 6u);  // in slow start, and had its part from the process before
  EXPECT_EQ(servers[2].requests.size(), 0u);  // disabled
}

}  // namespace
}  // namespace quota_gateway::net::testing
