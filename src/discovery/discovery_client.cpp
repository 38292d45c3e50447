#include "discovery/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "network/stream_io.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// us; two heartbeats missed and some. What a silent watch misses counts as told after 6 s, and is yet to be
// got.
constexpr Micros kQuiet = 4'500'000;
constexpr Micros kGraceParts =
    4;  // of the grace after news counts as told; one to ask again, one for the answer
// us; a few calls that fail on the way still leave time to know the news. The agent is on our own machine.
constexpr Micros kMostAtOnce = 250'000, kFirstLine = 1'000'000;
constexpr Micros kFirstBackoff = 100'000, kMostBackoff = 1'000'000;
constexpr std::size_t kMostPending = 4 << 20;  // of one line
constexpr Micros kLogEvery = 10'000'000;

EndpointState parse_state(const std::string& phase) {
  if (phase == "draining") return EndpointState::kDraining;
  if (phase == "removed") return EndpointState::kRemoved;
  if (phase == "up") return EndpointState::kUp;
  throw std::runtime_error("unknown phase " + phase);
}

}  // namespace

tcp::endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos) throw std::runtime_error("no port in address '" + text + "'");
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || stop != end || port > 65535)
    throw std::runtime_error("bad port in address '" + text + "'");
  error_code bad;
  const auto address = asio::ip::make_address(text.substr(0, colon), bad);
  if (bad) throw std::runtime_error("bad address '" + text + "'");
  return {address, static_cast<unsigned short>(port)};
}

DiscoveryUpdate parse_discovery_update(const nlohmann::json& list) {
  DiscoveryUpdate out;
  out.revision = list.at("revision").get<std::int64_t>();
  out.complete = list.value("complete", false);
  for (const auto& m : list.at("members")) {
    DiscoveredEndpoint member;
    EndpointEntry& e = member.entry;
    e.endpoint = m.at("id").get<std::string>();
    e.state = parse_state(m.at("phase").get<std::string>());
    if (e.state != EndpointState::kRemoved || m.contains("host_port"))
      member.address = parse_endpoint(m.at("host_port").get<std::string>());
    e.zone = m.value("locality", "");
    e.hardware = m.value("flavor", "");
    e.cell = m.value("cell", std::int64_t{0});
    e.weight = m.value("size", 1.0);
    e.started_at = m.value("up_since_ms", std::int64_t{0}) * 1000;
    out.endpoints.push_back(std::move(member));
  }
  return out;
}

DiscoveryClient::DiscoveryClient(asio::io_context& io, Timers& timers, const Clock& clock,
                                 tcp::endpoint agent, std::int64_t revision, Micros drain_grace,
                                 UpdateCallback told)
    : io_(io),
      timers_(timers),
      clock_(clock),
      agent_(std::move(agent)),
      revision_(revision),
      at_once_(drain_grace > 0 ? std::min(drain_grace / kGraceParts, kMostAtOnce) : kMostAtOnce),
      told_(std::move(told)),
      socket_(io) {}

void DiscoveryClient::start() { connect(); }

void DiscoveryClient::reconnect_to(const tcp::endpoint& agent) {
  if (agent == agent_) return;
  agent_ = agent;
  backoff_ = 0;
  lost("moved");
}

// Danger: a watch can break without a word, a connect can hang, and an answer can stall. The agent answers at
// once, with a line, and sends at least an empty one every 2 s.
void DiscoveryClient::watch_quiet(int life) {
  if (life != life_) return;
  const Micros until = answered_ ? heard_ + kQuiet : std::min(heard_ + at_once_, began_ + kFirstLine);
  if (clock_.now() >= until) return lost("quiet");
  timers_.schedule_at(until, [this, life] { watch_quiet(life); });
}

void DiscoveryClient::connect() {
  const int life = ++life_;
  heard_ = began_ = clock_.now();
  pending_.clear();
  lines_.clear();
  object_.clear();
  depth_ = 0;
  quoted_ = escaped_ = answered_ = false;
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);  // a watch has no end; each line has one
  socket_ = tcp::socket(io_);
  socket_.async_connect(agent_, [this, life](error_code ec) {
    if (life != life_) return;
    // Danger: we may have stood still; the agent's time to answer begins only now.
    heard_ = began_ = clock_.now();
    ec ? lost(ec.message()) : request(life);
  });
  watch_quiet(life);
}

