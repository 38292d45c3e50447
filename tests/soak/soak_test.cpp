// Seeded runs of the program itself amid everything at once: system calls that fail, a stepped wall clock,
// servers that hang, reset, turn away and drain, clients that leave or stop, signals in series, and an end by
// SIGKILL at the earliest moment. QUOTA_GATEWAY_SOAK="FIRST COUNT" chooses the seeds.
#include <random>
#include <set>
#include <sstream>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kSlack{50};            // by which every limit is longer on sockets
constexpr milliseconds kHeldUp{150};          // that a gateway may lose between its clock and a write
constexpr milliseconds kGone{100};            // after a client has left no attempt begins
constexpr milliseconds kDrainGrace{250};      // and nothing new to a server that drains
constexpr milliseconds kLate{500};            // after its time an answer only earns nothing
constexpr milliseconds kStoppedIsOwed{3000};  // an error or a close
constexpr milliseconds kEarliestKill{3700};   // after SIGTERM
constexpr milliseconds kService{3500}, kTick{5};

struct Asked {
  SteadyClock::time_point sent;
  milliseconds patience{0};
  std::optional<SteadyClock::time_point> left;  // its client
};

class Soak {
 public:
  explicit Soak(unsigned seed) : random_(seed), crowd_(seed % 3 == 0) {
    for (int i = 0; i < 5; ++i) {
      servers_.push_back(std::make_unique<FakeServer>(io_));
      servers_.back()->on_request = [this, i](Peer& p, const Request_& r) { serve(i, p, r); };
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
    watch_lag();
    for (int i = 0; i < 12; ++i) begin_client();
    for (int i = 0; crowd_ && i < 150; ++i) idle_.push_back(connected());
    for (const int at : {700, 720, 1500}) after(milliseconds(at), [this, at] { reconfigure(at); });
    after(milliseconds(1800), [this] { drain(1); });
    after(milliseconds(2400), [this] { drain(2); });
    for (int i = 0; i < 8; ++i) after(milliseconds(pick(300, 6'500)), [this] { hold_up(); });
    after(kService, [this] { terminate(); });
    const auto end = SteadyClock::now() + kService + kEarliestKill;
    until(io_, [&] { return SteadyClock::now() >= end; });
    process_->kill();
    EXPECT_GT(answered_, 50);
    std::string list;
    for (const std::string& wrong : wrongs_) list += wrong + "\n";
    EXPECT_EQ(list, "") << "faults " << faults_;
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    int requests = 0;
  };
  using Held = std::shared_ptr<Connection>;

  int pick(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  void after(milliseconds delay, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, what](error_code ec) {
      if (!ec) what();
    });
  }
  // How late this process itself has been; it sees what happened so much later.
  void watch_lag() {
    const auto due = SteadyClock::now() + kTick;
    after(kTick, [this, due] {
      lag_ = std::max(lag_ * 99 / 100, std::chrono::duration_cast<milliseconds>(SteadyClock::now() - due));
      watch_lag();
    });
  }
  void expect_within(SteadyClock::duration took, milliseconds allowed, const std::string& what) {
    if (took <= allowed + kSlack + 2 * lag_) return;
    wrongs_.insert(what + " " + std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) +
                   " ms");
  }

  std::string settings(std::size_t discovery) {
    std::string members;
    for (std::size_t i = 0; i < servers_.size(); ++i)
      members += (i ? "," : "") + entry("s" + std::to_string(i), servers_[i]->text());
    auto json = nlohmann::json::parse(config(port_, *servers_[0], discoveries_[discovery]));
    json["known"] = nlohmann::json::parse(list(41, true, members));
    json["limits"]["sockets"] = crowd_ ? 128 : 1024;
    json["settings"]["TiersOfService"][0]["QuotaRate"] = json["settings"]["TiersOfService"][0]["Depth"] = 1e6;
    json["settings"]["Obligations"]["StopSendingWithinUs"] = 250'000;
    json["settings"]["Limits"]["MayCancel"] = true;
    return json.dump();
  }
  void reconfigure(int at) { process_->reconfigure(settings(at < 1000 ? 1 : 0)); }
  void drain(int server) {
    drained_[server] = SteadyClock::now();
    const std::string change =
        list(42 + server, false,
             entry("s" + std::to_string(server), servers_[std::size_t(server)]->text(), "draining"));
    for (FakeDiscovery& d : discoveries_) {
      d.first = change;  // for those that ask anew
      for (auto& peer : d.peers)
        if (!peer->over) peer->write(FakeDiscovery::chunk(change));
    }
  }
  // As a machine short of processor time does.
  void hold_up() {
    if (std::exchange(held_up_, true)) return;
    process_->stop();
    after(milliseconds(pick(50, 150)), [this] {
      process_->go_on();
      held_up_ = false;
    });
  }
  void terminate() {
    terminated_ = true;
    process_->terminate();
    process_->reconfigure(settings(1));
    process_->terminate();
  }

  void serve(int server, Peer& peer, const Request_& request) {
    const auto now = SteadyClock::now();
    const std::string id(request["X-Trace-Id"]);
    const Asked& asked = asked_[id];
    const milliseconds told(std::stoll(std::string(request["X-Expires-In"])) / 1000);
    expect_within(now - asked.sent + told, asked.patience + kHeldUp, "told more than is left " + id);
    if (asked.left) expect_within(now - *asked.left, kGone, "sent on after its client had left " + id);
    if (const auto at = drained_.find(server); at != drained_.end())
      expect_within(now - at->second, kDrainGrace, "sent to a server that drains " + id);
    const auto answer = [this, self = peer.shared_from_this()](const std::string& text) {
      if (!self->over) self->write(text);
    };
    const int kind = pick(0, 99);
    if (kind < 4 || (terminated_ && kind < 30)) return;  // hangs
    if (kind < 7) return peer.reset();
    if (kind < 12) return answer(reply("503 No", "X-Never-Ran: 1\r\n"));
    after(milliseconds(pick(0, 120)), [answer, id] { answer(reply("200 OK", "", id)); });
  }

  Held connected() {
    auto held = std::make_shared<Connection>(io_);
    error_code ec;
    held->socket.connect({asio::ip::address_v4::loopback(), port_}, ec);
    return ec ? nullptr : held;
  }
  void begin_client() {
    if (const Held c = connected()) ask(c);
  }
  void ask(const Held& c) {
    const std::string id = "r" + std::to_string(++last_);
    Asked& asked = asked_[id];
    asked.patience = milliseconds(pick(2, 20) * 100);
    asked.sent = SteadyClock::now();
    std::string text = get(id);
    text.replace(text.find("4000m"), 5, std::to_string(asked.patience.count()) + "m");
    const int kind = pick(0, 99);
    const bool stops = kind < 4, leaves = !stops && kind < 12;
    if (stops) text.resize(text.size() / 2);
    error_code ignored;
    asio::write(c->socket, asio::buffer(text), ignored);
    ++c->requests;
    const auto over = std::make_shared<bool>(false);
    if (leaves)
      after(milliseconds(pick(0, 80)), [this, c, id, over] {
        if (std::exchange(*over, true)) return;
        asked_[id].left = SteadyClock::now();
        error_code ec;
        c->socket.close(ec);
        begin_client();
      });
    if (!stops)
      after(asked.patience + kLate, [this, over, id, sent = asked.sent] {
        if (!*over) wrongs_.insert("no answer in time " + id);
      });
    c->answer = {};
    http::async_read(c->socket, c->buffer, c->answer, [this, c, id, stops, over](error_code ec, std::size_t) {
      if (std::exchange(*over, true)) return;
      const auto took = SteadyClock::now() - asked_[id].sent;
      if (stops) {
        expect_within(took, kStoppedIsOwed, "stopped and not ended " + id);
        return begin_client();
      }
      // On a connection that was kept the request may have crossed its end; the client asks once more.
      const bool may_shut_unread = crowd_ && c->requests == 1;
      if (ec && c->requests == 1 && !may_shut_unread) wrongs_.insert("lost " + id + " " + ec.message());
      if (!ec) ++answered_;
      const bool keep = !ec && c->answer.keep_alive();
      after(milliseconds(pick(0, 60)), [this, c, keep] { keep ? ask(c) : begin_client(); });
    });
  }

  asio::io_context io_;
  std::mt19937 random_;
  const bool crowd_;
  std::string faults_;
  const std::uint16_t port_ = free_port(io_);
  std::vector<std::unique_ptr<FakeServer>> servers_;
  std::deque<FakeDiscovery> discoveries_;
  std::optional<Process> process_;
  std::map<std::string, Asked> asked_;
  std::map<int, SteadyClock::time_point> drained_;
  std::vector<Held> idle_;
  std::set<std::string> wrongs_;
  milliseconds lag_{0};
  bool terminated_ = false, held_up_ = false;
  int last_ = 0, answered_ = 0;
};

TEST(Soak, NoRequestIsLostLateOrMisroutedAmidEverythingAtOnce) {
  unsigned first = 1, count = 6;
  if (const char* chosen = std::getenv("QUOTA_GATEWAY_SOAK")) std::istringstream(chosen) >> first >> count;
  for (unsigned seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    Soak(seed).run();
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
