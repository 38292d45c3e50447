#include "client/client_session.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <string_view>
#include <utility>

#include "client/socket_state.hpp"
#include "network/stream_io.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Limit of the input discarded from a client that never sent a valid request; reading more would take time
// from other clients.
constexpr std::size_t kMaxDiscardedBytesOfInvalidClient = 256 << 10;
constexpr int kStatusServiceUnavailable = 503;

}  // namespace

ClientSession::ClientSession(ClientSessionContext& context, std::uint64_t client_id, tcp::socket socket)
    : context_(context),
      client_id_(client_id),
      socket_(std::move(socket)),
      reader_(context.budget),
      stall_detector_(context.clock.now()),
      upload_(context.clock, context.budget, stall_detector_),
      writer_(socket_, context.clock, context.budget, *this) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void ClientSession::read() {
  if (state_ == State::kAwaitingResponse && upload_.is_full()) return suspend_reading();
  if (is_read_pending_) return;
  if (!wants_data()) {
    is_input_held_back_ = true;
    return;
  }
  is_read_pending_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [this, self = shared_from_this()](error_code ec) { on_readable(ec); });
}

void ClientSession::on_readable(error_code ec) {
  is_read_pending_ = false;
  context_.relieve_memory();
  last_byte_.on_readable(now());
  // While a request is pending, reads until the kernel has no more data: the end of the connection may
  // directly follow the request and must be noticed before the request is forwarded.
  do {
    if (state_ == State::kClosed) return;
    std::size_t size = 0;
    if (!ec) {
      size = read_available(socket_, asio::buffer(context_.read_buffer, context_.budget.read_size()), ec);
    }
    if (ec == asio::error::would_block) {
      last_byte_.on_all_read(now());
      is_input_held_back_ = false;
      if (last_byte_.is_read_suspended()) schedule_read_check();
      break;
    }
    if (ec) return close(CloseReason::kClosedByClient);
    on_data(size);
  } while (state_ == State::kAwaitingResponse && !is_discarding_ && wants_data());
  read();
}

void ClientSession::on_data(std::size_t size) {
  const TimePoint read_at = now();
  stall_detector_.on_read(read_at);
  buffer_data(size, data_received_at(read_at));
  process_input();
  if (last_byte_.is_read_suspended() && upload_.is_active()) update_last_byte_estimate();
}

// The first data may have arrived while the connection was still in the backlog.
TimePoint ClientSession::data_received_at(TimePoint read_at) {
  if (has_read_) return read_at;
  has_read_ = true;
  return read_at - time_since_last_data(socket_);
}

void ClientSession::buffer_data(std::size_t size, TimePoint received_at) {
  if (is_discarding_ || state_ == State::kClosing) {
    discarded_bytes_ += size;
    return;
  }
  reader_.append(std::string_view(context_.read_buffer.data(), size), received_at);
  // Unread data would hide that the client closes the connection. A client that sends too much ahead
  // therefore receives the response to the pending request and no other.
  if (state_ == State::kAwaitingResponse && !upload_.is_active() && reader_.input_size() > kMaxReadAhead) {
    is_discarding_ = true;
    reader_.clear_input();
  }
}

bool ClientSession::wants_data() const {
  if (state_ == State::kClosed || upload_.is_full()) return false;
  if (state_ != State::kAwaitingResponse && reader_.input_size() > kMaxReadAhead) return false;
  return !is_discarding_ || has_sent_request_ || discarded_bytes_ <= kMaxDiscardedBytesOfInvalidClient;
}

void ClientSession::process_input() {
  while (reader_.has_input() && accepts_request_data()) {
    if (!reader_.is_in_request()) begin_request();
    const RequestReader::Progress progress = reader_.parse_some();
    stall_detector_.on_body_data(progress.body_bytes);
    if (progress.error) return reject(*progress.error);
    if (progress.head_completed && !on_head_complete()) return;
    if (reader_.is_head_complete()) on_body_data();
    if (reader_.is_request_complete()) {
      on_request_complete();
    } else if (progress.needs_more_input) {
      if (reader_.is_input_oversized()) reject({413, "header too large"});
      return;
    }
  }
}

void ClientSession::begin_request() {
  reader_.begin_request();
  stall_detector_.on_request_started(now());
  enter(State::kReadingRequest);
}

bool ClientSession::accepts_request_data() const {
  return state_ == State::kIdle || state_ == State::kReadingRequest ||
         (state_ == State::kAwaitingResponse && upload_.is_active());
}

