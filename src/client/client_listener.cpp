#include "client/client_listener.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdio>
#include <iostream>
#include <limits>
#include <optional>
#include <string_view>

#include "client/client_request.hpp"
#include "network/stream_io.hpp"
#include "network/system_errors.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t kMostHeader = 8 << 10;
constexpr std::size_t kMostAhead = 16 << 10;  // read while a request is held
constexpr Micros kSlowClient = 10'000'000;    // us to take some more of an answer
// us for the head of a request, which may take 2 s, and between any two bytes of it. A client that stops is
// owed an error or a close within 3 s, of which kSweep and a gateway that stands still take some.
constexpr Micros kStopped = 2'400'000;
constexpr double kBodyRate = 60e3;     // bytes a second that a client sends at the least; it owes 64 kB
constexpr Micros kLinger = 1'000'000;  // us for a client to read an answer before the close
constexpr std::size_t kStrangerDiscards = 256
                                          << 10;  // bytes; reading all that strangers send costs others time
constexpr Micros kLookBehind = 10'000;            // us between looks at a client that is not read
constexpr std::size_t kClientBuffer = 4 << 20;    // bytes of a body that a client's kernel may hold for it
constexpr int kMakeRoomTries = 4;                 // each look asks the kernel
constexpr Micros kSweep = 200'000;
constexpr Micros kAcceptAgain = 20'000;
constexpr int kMostLostAtOnce = 64;  // aborted connections, until the loop has its turn again
constexpr Micros kListenAgain = 50'000;
constexpr Micros kLogListenEvery = 5'000'000;
constexpr Micros kLongestBacklog = 60'000'000;  // us; a connection waits for less, whatever the system says

// Of what a connection that waited to be accepted has sent; 0 where the system does not say.
Micros age_of_last_data(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return 0;
  return std::min(Micros(info.tcpi_last_data_recv) * 1000, kLongestBacklog);
}

const char* reason(int status) {
  const auto text = http::obsolete_reason(http::status(status));
  return text.data();  // string literals of the library
}

}  // namespace

