#include "upstream/upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <string_view>

#include "network/stream_io.hpp"
#include "network/system_errors.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using ResponseParser = http::response_parser<http::buffer_body>;

constexpr double kIdleShare = 0.4;  // of the servers' idle limit; they may close somewhat earlier
constexpr Micros kSettle = 20'000;  // us; a second answer may come some milliseconds after the first
constexpr Micros kSweep = 500'000;
constexpr Micros kDialAgain = 20'000;
constexpr std::uint32_t kMostHeader = 16 << 10;

// "TEXT inflight=7, queue=2, util=0.61"; what is not understood counts as not said.
LoadReport parse_load(std::string_view text) {
  LoadReport load;
  const std::array<std::pair<std::string_view, double*>, 12> names{{{"inflight", &load.in_flight},
                                                                    {"active", &load.in_flight},
                                                                    {"queue", &load.queued},
                                                                    {"waiting", &load.queued},
                                                                    {"util", &load.cpu},
                                                                    {"cpu", &load.cpu},
                                                                    {"latency_ms", &load.service_ms},
                                                                    {"avg_ms", &load.service_ms},
                                                                    {"qps", &load.served_per_s},
                                                                    {"rps", &load.served_per_s},
                                                                    {"eps", &load.errors_per_s},
                                                                    {"err_rps", &load.errors_per_s}}};
  if (text.substr(0, 5) == "TEXT ") text.remove_prefix(5);
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) continue;
    double value = 0;
    const auto ec = std::from_chars(part.data() + equals + 1, part.data() + part.size(), value).ec;
    if (ec != std::errc() || !std::isfinite(value) || value < 0) continue;
    for (const auto& [name, field] : names)
      if (part.substr(0, equals) == name) *field = value;
  }
  return load;
}

// What cannot be read as units counts as not said.
double parse_billed(std::string_view text) {
  double units = 0;
  const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), units);
  return ec == std::errc() && stop == text.data() + text.size() && std::isfinite(units) && units > 0 ? units
                                                                                                     : 0;
}

// Never-ran only when the protocol proves it: a plain 503 or 504 may come from a server that did the work.
Outcome outcome_of(const ResponseParser::value_type& answer) {
  if (answer.result() == http::status::ok) return Outcome::kOk;
  const bool turned_away = answer.result() == http::status::service_unavailable ||
                           answer.result() == http::status::gateway_timeout;
  return turned_away && answer["X-Never-Ran"] == "1" ? Outcome::kOverloaded : Outcome::kError;
}

AttemptResult result_of(const ResponseParser::value_type& answer) {
  AttemptResult result;
  result.outcome = outcome_of(answer);
  const auto load = answer["Endpoint-Load-Metrics"];
  result.load = parse_load({load.data(), load.size()});
  const auto billed = answer["Billed-Units"];
  result.billed_units = parse_billed({billed.data(), billed.size()});
  return result;
}

