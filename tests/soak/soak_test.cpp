// Seeded soak of the program under all faults at once: failing system calls, a stepped wall clock, servers
// that hang, reset, reject and drain, clients that disconnect or stall, signals in series, and SIGKILL at the
// earliest moment. QUOTA_GATEWAY_SOAK="FIRST COUNT" chooses the seeds.
#include <random>
#include <set>
#include <sstream>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kSlack{50};             // added to every limit, for sockets and scheduling
constexpr milliseconds kMaxWriteDelay{150};    // between reading the clock and a write
constexpr milliseconds kDisconnectGrace{100};  // after which no attempt starts for a disconnected client
constexpr milliseconds kDrainGrace{250};       // after which nothing new is sent to a draining server
constexpr milliseconds kLateResponse{500};     // by which a response may miss the client timeout
constexpr milliseconds kStallTimeout{3000};    // until a stalled client gets an error or a close
constexpr milliseconds kEarliestKill{3700};    // after SIGTERM
constexpr milliseconds kServiceTime{3500};
constexpr milliseconds kLagInterval{5};

struct SentRequest {
  SteadyClock::time_point sent_at;
  milliseconds timeout{0};
  std::optional<SteadyClock::time_point> disconnected_at;  // when its client disconnected
};

class Soak {
 public:
  explicit Soak(unsigned seed) : random_(seed), crowded_(seed % 3 == 0) {
    for (int i = 0; i < 5; ++i) {
      servers_.push_back(std::make_unique<FakeEndpoint>(io_));
      servers_.back()->on_request = [this, i](Peer& p, const HttpRequest& r) { serve(i, p, r); };
    }
    discoveries_.emplace_back(io_);
    discoveries_.emplace_back(io_);
    const long step = std::vector<long>{0, 5, -5, 3600, -3600}[seed % 5];
    faults_ = "random:" + std::to_string(seed) + ":" + std::to_string(pick(0, 40)) +
              " wall:" + std::to_string(step) + ":1500";
  }