// Returns false if the request was rejected.
bool ClientSession::on_head_complete() {
  head_ = reader_.head();
  if (head_.is_health_check) return true;
  try {
    request_ = reader_.parse_request(context_.settings);
  } catch (const BadRequest& error) {
    reject({400, error.what()});
    return false;
  }
  if (reader_.content_length().value_or(0) <= kMaxBodySize) return true;
  reject({413, "body too large"});
  return false;
}

// A small body is buffered; a larger one is streamed to the endpoint as it arrives.
void ClientSession::on_body_data() {
  if (upload_.is_active()) {
    upload_.append(reader_.take_body());
    return;
  }
  if (head_.is_health_check) {
    reader_.clear_body();
    return;
  }
  const bool is_complete = reader_.is_request_complete();
  const std::uint64_t known_size =
      std::max<std::uint64_t>(reader_.content_length().value_or(0), reader_.body().size());
  if (!is_complete && known_size > context_.budget.buffered_body_limit()) return start_upload();
  if (!is_complete) send_continue_if_expected();
}

void ClientSession::on_request_complete() {
  reader_.end_request();
  has_sent_request_ = has_sent_request_ || !head_.is_health_check;
  if (upload_.is_active()) {
    upload_.finish();
    return context_.callbacks.on_body_complete(request_id_, last_byte_.last_byte_pending_since());
  }
  if (head_.is_health_check) return respond_to_health_check();
  if (!reader_.body().empty())
    request_->outgoing.body = std::make_shared<const CountedBuffer>(context_.budget, reader_.take_body());
  request_->received_at = reader_.last_byte_received_at();
  report_request();
}

void ClientSession::report_request() {
  // The end of the connection may lie behind the data that has not been read.
  if (is_input_held_back_ && is_closed_by_peer(socket_)) return close(CloseReason::kClosedByClient);
  if (context_.memory.is_active(OverloadAction::kRejectRequests)) {
    context_.memory.count(OverloadAction::kRejectRequests);
    context_.callbacks.on_request_rejected(request_->arrived.request_class, kStatusServiceUnavailable);
    reject({kStatusServiceUnavailable, "out of memory"});
    return request_.reset();
  }
  enter(State::kAwaitingResponse);
  request_id_ = context_.callbacks.on_request(client_id_, std::move(*request_));
  request_.reset();
}

// During a hot restart, the successor keeps serving the address, so health checks still succeed.
void ClientSession::respond_to_health_check() {
  const bool is_shutting_down = context_.is_draining && !context_.is_listener_inherited;
  Response response;
  response.status = is_shutting_down ? 503 : 200;
  response.body = is_shutting_down ? "draining\n" : "ok\n";
  write_response(response, is_last_response());
}

void ClientSession::reject(const RequestError& error) {
  // An endpoint has already received the head of this request, so a rejection would be a second response.
  if (state_ == State::kAwaitingResponse) return close(CloseReason::kInvalidBody);
  Response response;
  response.status = error.status;
  response.body = error.reason + "\n";
  is_discarding_ = true;
  write_response(response, true);
}

void ClientSession::send_continue_if_expected() {
  if (!head_.expects_continue) return;
  head_.expects_continue = false;
  writer_.send_continue();
}

void ClientSession::respond(const Response& response) {
  if (state_ != State::kAwaitingResponse) return;
  request_id_ = 0;
  write_response(response, is_last_response());
}

void ClientSession::write_response(const Response& response, bool close_after) {
  close_after_response_ = close_after;
  abandon_upload();
  reader_.clear_body();
  enter(State::kWritingResponse);
  writer_.write_response(response, close_after);
}

void ClientSession::start_response(std::optional<std::uint64_t> length) {
  if (state_ != State::kAwaitingResponse) return;
  const ResponseFraming framing = select_framing(length, head_.http_version);
  const bool ends_with_close = framing == ResponseFraming::kUntilClose;
  close_after_response_ = is_last_response() || ends_with_close;
  // If the response is truncated, even because this process exits, only a reset reveals it to the client.
  if (ends_with_close) set_reset_on_close(socket_, true);
  abandon_upload();
  enter(State::kWritingResponse);
  writer_.start_stream(framing, length, close_after_response_);
}

void ClientSession::finish_response() {
  if (!writer_.is_streaming()) return;
  request_id_ = 0;
  writer_.finish_stream();
}

void ClientSession::abort_response(CloseReason reason) {
  set_reset_on_close(socket_, true);
  close(reason);
}

void ClientSession::on_chunks_written() { context_.callbacks.on_writable(request_id_); }