void DiscoveryClient::request(int life) {
  request_ = "GET /catalog/members?watch=1";
  if (!whole_) request_ += "&after=" + std::to_string(revision_);
  request_ += " HTTP/1.1\r\nHost: " + agent_.address().to_string() + "\r\n\r\n";
  error_code ignored;
  socket_.non_blocking(true, ignored);
  write_all(
      socket_, request_, [this, life] { return life == life_; },
      [this, life](error_code ec, std::size_t) {
        if (life == life_ && ec) lost(ec.message());
      });
  read(life);
}

void DiscoveryClient::read(int life) {
  socket_.async_read_some(asio::buffer(chunk_), [this, life](error_code ec, std::size_t size) {
    if (life != life_) return;
    if (ec) return lost(ec.message());
    // Danger: bytes that end no line are no heartbeat, nor is an answer that has begun a watch.
    if (!answered_) heard_ = clock_.now();
    try {
      took(size);
    } catch (const std::exception& e) {
      // Danger: what was not understood is a gap; only the whole list closes it.
      whole_ = true;
      return lost(e.what());
    }
    if (life == life_) read(life);
  });
}

void DiscoveryClient::took(std::size_t size) {
  pending_.append(chunk_.data(), size);
  while (!pending_.empty()) {
    error_code ec;
    const std::size_t used = parser_->put(asio::buffer(pending_), ec);
    pending_.erase(0, used);
    if (ec && ec != http::error::need_more) throw std::runtime_error(ec.message());
    if (used == 0) break;
  }
  if (!parser_->is_header_done()) return;
  turned_away_ = parser_->get().result() != http::status::ok;
  if (turned_away_) throw std::runtime_error("status " + std::to_string(parser_->get().result_int()));
  lines_ += parser_->get().body();
  parser_->get().body().clear();
  std::size_t start = 0;
  for (auto end = lines_.find('\n'); end != std::string::npos; end = lines_.find('\n', start)) {
    line(lines_.substr(start, end - start));
    start = end + 1;
  }
  lines_.erase(0, start);
  if (std::max({lines_.size(), pending_.size(), object_.size()}) > kMostPending)
    throw std::runtime_error("a line has no end");
  if (parser_->is_done()) lost("the watch ended");
}

void DiscoveryClient::line(const std::string& text) {
  const bool blank = text.find_first_not_of(" \r\t") == std::string::npos;
  if (!blank) object_ += text;
  if (!blank && !ends_object(text)) return;  // indented, it goes on in the next line
  backoff_ = 0;
  answered_ = true;
  heard_ = clock_.now();
  if (blank) return;  // a heartbeat
  const DiscoveryUpdate list = parse_discovery_update(nlohmann::json::parse(std::exchange(object_, {})));
  if (is_outdated(list)) return;
  revision_ = list.revision;
  whole_ = false;
  told_(list);
}

// Danger: an agent may lag behind the one before it. What it tells was true before what we know; it would
// bring servers that drain back into use. Changes after our own revision follow once it has caught up.
bool DiscoveryClient::is_outdated(const DiscoveryUpdate& list) {
  if (list.revision >= revision_) return false;
  const Micros now = clock_.now();
  if (now - logged_ > kLogEvery) {
    logged_ = now;
    std::cerr << "discovery: revision " << list.revision << " is older than " << revision_ << ", left\n";
  }
  return true;
}

bool DiscoveryClient::ends_object(const std::string& text) {
  for (const char ch : text) {
    if (std::exchange(escaped_, false)) continue;
    escaped_ = quoted_ && ch == '\\';
    if (ch == '"') quoted_ = !quoted_;
    if (!quoted_) depth_ += (ch == '{' || ch == '[') - (ch == '}' || ch == ']');
  }
  return depth_ <= 0 && !quoted_;
}

void DiscoveryClient::lost(const std::string& why) {
  error_code ignored;
  socket_.close(ignored);
  const int life = ++life_;
  const Micros now = heard_ = clock_.now();
  if (now - logged_ > kLogEvery) {
    logged_ = now;
    std::cerr << "discovery: " << why << "; watching again from " << revision_ << '\n';
  }
  const Micros wait = backoff_;
  // Danger: what the agent gets when discovery returns counts as told at once. One that turns us away has too
  // many callers already.
  const Micros most = std::exchange(turned_away_, false) ? kMostBackoff : at_once_;
  backoff_ = std::clamp(2 * backoff_, std::min(kFirstBackoff, most), most);
  timers_.schedule_after(wait, [this, life] {
    if (life == life_) connect();
  });
}

}  // namespace quota_gateway::net
