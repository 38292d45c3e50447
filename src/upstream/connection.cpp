// Connecting, writing and reading of one connection.
#include "upstream/connection.hpp"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "network/stream_io.hpp"
#include "network/system_errors.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kConnectRetryInterval = 20'000;  // us
// When the progress of a response is looked at again that its client holds up.
constexpr Duration kPausedCheckInterval = 100'000;  // us
// The same if bytes are unread. They are read in the next turn of the event loop.
constexpr Duration kUnreadCheckInterval = 5'000;  // us

}  // namespace

Connection::Connection(ConnectionContext& context, std::string endpoint, tcp::endpoint address)
    : context_(context),
      endpoint_(std::move(endpoint)),
      address_(std::move(address)),
      socket_(context.io),
      writer_(context.budget),
      reader_(context.budget) {}

void Connection::start_attempt(AttemptKey key, const OutgoingRequest& request, TimePoint deadline) {
  attempt_key_ = key;
  deadline_ = deadline;
  writer_.prepare(request);
  if (state_ == State::kConnecting) {
    connect();
  } else {
    write_request();
  }
}

void Connection::connect() {
  try_connect();
  context_.timers.schedule_after(context_.connect_timeout, [weak_self = weak_from_this()] {
    if (const auto self = weak_self.lock()) self->on_connect_timeout();
  });
}

void Connection::try_connect() {
  has_local_connect_failure_ = false;
  socket_.async_connect(
      address_, [self = shared_from_this()](const ErrorCode& error) { self->on_connect_completed(error); });
}

void Connection::on_connect_completed(const ErrorCode& error) {
  if (state_ != State::kConnecting) return;
  if (is_local_connect_failure(error)) return retry_connect_later();
  if (error) return end_attempt(Outcome::kConnectFailed);
  // If this process was stalled, the client's disconnect may be queued behind this handler in the event loop.
  // It has to be handled first, so that no request is sent for a client that has disconnected.
  asio::post(context_.io, [self = shared_from_this()] { self->on_connected(); });
}

// A resource shortage on this machine is not the endpoint's fault, so the connect is retried until it times
// out.
void Connection::retry_connect_later() {
  ErrorCode ignored;
  socket_.close(ignored);
  has_local_connect_failure_ = true;
  context_.timers.schedule_after(kConnectRetryInterval, [weak_self = weak_from_this()] {
    const auto self = weak_self.lock();
    if (self && self->state_ == State::kConnecting) self->try_connect();
  });
}

void Connection::on_connect_timeout() {
  if (state_ != State::kConnecting) return;
  end_attempt(has_local_connect_failure_ ? Outcome::kNotSent : Outcome::kConnectFailed);
}

void Connection::on_connected() {
  if (state_ != State::kConnecting) return;
  // The endpoint may have been drained or moved during the connect, or the deadline may have passed.
  if (!context_.observer.is_address_current(*this) || deadline_ <= context_.clock.now()) {
    return end_attempt(Outcome::kNotSent);
  }
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  write_request();
}

void Connection::write_request() {
  state_ = State::kWriting;
  // The remaining time is computed only now, because the connect may have taken long.
  writer_.start(deadline_ - context_.clock.now());
  reader_.start();
  is_read_paused_ = false;
  is_response_begun_ = false;
  read_when_ready();
  write_available_bytes();
}

// Writes the current part and then the remaining parts of a streamed body. Writes to the socket directly,
// because the completion of an asynchronous write may be handled after a response or a reset, and a request
// that may have executed would then count as not sent.
void Connection::write_available_bytes() {
  while (writer_.has_unwritten_bytes()) {
    ErrorCode error;
    writer_.mark_written(write_available(socket_, writer_.unwritten(), error));
    if (!error) continue;
    auto resume = [self = shared_from_this(), key = attempt_key_](const ErrorCode& failure) {
      self->on_write_completed(key, failure);
    };
    if (error == asio::error::would_block) {
      return socket_.async_wait(tcp::socket::wait_write, std::move(resume));
    }
    // The kernel reports a reset only once; a later read looks like an orderly close.
    was_reset_during_write_ = error == asio::error::connection_reset;
    return asio::post(context_.io, [resume = std::move(resume), error] { resume(error); });
  }
  if (writer_.is_last_part()) {
    on_request_written();
  } else {
    write_next_part();
  }
}