// One client connection. It reads ahead while a request is held, to notice that the client has gone.
class ClientListener::Session : public std::enable_shared_from_this<Session> {
 public:
  enum class State { kBetween, kReading, kHeld, kWriting, kClosing, kClosed };
  Session(ClientListener& front, std::uint64_t client, tcp::socket socket)
      : front_(front), client_(client), socket_(std::move(socket)), share_(front.budget_) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  // Nothing is read before there is something to read, so that a connection without a request costs little.
  void read() {
    if (state_ == State::kHeld && upload_full()) return look_behind();
    if (reading_ || !reads()) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
      reading_ = false;
      if (!behind_) missing_ = front_.clock_.now();  // what there is has come just now
      // Danger: a client that left behind its request is seen before that is sent on, not after.
      do {
        if (state_ == State::kClosed) return;
        std::size_t size = 0;
        if (!ec) size = read_available(socket_, asio::buffer(front_.chunk_), ec);
        if (ec == asio::error::would_block) {
          behind_ = false;
          missing_ = front_.clock_.now();
          break;
        }
        if (ec) return close();
        touched_ = front_.clock_.now();
        took(size,
             touched_ - (std::exchange(read_before_, true) ? 0 : age_of_last_data(socket_.native_handle())));
        parse();
        if (behind_ && upload_) look_for_rest();
      } while (state_ == State::kHeld && !discards_ && reads());
      read();
    });
  }

  void answer(const Response& a) {
    if (state_ != State::kHeld) return;
    request_ = 0;
    write(a, closes());
  }

  void begin(std::optional<std::uint64_t> length) {
    if (state_ != State::kHeld) return;
    // A client of HTTP/1.0 knows no chunks; there the end of the connection is the end of the answer.
    framing_ = length ? Framing::kLength : version_ >= 11 ? Framing::kChunked : Framing::kClose;
    passing_ = true;
    last_ = closes() || framing_ == Framing::kClose;
    // Danger: whatever ends us in the middle of it, such a client would take its part for the whole.
    if (framing_ == Framing::kClose) reset_on_close(true);
    out_ = std::exchange(untaken_, {}) + "HTTP/1.1 200 OK";
    if (length) out_ += "\r\nContent-Length: " + std::to_string(*length);
    if (framing_ == Framing::kChunked) out_ += "\r\nTransfer-Encoding: chunked";
    if (last_) out_ += "\r\nConnection: close";
    out_ += "\r\n\r\n";
    drop_upload();
    enter(State::kWriting);
    flush();
  }
  void piece(const std::string& bytes) {
    if (!passing_) return;
    if (framing_ == Framing::kChunked) {
      char size[24];
      std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
      next_.append(size).append(bytes).append("\r\n");
    } else {
      next_ += bytes;
    }
    flush_next();
  }
  void finish() {
    if (!passing_) return;
    passing_ = false;
    request_ = 0;
    if (framing_ == Framing::kChunked) next_ += "0\r\n\r\n";
    if (!writing_) next_.empty() ? wrote() : flush_next();
  }
  // With a reset, which no client takes for the end of an answer.
  void cut() {
    reset_on_close(true);
    close();
  }

  // Between requests, with none there unread.
  void leave() {
    error_code ec;
    if (state_ == State::kBetween && socket_.available(ec) == 0) end();
  }
  void close_between() {
    if (served_) leave();
  }
  // What has no request under way may go for one that has; what never sent a byte, or has its last answer,
  // goes first. One that still writes a large body has yet to read its answer.
  bool may_go() const {
    return state_ == State::kBetween || state_ == State::kReading ||
           (state_ == State::kClosing && !(discards_ && served_));
  }
  // Danger: a close over bytes unread, or with more to come, is a reset, and takes along what of an answer
  // the client's kernel has not taken.
  bool unsettled() {
    error_code ec;
    return unacknowledged() || (state_ != State::kClosing && socket_.available(ec) > 0);
  }
  std::pair<bool, Micros> eviction_rank() const {
    return {state_ == State::kReading || (served_ && state_ != State::kClosing), touched_};
  }

  void close_if_slow(Micros now) {
    const Micros stood = now - since_;
    if (state_ == State::kWriting && now - progress_ > kSlowClient) return cut();
    // One that writes a large body to its end before it reads our answer has the time for it.
    const bool sends = discards_ && served_ && now - touched_ <= kLinger && stood <= kSlowClient;
    if (state_ == State::kClosing && stood > kLinger && !sends && (stood > kSlowClient || !unacknowledged()))
      return close();
    // Danger: a gateway that stood still finds requests unread that came in time; what is there is read
    // first.
    error_code ec;
    if (has_stopped(now) && socket_.available(ec) == 0)
      return served_ && state_ == State::kReading ? end() : close();
  }
  void close() {
    if (state_ == State::kClosed) return;
    const State was = std::exchange(state_, State::kClosed);
    error_code ignored;
    socket_.close(ignored);
    drop_upload();
    if (was == State::kHeld || passing_) front_.callbacks_.on_client_disconnected(request_);
    front_.erase(client_);
  }
  State state() const { return state_; }
  bool served() const { return served_; }

 private:
  enum class Framing { kLength, kChunked, kClose };

  // The client is in the middle of a request, or has yet to begin its first one, and takes too long.
  bool has_stopped(Micros now) const {
    const bool amid_request =
        state_ == State::kReading || (state_ == State::kHeld && upload_ && !upload_full());
    const bool silent_stranger = state_ == State::kBetween && !served_;
    if (!amid_request && !silent_stranger) return false;
    if (amid_request && now - std::max(touched_, since_) > kStopped) return true;
    const auto body = Micros(double(received_) / kBodyRate * 1e6);
    const Micros began = served_ ? request_began_ : awaited_since_;
    return now - began > kStopped + held_up_ + body;
  }

  bool unacknowledged() {
    int bytes = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  }
  // Nothing more is answered. What still comes is read and thrown away until the client closes its side.
  void end() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    pending_.clear();
    enter(State::kClosing);
  }
  void reset_on_close(bool on) {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(on, 0), ignored);
  }
  bool reads() const {
    if (state_ == State::kClosed || upload_full()) return false;
    if (state_ != State::kHeld && pending_.size() > kMostAhead) return false;
    return !discards_ || served_ || discarded_ <= kStrangerDiscards;
  }
  // Danger: what is not read, as no server takes it, may hold the client's last byte, from which on it waits,
  // or its end.
  void look_behind() {
    behind_ = true;
    if (std::exchange(looking_, true)) return;
    front_.timers_.schedule_after(kLookBehind, [this, self = shared_from_this()] {
      looking_ = false;
      if (state_ != State::kHeld || !upload_full()) return read();
      pollfd left{socket_.native_handle(), POLLRDHUP, 0};
      if (::poll(&left, 1, 0) > 0) return close();
      look_for_rest();
      front_.callbacks_.on_body_lagging(request_, missing_);
      read();
    });
  }
  void look_for_rest() {
    error_code ec;
    const auto rest = parser_->content_length_remaining();
    if (!rest)
      missing_ = touched_;
    else if (*rest > socket_.available(ec) + kClientBuffer)
      missing_ = front_.clock_.now();
  }
  void took(std::size_t size, Micros received_at) {
    if (discards_ || state_ == State::kClosing) {
      discarded_ += size;
      return;
    }
    pending_.append(front_.chunk_.data(), size);
    bytes_read_ += size;
    arrivals_.push_back({bytes_read_, received_at});
    // Danger: unread, it would hide that the client leaves. One that sends so much ahead is none of ours, and
    // has the answer to the request that is held, no more.
    if (state_ == State::kHeld && !upload_ && pending_.size() > kMostAhead) {
      discards_ = true;
      pending_.clear();
    }
  }

  void enter(State state) {
    state_ = state;
    since_ = progress_ = front_.clock_.now();
  }
  bool closes() const { return front_.draining_ || !keep_alive_ || upload_ || discards_; }
  bool upload_full() const { return upload_ && upload_->size() >= front_.budget_.buffered_body_limit(); }
  bool receiving() const {
    return state_ == State::kBetween || state_ == State::kReading || (state_ == State::kHeld && upload_);
  }
  // What is still to come of a body that nobody wants any more is read and thrown away, so that the client,
  // which may write it to its end first, finds the answer.
  void drop_upload() {
    if (!upload_) return;
    served_ = true;  // a request of ours, though it had not come whole
    upload_->on_consumer_ready = upload_->on_drained = nullptr;
    upload_.reset();
    parser_.reset();
    pending_.clear();
    discards_ = true;
  }

  void parse() {
    while (!pending_.empty() && receiving()) {
      if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(kMostHeader);
        parser_->body_limit(kMaxBodySize);
        received_ = 0;
        headed_ = false;
        request_began_ = front_.clock_.now();
        held_up_ = 0;
        enter(State::kReading);
      }
      error_code ec;
      const std::size_t before = body_.size(), used = put(*parser_, pending_, body_, ec);
      received_ += body_.size() - before;
      pending_.erase(0, used);
      bytes_parsed_ += used;
      while (arrivals_.size() > 1 && arrivals_.front().end < bytes_parsed_)
        arrivals_.erase(arrivals_.begin());
      if (ec && ec != http::error::need_more) {
        const bool large = ec == http::error::body_limit || ec == http::error::header_limit;
        return malformed(large ? 413 : 400, ec.message());
      }
      if (parser_->is_header_done() && !std::exchange(headed_, true) && !head()) return;
      if (headed_) pass_body();
      if (parser_->is_done()) {
        whole();
      } else if (ec == http::error::need_more || used == 0) {
        if (pending_.size() > kMostHeader) malformed(413, "header too large");
        return;
      }
    }
  }

  // The head of a request has come. False: it is none of ours.
  bool head() {
    const auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    version_ = message.version();
    expects_ = boost::beast::iequals(message[http::field::expect], "100-continue");
    health_ = message.method() == http::verb::get && message.target() == "/_health";
    if (health_) return true;
    try {
      incoming_ = parse_request(message, front_.settings_);
    } catch (const BadRequest& e) {
      malformed(400, e.what());
      return false;
    }
    if (parser_->content_length().value_or(0) <= kMaxBodySize) return true;
    malformed(413, "body too large");
    return false;
  }

  // A body is held while it is small; a larger one goes on to a server as it comes.
  void pass_body() {
    const auto length = parser_->content_length();
    if (upload_) {
      upload_->append(std::exchange(body_, {}));
      share_.set(upload_->size());
      if (upload_full() && upload_was_full_ == 0) upload_was_full_ = front_.clock_.now();
    } else if (health_) {
      body_.clear();
    } else if (!parser_->is_done() && std::max<std::uint64_t>(length.value_or(0), body_.size()) >
                                          front_.budget_.buffered_body_limit()) {
      begin_upload(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    } else {
      share_.set(body_.size());
      if (!parser_->is_done()) invite();
    }
  }

  void begin_upload(std::optional<std::uint64_t> length) {
    upload_ = std::make_shared<BodyUpload>(length);
    upload_->append(std::exchange(body_, {}));
    share_.set(upload_->size());
    upload_->on_consumer_ready = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->invite();
    };
    incoming_->outgoing.upload = upload_;
    enter(State::kHeld);
    request_ = front_.callbacks_.on_request(client_, std::move(*incoming_));
    incoming_.reset();
    await_room();
  }
  void await_room() {
    upload_->on_drained = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || !self->upload_) return;
      const Micros now = self->front_.clock_.now();
      if (self->upload_was_full_ > 0) self->held_up_ += now - std::exchange(self->upload_was_full_, 0);
      self->since_ = now;
      self->share_.set(0);
      self->await_room();
      self->read();
    };
    if (upload_full() && upload_was_full_ == 0) upload_was_full_ = front_.clock_.now();
  }

  // Tells a client that asked first to send the body on. What the kernel does not take at once goes before
  // the answer.
  void invite() {
    if (!std::exchange(expects_, false)) return;
    untaken_ = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ec;
    while (!ec && !untaken_.empty()) untaken_.erase(0, write_available(socket_, asio::buffer(untaken_), ec));
  }

  // A request has come whole.
  void whole() {
    parser_.reset();
    served_ = served_ || !health_;
    if (upload_) {
      const auto upload = std::exchange(upload_, nullptr);
      upload->on_consumer_ready = upload->on_drained = nullptr;
      share_.set(0);
      upload->finish();
      return front_.callbacks_.on_body_complete(request_, missing_);
    }
    if (health_) {
      // On an inherited socket the address stays served, by the successor.
      const bool going = front_.draining_ && !front_.inherited_;
      Response health;
      health.status = going ? 503 : 200;
      health.body = going ? "draining\n" : "ok\n";
      return write(health, closes());
    }
    incoming_->outgoing.body = std::exchange(body_, {});
    incoming_->received_at = arrivals_.front().received_at;
    enter(State::kHeld);
    request_ = front_.callbacks_.on_request(client_, std::move(*incoming_));
    incoming_.reset();
  }

  void malformed(int status, const std::string& why) {
    if (state_ == State::kHeld) return close();  // in the middle of a body that a server has begun to get
    Response a;
    a.status = status;
    a.body = why + "\n";
    discards_ = true;
    write(a, true);
  }

  void write(const Response& a, bool last) {
    last_ = last;
    drop_upload();
    body_.clear();
    enter(State::kWriting);
    out_ = std::exchange(untaken_, {}) + "HTTP/1.1 " + std::to_string(a.status) + " " + reason(a.status) +
           "\r\nContent-Length: " + std::to_string(a.body.size());
    if (a.retry_after > 0) {
      char text[48];
      std::snprintf(text, sizeof text, "\r\nRetry-After: %.3f",
                    double(std::max<Micros>(a.retry_after, 1000)) / 1e6);
      out_ += text;
    }
    if (last) out_ += "\r\nConnection: close";
    out_.append("\r\n\r\n").append(a.body);
    flush();
  }

  void flush_next() {
    if (writing_ || next_.empty()) return;
    out_ = std::exchange(next_, {});
    flush();
  }
  void flush() {
    writing_ = true;
    progress_ = front_.clock_.now();
    share_.set(out_.size() + next_.size());
    write_some(0);
  }
  void write_some(std::size_t from) {
    error_code ec;
    const std::size_t size = write_available(socket_, asio::buffer(out_) + from, ec);
    if (ec == asio::error::would_block) {
      socket_.async_wait(tcp::socket::wait_write, [this, from, self = shared_from_this()](error_code failed) {
        if (state_ == State::kWriting) failed ? close() : write_some(from);
      });
      return;
    }
    asio::post(socket_.get_executor(),
               [this, ec, to = from + size, self = shared_from_this()] { wrote_some(ec, to); });
  }
  void wrote_some(error_code ec, std::size_t to) {
    if (state_ != State::kWriting) return;
    if (ec) return close();
    progress_ = front_.clock_.now();
    if (to < out_.size()) return write_some(to);
    writing_ = false;
    if (!next_.empty()) return flush_next();
    if (!passing_) return wrote();
    share_.set(0);
    progress_ = kNever;  // it is the server that is awaited
    front_.callbacks_.on_writable(request_);
  }

  void wrote() {
    out_ = {};
    awaited_since_ = front_.clock_.now();
    share_.set(0);
    if (last_) {
      reset_on_close(false);
      end();
    } else {
      enter(State::kBetween);
      parse();
      if (front_.draining_) close_between();
    }
    read();
  }

  static constexpr Micros kNever = std::numeric_limits<Micros>::max() / 2;
  ClientListener& front_;
  const std::uint64_t client_;
  tcp::socket socket_;
  State state_ = State::kBetween;
  Micros awaited_since_ = front_.clock_.now();  // a request, from a peer that is none of ours yet
  Micros since_ = awaited_since_, touched_ = awaited_since_;  // in this state; last heard of
  Micros request_began_ = awaited_since_;                     // with its first byte
  Micros progress_ = awaited_since_;                          // of the answer
  std::size_t discarded_ = 0;
  Micros held_up_ = 0, upload_was_full_ = 0;  // us, instant: by us, not by the client
  Micros missing_ = 0;  // when the client had surely not sent all of a body that is passed on
  std::uint64_t request_ = 0, received_ = 0;
  std::string pending_, body_, out_, next_;
  std::string untaken_;  // of a 100 Continue
  // Danger: a request's time counts from its client's last byte, also while it waits behind another one.
  struct Arrival {
    std::uint64_t end = 0;  // of the bytes read with it, from the connection's begin
    Micros received_at = 0;
  };
  std::vector<Arrival> arrivals_;  // of what is not parsed yet, and of the last that is
  std::uint64_t bytes_read_ = 0, bytes_parsed_ = 0;
  bool read_before_ = false;
  std::optional<RequestParser> parser_;
  std::optional<ClientRequest> incoming_;
  std::shared_ptr<BodyUpload> upload_;
  BodyBudget::Share share_;
  unsigned version_ = 11;
  Framing framing_ = Framing::kLength;
  bool reading_ = false, looking_ = false, behind_ = false, writing_ = false, keep_alive_ = true,
       served_ = false, headed_ = false;
  bool health_ = false, expects_ = false, discards_ = false, passing_ = false, last_ = false;
};