void ClientSession::on_response_written() {
  stall_detector_.on_response_written(now());
  if (close_after_response_) {
    set_reset_on_close(socket_, false);
    begin_close();
  } else {
    enter(State::kIdle);
    process_input();
    if (context_.is_draining) close_if_idle();
  }
  read();
}

bool ClientSession::is_last_response() const {
  return context_.is_draining || !head_.keep_alive || upload_.is_active() || is_discarding_;
}

void ClientSession::enter(State state) {
  state_ = state;
  stall_detector_.on_state_entered(now());
}

void ClientSession::begin_close() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  reader_.clear_input();
  enter(State::kClosing);
}

void ClientSession::close_if_idle() {
  if (!has_sent_request_ || state_ != State::kIdle) return;
  if (!has_unread_data(socket_)) begin_close();
}

void ClientSession::close_if_stalled(TimePoint now) {
  if (close_if_not_reading(now)) return;
  if (is_close_due(now)) return close(CloseReason::kLingering);
  // If the gateway itself was paused, data that arrived in time may still be unread; it is read first.
  if (!is_client_stalled(now) || has_unread_data(socket_)) return;
  if (has_sent_request_ && state_ == State::kReadingRequest) {
    begin_close();
  } else {
    close(CloseReason::kStalledRequest);
  }
}

// A response that is still being written ends with a reset. One that the kernel has accepted as a whole is
// left to the kernel, which delivers the rest if the client reads on soon.
bool ClientSession::close_if_not_reading(TimePoint now) {
  if (!writer_.is_client_stalled(now, context_.client_read_timeout)) return false;
  if (state_ == State::kWritingResponse) {
    abort_response(CloseReason::kNotReadingResponse);
    return true;
  }
  if (state_ != State::kIdle && state_ != State::kClosing) return false;
  close(CloseReason::kNotReadingResponse);
  return true;
}

bool ClientSession::is_close_due(TimePoint now) {
  if (state_ != State::kClosing || !stall_detector_.is_linger_expired(now)) return false;
  // A client may send the rest of a large body before it starts to read its response.
  const bool is_sending_body = is_discarding_ && has_sent_request_ && stall_detector_.has_read_recently(now);
  if (is_sending_body && !stall_detector_.is_close_overdue(now)) return false;
  return !has_unacknowledged_data(socket_);
}

bool ClientSession::is_client_stalled(TimePoint now) const {
  const bool is_reading_upload =
      state_ == State::kAwaitingResponse && upload_.is_active() && !upload_.is_full();
  const bool is_mid_request = state_ == State::kReadingRequest || is_reading_upload;
  const bool awaits_first_request = state_ == State::kIdle && !has_sent_request_;
  if (!is_mid_request && !awaits_first_request) return false;
  if (is_mid_request && stall_detector_.is_silent(now)) return true;
  return stall_detector_.is_request_overdue(now, has_sent_request_);
}

void ClientSession::close(CloseReason reason) {
  if (state_ == State::kClosed) return;
  const bool is_response_incomplete = state_ == State::kAwaitingResponse || writer_.is_streaming();
  state_ = State::kClosed;
  writer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  abandon_upload();
  release_buffers();
  if (is_response_incomplete) context_.callbacks.on_client_disconnected(request_id_);
  context_.on_session_closed(client_id_, reason);
}

// The session itself exists until its pending handlers have run.
void ClientSession::release_buffers() {
  reader_.end_request();
  reader_.clear_input();
  reader_.clear_body();
  request_.reset();
}

bool ClientSession::is_request_unfinished() const {
  return state_ == State::kIdle || state_ == State::kReadingRequest || state_ == State::kClosing;
}

bool ClientSession::is_settled() {
  return state_ == State::kIdle && has_sent_request_ && !has_data_in_flight();
}

bool ClientSession::has_response_in_progress() {
  return state_ == State::kWritingResponse || has_unacknowledged_data(socket_);
}

bool ClientSession::is_evictable() const {
  if (state_ == State::kIdle || state_ == State::kReadingRequest) return true;
  // A client that is still sending a large body has not read its response yet.
  const bool is_sending_body = is_discarding_ && has_sent_request_;
  return state_ == State::kClosing && !is_sending_body;
}

EvictionPriority ClientSession::eviction_priority() const {
  const bool is_known_client =
      state_ == State::kReadingRequest || (has_sent_request_ && state_ != State::kClosing);
  return {is_known_client, stall_detector_.last_read_at()};
}

bool ClientSession::has_data_in_flight() {
  return has_unacknowledged_data(socket_) || (state_ != State::kClosing && has_unread_data(socket_));
}

}  // namespace quota_gateway::net