  void run() {
    process_.emplace(settings(0), -1, "", faults_);
    ASSERT_NE(process_->log_until(": ready").find(": ready"), std::string::npos);
    measure_lag();
    for (int i = 0; i < 12; ++i) start_client();
    for (int i = 0; crowded_ && i < 150; ++i) idle_connections_.push_back(connect());
    for (const int at : {700, 720, 1500}) after(milliseconds(at), [this, at] { reconfigure(at); });
    after(milliseconds(1800), [this] { drain(1); });
    after(milliseconds(2400), [this] { drain(2); });
    for (int i = 0; i < 8; ++i) after(milliseconds(pick(300, 6'500)), [this] { suspend(); });
    after(kServiceTime, [this] { terminate(); });
    const auto end = SteadyClock::now() + kServiceTime + kEarliestKill;
    run_until(io_, [&] { return SteadyClock::now() >= end; });
    process_->kill();
    EXPECT_GT(responses_, 50);
    std::string list;
    for (const std::string& violation : violations_) list += violation + "\n";
    EXPECT_EQ(list, "") << "faults " << faults_;
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    int requests = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  int pick(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  void after(milliseconds delay, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, what](error_code ec) {
      if (!ec) what();
    });
  }
  // Measures how late this process itself runs, since it observes events that much later.
  void measure_lag() {
    const auto due = SteadyClock::now() + kLagInterval;
    after(kLagInterval, [this, due] {
      lag_ = std::max(lag_ * 99 / 100, std::chrono::duration_cast<milliseconds>(SteadyClock::now() - due));
      measure_lag();
    });
  }
  void expect_within(SteadyClock::duration elapsed, milliseconds allowed, const std::string& what) {
    if (elapsed <= allowed + kSlack + 2 * lag_) return;
    violations_.insert(what + " " +
                       std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count()) + " ms");
  }

  std::string settings(std::size_t discovery) {
    std::string members;
    for (std::size_t i = 0; i < servers_.size(); ++i)
      members += (i ? "," : "") + endpoint_json("s" + std::to_string(i), servers_[i]->address_text());
    auto json = nlohmann::json::parse(configuration_json(port_, *servers_[0], discoveries_[discovery]));
    json["known"] = nlohmann::json::parse(update_json(41, true, members));
    json["limits"]["sockets"] = crowded_ ? 128 : 1024;
    json["settings"]["TiersOfService"][0]["QuotaRate"] = json["settings"]["TiersOfService"][0]["Depth"] = 1e6;
    json["settings"]["Obligations"]["StopSendingWithinUs"] = 250'000;
    json["settings"]["Limits"]["MayCancel"] = true;
    return json.dump();
  }
  void reconfigure(int at) { process_->reconfigure(settings(at < 1000 ? 1 : 0)); }
  void drain(int server) {
    drained_[server] = SteadyClock::now();
    const std::string change =
        update_json(42 + server, false,
                    endpoint_json("s" + std::to_string(server), servers_[std::size_t(server)]->address_text(),
                                  "draining"));
    for (FakeDiscovery& d : discoveries_) {
      d.first_update = change;  // for new watches
      for (auto& peer : d.peers)
        if (!peer->closed) peer->write(FakeDiscovery::chunk(change));
    }
  }
  // Suspends the program, as a machine short of processor time does.
  void suspend() {
    if (std::exchange(suspended_, true)) return;
    process_->suspend();
    after(milliseconds(pick(50, 150)), [this] {
      process_->resume();
      suspended_ = false;
    });
  }
  void terminate() {
    terminated_ = true;
    process_->terminate();
    process_->reconfigure(settings(1));
    process_->terminate();
  }

  void serve(int server, Peer& peer, const HttpRequest& request) {
    const auto now = SteadyClock::now();
    const std::string id(request["X-Trace-Id"]);
    const SentRequest& sent = requests_[id];
    const milliseconds time_left(std::stoll(std::string(request["X-Expires-In"])) / 1000);
    expect_within(now - sent.sent_at + time_left, sent.timeout + kMaxWriteDelay,
                  "told more than the time left " + id);
    if (sent.disconnected_at)
      expect_within(now - *sent.disconnected_at, kDisconnectGrace,
                    "sent after its client had disconnected " + id);
    if (const auto at = drained_.find(server); at != drained_.end())
      expect_within(now - at->second, kDrainGrace, "sent to a draining server " + id);
    const auto respond = [this, self = peer.shared_from_this()](const std::string& text) {
      if (!self->closed) self->write(text);
    };
    const int kind = pick(0, 99);
    if (kind < 4 || (terminated_ && kind < 30)) return;  // hangs
    if (kind < 7) return peer.reset();
    if (kind < 12) return respond(reply("503 No", "X-Never-Ran: 1\r\n"));
    after(milliseconds(pick(0, 120)), [respond, id] { respond(reply("200 OK", "", id)); });
  }

  ConnectionPtr connect() {
    auto connection = std::make_shared<Connection>(io_);
    error_code ec;
    connection->socket.connect({asio::ip::address_v4::loopback(), port_}, ec);
    return ec ? nullptr : connection;
  }
  void start_client() {
    if (const ConnectionPtr connection = connect()) send_request(connection);
  }
  void send_request(const ConnectionPtr& connection) {
    const std::string id = "r" + std::to_string(++last_id_);
    SentRequest& sent = requests_[id];
    sent.timeout = milliseconds(pick(2, 20) * 100);
    sent.sent_at = SteadyClock::now();
    std::string text = get_request(id);
    text.replace(text.find("4000m"), 5, std::to_string(sent.timeout.count()) + "m");
    const int kind = pick(0, 99);
    const bool stalls = kind < 4, disconnects = !stalls && kind < 12;
    if (stalls) text.resize(text.size() / 2);
    error_code ignored;
    asio::write(connection->socket, asio::buffer(text), ignored);
    ++connection->requests;
    const auto done = std::make_shared<bool>(false);
    if (disconnects)
      after(milliseconds(pick(0, 80)), [this, connection, id, done] {
        if (std::exchange(*done, true)) return;
        requests_[id].disconnected_at = SteadyClock::now();
        error_code ec;
        connection->socket.close(ec);
        start_client();
      });
    if (!stalls)
      after(sent.timeout + kLateResponse, [this, done, id] {
        if (!*done) violations_.insert("no response in time " + id);
      });
    connection->response = {};
    http::async_read(connection->socket, connection->buffer, connection->response,
                     [this, connection, id, stalls, done](error_code ec, std::size_t) {
                       if (std::exchange(*done, true)) return;
                       const auto elapsed = SteadyClock::now() - requests_[id].sent_at;
                       if (stalls) {
                         expect_within(elapsed, kStallTimeout, "stalled client not closed " + id);
                         return start_client();
                       }
                       // On a reused connection the request may have crossed its close; the client retries
                       // once.
                       const bool may_close_unread = crowded_ && connection->requests == 1;
                       if (ec && connection->requests == 1 && !may_close_unread)
                         violations_.insert("lost " + id + " " + ec.message());
                       if (!ec) ++responses_;
                       const bool keep = !ec && connection->response.keep_alive();
                       after(milliseconds(pick(0, 60)),
                             [this, connection, keep] { keep ? send_request(connection) : start_client(); });
                     });
  }

  asio::io_context io_;
  std::mt19937 random_;
  const bool crowded_;
  std::string faults_;
  const std::uint16_t port_ = free_port(io_);
  std::vector<std::unique_ptr<FakeEndpoint>> servers_;
  std::deque<FakeDiscovery> discoveries_;
  std::optional<Process> process_;
  std::map<std::string, SentRequest> requests_;
  std::map<int, SteadyClock::time_point> drained_;
  std::vector<ConnectionPtr> idle_connections_;
  std::set<std::string> violations_;
  milliseconds lag_{0};
  bool terminated_ = false, suspended_ = false;
  int last_id_ = 0, responses_ = 0;
};

TEST(Soak, NoRequestIsLostLateOrMisroutedUnderAllFaults) {
  unsigned first = 1, count = 6;
  if (const char* chosen = std::getenv("QUOTA_GATEWAY_SOAK")) std::istringstream(chosen) >> first >> count;
  for (unsigned seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    Soak(seed).run();
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