ClientListener::ClientListener(asio::io_context& io, Timers& timers, const Clock& clock,
                               const Settings& settings, std::size_t max_clients, BodyBudget& budget,
                               Callbacks callbacks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      settings_(settings),
      max_clients_(max_clients),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      chunk_(kReadSize),
      acceptor_(io) {
  sweep();
}
ClientListener::~ClientListener() = default;

// Danger: an address may be taken, or the system short of something, for a moment; a gateway that ended then
// would have crashed.
void ClientListener::listen(const tcp::endpoint& at, std::optional<int> inherited) {
  inherited_ = inherited.has_value();
  const error_code ec = open_listener(at, inherited);
  if (!ec) {
    accept();
    return callbacks_.on_listening();
  }
  const Micros now = clock_.now();
  if (now - listen_logged_ > kLogListenEvery) {
    listen_logged_ = now;
    std::cerr << "listen: " << ec.message() << "; trying again\n";
  }
  timers_.schedule_after(kListenAgain, [this, at, inherited] {
    if (!draining_) listen(at, inherited);
  });
}

error_code ClientListener::open_listener(const tcp::endpoint& at, std::optional<int> inherited) {
  error_code ec, ignored;
  if (inherited) {
    acceptor_.assign(at.protocol(), *inherited, ec);
  } else {
    acceptor_.open(at.protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.bind(at, ec);
    if (!ec) acceptor_.listen(tcp::acceptor::max_listen_connections, ec);
    if (ec) acceptor_.close(ignored);
  }
  // Danger: else the library waits for another connection after one that was aborted, and those in the
  // backlog wait with it.
  if (!ec) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ignored);
  return ec;
}

void ClientListener::accept() {
  if (accepting_ || !acceptor_.is_open() || (draining_ && inherited_)) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    accepting_ = false;
    if (ec) return accept_failed(ec);
    // Danger: the acceptor may have been closed since; what was accepted before must still be read.
    admit(std::move(socket));
    accept_on();
  });
}