// False if the peer has sent something or closed.
bool nothing_to_read(int socket) {
  char byte;
  ssize_t got = 0;
  do got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  while (got < 0 && errno == EINTR);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

// Danger: every handler may run after its connection was closed; each asks `closed` first.
class Upstream::Connection {
 public:
  Connection(asio::io_context& io, BodyBudget& budget) : socket(io), share(budget) {}
  enum class State { kConnecting, kWriting, kWaiting, kIdle, kClosed };
  State state = State::kConnecting;
  std::string endpoint;
  tcp::endpoint address;
  tcp::socket socket;
  AttemptKey attempt;
  std::string head;  // up to the time that its server is told
  std::string out, pending, body;
  Micros until = 0;  // the attempt may take
  std::shared_ptr<BodyUpload> upload;
  std::optional<ResponseParser> parser;
  BodyBudget::Share share;
  std::uint64_t passed = 0;  // bytes of the answer that went on to the client
  std::size_t written = 0;   // bytes of `out` that the kernel has taken
  bool reading = false;
  bool failed_here = false;  // its last dial, by no fault of the server's
  bool last = false;         // `out` ends with the attempt's last byte
  bool begun = false;        // its answer goes on to the client as it comes
  bool paused = false;       // until the client has taken what there was
  bool reset = false;        // by its server, as a write was told
  Micros heard = 0;
  Micros idle_since = 0;
};

Upstream::Upstream(asio::io_context& io, Timers& timers, const Clock& clock, UpstreamLimits limits,
                   BodyBudget& budget, Callbacks callbacks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      limits_(limits),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      chunk_(kReadSize) {
  sweep();
}
Upstream::~Upstream() = default;

void Upstream::update_endpoints(const DiscoveryUpdate& list) {
  if (list.complete) {
    std::set<std::string> listed;
    for (const DiscoveredEndpoint& m : list.endpoints) listed.insert(m.entry.endpoint);
    for (auto it = pools_.begin(); it != pools_.end();) {
      if (!listed.count(it->first)) drop_idle(it->second);
      it = listed.count(it->first) ? std::next(it) : pools_.erase(it);
    }
  }
  for (const DiscoveredEndpoint& m : list.endpoints) {
    if (m.entry.state == EndpointState::kRemoved) {
      if (const auto it = pools_.find(m.entry.endpoint); it != pools_.end()) {
        drop_idle(it->second);
        pools_.erase(it);
      }
      continue;
    }
    Pool& pool = pools_[m.entry.endpoint];
    const bool told_address = m.address.port() != 0;
    const bool other = m.entry.started_at != pool.started_at || (told_address && m.address != pool.address);
    pool.up = m.entry.state == EndpointState::kUp && told_address;
    pool.started_at = m.entry.started_at;
    if (told_address) pool.address = m.address;
    // Danger: connections to a process that is gone may stay open and silent.
    if (other) drop_idle(pool);
  }
}

void Upstream::set_disabled(const std::string& server, bool disabled) {
  disabled ? disabled_.insert(server).second : disabled_.erase(server) > 0;
  const auto found = pools_.find(server);
  if (found == pools_.end()) return;
  drop_idle(found->second);  // it will be restarted
}

void Upstream::drop_idle(Pool& pool) {
  while (!pool.idle.empty()) drop(*Held(pool.idle.back()));
}

Upstream::Pool* Upstream::open_pool(const std::string& server) {
  const auto found = pools_.find(server);
  return found != pools_.end() && found->second.up && !disabled_.count(server) ? &found->second : nullptr;
}

void Upstream::send(AttemptKey key, const std::string& server, const OutgoingRequest& what, Micros until) {
  Pool* const pool = open_pool(server);
  if (!pool) return end_later(key, Outcome::kNotSent);
  Held c = take_idle(*pool);
  const bool fresh = !c;
  if (fresh) {
    if (!make_room()) return end_later(key, Outcome::kNotSent);
    c = std::make_shared<Connection>(io_, budget_);
    c->endpoint = server;
    c->address = pool->address;
    ++open_;
  }
  c->attempt = key;
  c->until = until;
  c->upload = what.upload;
  c->head.clear();
  c->head.append(what.method).append(" ").append(what.target).append(" HTTP/1.1\r\nHost: ").append(what.host);
  c->head.append("\r\nX-Trace-Id: ").append(what.trace_id);
  if (!what.idempotency_key.empty()) c->head.append("\r\nIdempotency-Key: ").append(what.idempotency_key);
  c->out.clear();
  const bool chunked = c->upload && !c->upload->length();
  if (chunked)
    c->out.append("\r\nTransfer-Encoding: chunked");
  else if (c->upload || !what.body.empty() || what.method != "GET")
    c->out.append("\r\nContent-Length: ")
        .append(std::to_string(c->upload ? *c->upload->length() : what.body.size()));
  c->out.append("\r\n\r\n").append(what.body);
  attempts_.emplace(key, c);
  fresh ? connect(c) : write(c);
}

// Danger: a connection may come up late, or we may have stood still; the server is told what is left now.
std::string Upstream::head_with_time_left(const Connection& c) const {
  return c.head + "\r\nX-Expires-In: " + std::to_string(c.until - clock_.now()) + "u";
}

bool Upstream::cancel(AttemptKey key) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) return false;
  const Held c = it->second;
  const bool written = c->state == Connection::State::kWaiting || c->begun;
  attempts_.erase(it);
  // A reset, so that nothing that is still on its way is taken for a request, nor an answer waited for.
  error_code ignored;
  c->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  drop(*c);
  return written;
}