void Connection::on_write_completed(AttemptKey key, const ErrorCode& error) {
  // The response may have been handled before this, so the connection may already carry another attempt.
  if (state_ != State::kWriting || attempt_key_ != key) return;
  if (error) return end_attempt(Outcome::kConnectFailed);  // the last byte was not written
  write_available_bytes();
}

void Connection::write_next_part() {
  if (writer_.is_waiting_for_body()) {
    writer_.wait_for_body([weak_self = weak_from_this(), key = attempt_key_] {
      const auto self = weak_self.lock();
      if (self && self->state_ == State::kWriting && self->attempt_key_ == key) self->write_next_part();
    });
    return;
  }
  writer_.take_next_part();
  write_available_bytes();
}

void Connection::on_request_written() {
  state_ = State::kAwaitingResponse;
  writer_.release();
  context_.observer.on_request_written();
}

// Waits until the socket is readable before reading, so that all connections can share one buffer.
void Connection::read_when_ready() {
  if (is_read_pending_ || is_read_paused_) return;
  is_read_pending_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode& error) { self->on_readable(error); });
}

void Connection::on_readable(ErrorCode error) {
  is_read_pending_ = false;
  if (state_ == State::kClosed) return;
  if (state_ == State::kIdle) return context_.observer.on_idle_connection_lost(*this);
  if (is_read_paused_) return;
  std::size_t size = 0;
  if (!error) {
    size = read_available(socket_, asio::buffer(context_.read_buffer, context_.budget.read_size()), error);
  }
  if (error == asio::error::would_block) return read_when_ready();
  if (error) return on_connection_lost(error);
  on_bytes_read(size);
  if (state_ != State::kClosed) read_when_ready();
}

void Connection::on_bytes_read(std::size_t size) {
  last_read_at_ = context_.clock.now();
  const ResponseReader::Status status =
      reader_.consume({context_.read_buffer.data(), size}, started_callback());
  if (status == ResponseReader::Status::kAborted) return;
  if (status == ResponseReader::Status::kInvalid) return end_attempt(Outcome::kReset);
  if (status == ResponseReader::Status::kFailed) return end_attempt(reader_.take_result(), false);
  deliver_streamed_bytes();
  if (state_ == State::kClosed) return;
  if (status == ResponseReader::Status::kComplete) return on_response_complete();
  if (reader_.can_start_streaming()) on_undecided_bytes();
}

// A successful response of unknown length is buffered until it is complete or taken for a long one.
void Connection::on_undecided_bytes() {
  const TimePoint now = context_.clock.now();
  if (!is_response_begun_) on_response_begun(now);
  const std::uint64_t new_bytes = reader_.buffered_body_size() - undecided_.received_bytes();
  undecided_.on_body_received(now, new_bytes);
  progress_.on_body_received(now, new_bytes);
  start_streaming_if_long();
}

ResponseReader::StartedCallback Connection::started_callback() {
  return [this](const AttemptResult& head, std::optional<std::uint64_t> length) {
    if (!is_response_begun_) progress_.start(context_.clock.now(), length);
    context_.observer.on_response_started(attempt_key_, head, length);
    return state_ != State::kClosed;
  };
}

void Connection::deliver_streamed_bytes() {
  if (!reader_.has_streamed_bytes()) return;
  std::string bytes = reader_.take_streamed_bytes();
  const TimePoint now = context_.clock.now();
  // What has arrived before the response was started is counted already.
  progress_.on_body_received(now, reader_.delivered_size() - progress_.received_bytes());
  progress_.pause(now);
  is_read_paused_ = true;
  context_.observer.on_response_chunk(attempt_key_, std::move(bytes));
}