void ClientListener::accept_failed(error_code ec) {
  switch (classify_accept(ec)) {
    case AcceptFailure::kCancelled:  // unless it is the successor's turn
    case AcceptFailure::kConnectionLost:
      return accept();
    case AcceptFailure::kNoDescriptors:
      make_room();
      break;
    case AcceptFailure::kTransient:
      break;
  }
  timers_.schedule_after(kAcceptAgain, [this] { accept(); });
}

// Danger: what waits in the backlog is taken, and its time runs.
void ClientListener::accept_on() {
  if (sessions_.size() > max_clients_) make_room();
  if (sessions_.size() <= max_clients_) return accept();
  // Once one has ended, or may go.
  timers_.schedule_after(kAcceptAgain, [this] {
    if (!accepting_ && acceptor_.is_open()) accept_on();
  });
}

void ClientListener::admit(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, ++last_, std::move(socket));
  sessions_.emplace(last_, session);
  session->read();
}

// For a new client, of the connections without a request under way: one that never sent a byte, else the one
// that has been quiet for longest.
void ClientListener::make_room() {
  std::pair<bool, Micros> passed{false, 0};  // of those that are unsettled, as few are
  for (int tries = 0; tries < kMakeRoomTries; ++tries) {
    std::shared_ptr<Session> least;
    for (const auto& [client, s] : sessions_)
      if (client != last_ && s->may_go() && s->eviction_rank() > passed &&
          (!least || s->eviction_rank() < least->eviction_rank()))
        least = s;
    if (!least) return;
    if (!least->unsettled()) return least->close();
    passed = least->eviction_rank();
  }
}