bool Upstream::cancel_unless_written(AttemptKey key) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end() || it->second->state == Connection::State::kWaiting || it->second->begun)
    return false;
  cancel(key);
  return true;
}

// The one last used of those that have stood for long enough. Danger: what a server sends once more to the
// attempt before would be taken for the answer to this one.
Upstream::Held Upstream::take_idle(Pool& pool) {
  for (std::size_t i = pool.idle.size(); i-- > 0;) {
    const Held c = pool.idle[i];
    const Micros stood = clock_.now() - c->idle_since;
    const bool open = nothing_to_read(c->socket.native_handle());
    if (!open || double(stood) >= kIdleShare * double(limits_.idle_timeout)) {
      drop(*c);  // closed by the server, or about to be
    } else if (stood >= kSettle) {
      forget_idle(*c);
      return c;
    }
  }
  return nullptr;
}

bool Upstream::make_room() {
  if (open_ < limits_.max_connections) return true;
  Pool* oldest = nullptr;
  for (auto& [id, pool] : pools_)
    if (!pool.idle.empty() && (!oldest || pool.idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = &pool;
  if (!oldest) return false;
  drop(*Held(oldest->idle.front()));
  return true;
}

void Upstream::connect(const Held& c) {
  dial(c);
  timers_.schedule_after(limits_.connect_timeout, [this, weak = std::weak_ptr<Connection>(c)] {
    const Held c = weak.lock();
    if (!c || c->state != Connection::State::kConnecting) return;
    end(c, {c->failed_here ? Outcome::kNotSent : Outcome::kConnectFailed, {}, {}}, false);
  });
}

void Upstream::dial(const Held& c) {
  c->failed_here = false;
  c->socket.async_connect(c->address, [this, c](error_code ec) {
    if (c->state != Connection::State::kConnecting) return;
    if (is_local_connect_failure(ec)) return dial_again(c);
    if (ec) return end(c, {Outcome::kConnectFailed, {}, {}}, false);
    // Danger: where we have stood still, the news that the client has left may be handled in this turn, after
    // this.
    asio::post(io_, [this, c] { came_up(c); });
  });
}

void Upstream::came_up(const Held& c) {
  if (c->state != Connection::State::kConnecting) return;
  // Danger: the server may have been told off, or moved, while the connect was under way; and the request's
  // time may be over.
  const Pool* const pool = open_pool(c->endpoint);
  if (!pool || pool->address != c->address || c->until <= clock_.now())
    return end(c, {Outcome::kNotSent, {}, {}}, false);
  error_code ignored;
  c->socket.set_option(tcp::no_delay(true), ignored);
  c->socket.non_blocking(true, ignored);
  write(c);
}

// What this machine is short of for a moment is no fault of the server's. Until the dial time is over.
void Upstream::dial_again(const Held& c) {
  error_code ignored;
  c->socket.close(ignored);
  c->failed_here = true;
  timers_.schedule_after(kDialAgain, [this, weak = std::weak_ptr<Connection>(c)] {
    const Held c = weak.lock();
    if (c && c->state == Connection::State::kConnecting) dial(c);
  });
}

void Upstream::expect(Connection& c) {
  c.parser.emplace();
  c.parser->eager(true);
  c.parser->header_limit(kMostHeader);
  c.parser->body_limit(kMaxBodySize);
}

void Upstream::write(const Held& c) {
  c->state = Connection::State::kWriting;
  c->out.insert(0, head_with_time_left(*c));
  c->body.clear();
  c->passed = 0;
  c->begun = c->paused = false;
  c->last = !c->upload;
  c->written = 0;
  expect(*c);
  read(c);
  flush(c);
}

// Writes what is in `out`, and what is still to come of a large body after it. Danger: the kernel takes the
// last byte at once, while the news of a write may come after that of an answer or a reset; a request that
// may have run would count as never sent. So it is asked directly how much it took.
void Upstream::flush(const Held& c) {
  while (c->written < c->out.size()) {
    error_code ec;
    c->written += write_available(c->socket, asio::buffer(c->out) + c->written, ec);
    if (!ec) continue;
    const auto go_on = [this, c, key = c->attempt](error_code ec) {
      // Danger: an answer can come before this does, and the connection may carry the next attempt by now.
      if (c->state != Connection::State::kWriting || !(c->attempt == key)) return;
      ec ? end(c, {Outcome::kConnectFailed, {}, {}}, false) : flush(c);  // its last byte never left
    };
    if (ec == asio::error::would_block) return c->socket.async_wait(tcp::socket::wait_write, go_on);
    c->reset = ec == asio::error::connection_reset;  // told once; what is read after it looks like a close
    return asio::post(io_, [go_on, ec] { go_on(ec); });
  }
  if (!c->last) return pump(c);
  c->state = Connection::State::kWaiting;
  c->upload.reset();
  callbacks_.on_request_written();
}

void Upstream::pump(const Held& c) {
  BodyUpload& upload = *c->upload;
  if (upload.size() == 0 && !upload.is_finished()) {
    upload.wait_for_data([this, weak = std::weak_ptr<Connection>(c), key = c->attempt] {
      const Held c = weak.lock();
      if (c && c->state == Connection::State::kWriting && c->attempt == key) pump(c);
    });
    return;
  }
  c->out = upload.take_data();
  c->last = upload.is_finished();
  if (!upload.length()) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", c->out.size());
    if (!c->out.empty()) c->out.insert(0, size).append("\r\n");
    if (c->last) c->out += "0\r\n\r\n";
  }
  c->written = 0;
  flush(c);
}

// Nothing is read before there is something to read, so that all connections share one buffer.
void Upstream::read(const Held& c) {
  if (c->reading || c->paused) return;
  c->reading = true;
  c->socket.async_wait(tcp::socket::wait_read, [this, c](error_code ec) {
    c->reading = false;
    if (c->state == Connection::State::kClosed) return;
    if (c->state == Connection::State::kIdle) return drop(*c);  // closed, or an answer to nothing
    if (c->paused) return;
    std::size_t size = 0;
    if (!ec) size = read_available(c->socket, asio::buffer(chunk_), ec);
    if (ec == asio::error::would_block) return read(c);
    if (ec) return broke(c, ec);
    took(c, size);
    if (c->state != Connection::State::kClosed) read(c);
  });
}

void Upstream::took(const Held& c, std::size_t size) {
  c->heard = clock_.now();
  c->pending.append(chunk_.data(), size);
  while (!c->pending.empty() && !c->parser->is_done()) {
    error_code ec;
    const std::size_t used = put(*c->parser, c->pending, c->body, ec);
    c->pending.erase(0, used);
    if (ec && ec != http::error::need_more)
      return end(c, {Outcome::kReset, {}, {}}, false);  // not HTTP, or too large
    if (c->parser->is_header_done() && !passes_on(c)) return;
    if (ec == http::error::need_more) {
      // Danger: the parser sets no bound to a chunk's extension; a server may send one that never ends.
      if (c->pending.size() > kMostHeader) return end(c, {Outcome::kReset, {}, {}}, false);
      break;
    }
    if (c->parser->is_done() &&
        http::to_status_class(c->parser->get().result()) == http::status_class::informational) {
      expect(*c);
    } else if (used == 0) {
      break;
    }
  }
  if (c->begun && !c->body.empty()) {
    c->passed += c->body.size();
    c->paused = true;
    callbacks_.on_response_chunk(c->attempt, std::exchange(c->body, {}));
    if (c->state == Connection::State::kClosed) return;
  }
  if (c->parser->is_done()) answered(c);
}

// A small body is held; a good answer with a larger one goes on to the client as it comes. False: it ended
// here.
bool Upstream::passes_on(const Held& c) {
  // Danger: the parser's own limit lets an announced length pass, and a server may go on sending for ever.
  const auto length = c->parser->content_length();
  const std::uint64_t size = std::max<std::uint64_t>(length.value_or(0), c->passed + c->body.size());
  if (size > kMaxBodySize) {
    end(c, {Outcome::kReset, {}, {}}, false);
    return false;
  }
  if (c->begun) return true;
  c->share.set(c->body.size());
  if (size <= budget_.buffered_body_limit() || (c->parser->is_done() && size <= kBufferedBodyLimit))
    return true;
  AttemptResult head = result_of(c->parser->get());
  if (head.outcome != Outcome::kOk) {
    end(c, std::move(head), false);
    return false;
  }
  c->begun = true;
  c->share.set(0);
  callbacks_.on_response_started(c->attempt, head,
                                 length ? std::optional<std::uint64_t>(*length) : std::nullopt);
  return c->state != Connection::State::kClosed;
}

void Upstream::request_more(AttemptKey key) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) return;
  const Held c = it->second;
  c->paused = false;
  c->heard = clock_.now();
  read(c);
}