void Connection::on_response_begun(TimePoint now) {
  is_response_begun_ = true;
  undecided_.start(now);
  progress_.start(now, std::nullopt);
  context_.observer.on_response_begun(attempt_key_);
  context_.timers.schedule_after(kMinBufferingTime, [weak_self = weak_from_this(), key = attempt_key_] {
    const auto self = weak_self.lock();
    if (self && self->attempt_key_ == key) self->start_streaming_if_long();
  });
}

bool Connection::is_response_undecided() const {
  const bool has_attempt = state_ == State::kWriting || state_ == State::kAwaitingResponse;
  return has_attempt && is_response_begun_ && reader_.can_start_streaming();
}

void Connection::start_streaming_if_long() {
  if (is_response_undecided() && undecided_.is_long(context_.clock.now())) start_streaming();
}

void Connection::start_streaming_if_arriving() {
  if (is_response_undecided() && undecided_.is_arriving(context_.clock.now())) start_streaming();
}

void Connection::start_streaming() {
  if (reader_.start_streaming(started_callback())) deliver_streamed_bytes();
}

std::optional<TimePoint> Connection::decides_by(TimePoint client_deadline) const {
  if (!is_response_undecided()) return std::nullopt;
  if (has_late_unread_bytes()) return context_.clock.now() + kUnreadCheckInterval;
  return undecided_.decide_by(client_deadline);
}

void Connection::on_response_complete() {
  // If the response ends before the whole request is written, the connection is left in mid-request.
  const bool is_reusable = state_ == State::kAwaitingResponse && reader_.is_connection_reusable();
  end_attempt(reader_.take_result(), is_reusable);
}

// Only an orderly close completes a response without a length; a reset truncates it.
void Connection::on_connection_lost(const ErrorCode& error) {
  const bool is_orderly = error == asio::error::eof && !was_reset_during_write_;
  if (is_orderly && reader_.complete_at_close()) return on_response_complete();
  end_attempt(may_have_executed() ? Outcome::kReset : Outcome::kConnectFailed);
}

void Connection::end_attempt(Outcome outcome) { end_attempt(result_without_response(outcome), false); }

void Connection::end_attempt(AttemptResult result, bool is_reusable) {
  context_.observer.on_attempt_ended(shared_from_this(), std::move(result), is_reusable);
}

void Connection::resume_reading() {
  is_read_paused_ = false;
  progress_.resume(context_.clock.now());
  read_when_ready();
}

TimePoint Connection::response_ends_at(const ResponseDeadlines& deadlines) const {
  const TimePoint now = context_.clock.now();
  if (is_read_paused_) return now + kPausedCheckInterval;
  if (has_late_unread_bytes()) return now + kUnreadCheckInterval;
  return progress_.ends_at(deadlines);
}

// If this process was suspended, bytes that arrived in time are still unread.
bool Connection::has_late_unread_bytes() const {
  if (context_.clock.now() - last_read_at_ < kUnreadCheckInterval) return false;
  ErrorCode ignored;
  return socket_.available(ignored) > 0;
}

bool Connection::may_have_executed() const {
  return state_ == State::kAwaitingResponse || reader_.is_streaming();
}

void Connection::become_idle() {
  state_ = State::kIdle;
  idle_since_ = context_.clock.now();
}

void Connection::release_attempt() {
  writer_.release();
  reader_.release();
}

bool Connection::is_still_usable() {
  char byte = 0;
  ssize_t received = 0;
  do {
    received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (received < 0 && errno == EINTR);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::reset_on_close() {
  ErrorCode ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void Connection::close() {
  state_ = State::kClosed;
  ErrorCode ignored;
  socket_.close(ignored);
}

}  // namespace quota_gateway::net