void ClientListener::erase(std::uint64_t client) {
  sessions_.erase(client);
  accept();
}

void ClientListener::respond(std::uint64_t client, Response answer) {
  if (const auto s = find(client)) s->answer(answer);
}

void ClientListener::start_response(std::uint64_t client, std::optional<std::uint64_t> length) {
  if (const auto s = find(client)) s->begin(length);
}

void ClientListener::write_chunk(std::uint64_t client, std::string bytes) {
  if (const auto s = find(client)) s->piece(bytes);
}

void ClientListener::finish_response(std::uint64_t client) {
  if (const auto s = find(client)) s->finish();
}

void ClientListener::abort_response(std::uint64_t client) {
  if (const auto s = find(client)) s->cut();
}

std::shared_ptr<ClientListener::Session> ClientListener::find(std::uint64_t client) const {
  const auto it = sessions_.find(client);
  return it == sessions_.end() ? nullptr : it->second;
}

void ClientListener::yield_to_successor() {
  draining_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
  close_all_between();
}

void ClientListener::resume_after_hot_restart() {
  draining_ = false;
  accept();
}

void ClientListener::drain() {
  draining_ = true;
  error_code ignored;
  if (inherited_) acceptor_.close(ignored);  // what has not been accepted is the successor's
  close_all_between();
}