Micros Upstream::last_progress_at(AttemptKey key) const {
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) return 0;
  const Connection& c = *it->second;
  error_code ec;
  return c.paused || c.socket.available(ec) > 0 ? clock_.now() : c.heard;
}

void Upstream::answered(const Held& c) {
  AttemptResult result = result_of(c->parser->get());
  if (result.outcome == Outcome::kOk) result.body = std::move(c->body);
  // An answer that overtook the request leaves a connection in the middle of it.
  const bool keep =
      c->state == Connection::State::kWaiting && c->parser->get().keep_alive() && c->pending.empty();
  end(c, std::move(result), keep);
}

// Danger: only an orderly close is the end of an answer without a length; a reset has cut it short.
void Upstream::broke(const Held& c, error_code ec) {
  const bool orderly = ec == asio::error::eof && !c->reset;
  if (orderly && c->parser->got_some() && c->parser->is_header_done() && c->parser->need_eof()) {
    c->parser->put_eof(ec);
    if (!ec && c->parser->is_done()) return answered(c);
  }
  const bool whole = c->state == Connection::State::kWaiting || c->begun;
  end(c, {whole ? Outcome::kReset : Outcome::kConnectFailed, {}, {}}, false);
}

void Upstream::end(const Held& c, AttemptResult result, bool keep) {
  const AttemptKey key = c->attempt;
  attempts_.erase(key);
  Pool* const pool = open_pool(c->endpoint);
  if (keep && pool && pool->address == c->address) {
    c->state = Connection::State::kIdle;
    c->idle_since = clock_.now();
    c->parser.reset();
    c->out = c->head = {};
    pool->idle.push_back(c);
  } else {
    drop(*c);
  }
  c->upload.reset();
  c->share.set(0);
  c->body = {};
  callbacks_.on_attempt_ended(key, std::move(result));
}

void Upstream::drop(Connection& c) {
  if (c.state == Connection::State::kClosed) return;
  if (c.state == Connection::State::kIdle) forget_idle(c);
  c.state = Connection::State::kClosed;
  --open_;
  error_code ignored;
  c.socket.close(ignored);
}

void Upstream::forget_idle(Connection& c) {
  auto& idle = pools_[c.endpoint].idle;
  idle.erase(std::remove_if(idle.begin(), idle.end(), [&](const Held& h) { return h.get() == &c; }),
             idle.end());
}

void Upstream::end_later(AttemptKey key, Outcome outcome) {
  asio::post(io_, [this, key, outcome] { callbacks_.on_attempt_ended(key, {outcome, {}, {}}); });
}

void Upstream::sweep() {
  const Micros now = clock_.now();
  for (auto& [id, pool] : pools_)
    while (!pool.idle.empty() &&
           double(now - pool.idle.front()->idle_since) >= kIdleShare * double(limits_.idle_timeout))
      drop(*Held(pool.idle.front()));
  timers_.schedule_after(kSweep, [this] { sweep(); });
}

}  // namespace quota_gateway::net