void ClientListener::stop_accepting() {
  if (!acceptor_.is_open()) return close_all_between();
  // Danger: the kernel has taken clients that we have not; a close would reset them with their requests
  // unread.
  error_code ignored;
  acceptor_.non_blocking(true, ignored);
  emptying_backlog_ = true;
  for (int lost = 0; true;) {
    tcp::socket socket(io_);
    error_code ec;
    acceptor_.accept(socket, ec);
    if (!ec) {
      admit(std::move(socket));
      continue;
    }
    if (ec == asio::error::would_block) break;
    const AcceptFailure failure = classify_accept(ec);
    if (failure == AcceptFailure::kConnectionLost && ++lost < kMostLostAtOnce) continue;
    if (failure == AcceptFailure::kNoDescriptors) make_room();
    return timers_.schedule_after(kAcceptAgain, [this] { stop_accepting(); });
  }
  emptying_backlog_ = false;
  acceptor_.close(ignored);
  close_all_between();
}

void ClientListener::close_all_between() {
  const auto sessions = sessions_;
  for (const auto& [client, s] : sessions) s->close_between();
}

bool ClientListener::is_idle() const {
  // Danger: an answer is the client's only once that has taken it; our end would reset what is on its way.
  return !emptying_backlog_ && std::all_of(sessions_.begin(), sessions_.end(), [](const auto& entry) {
    Session& s = *entry.second;
    return s.state() == Session::State::kBetween && s.served() && !s.unsettled();
  });
}

void ClientListener::sweep() {
  const Micros now = clock_.now();
  const auto sessions = sessions_;
  for (const auto& [client, s] : sessions) {
    s->close_if_slow(now);
  }
  timers_.schedule_after(kSweep, [this] { sweep(); });
}

}  // namespace quota_gateway::net
