// The streamed request bodies of a client's connection.
#include <boost/asio/error.hpp>
#include <utility>

#include "client/client_session.hpp"
#include "client/socket_state.hpp"

namespace quota_gateway::net {
namespace {

using boost::system::error_code;

// Interval between checks of a client whose upload is not being read, or has been read to its end so far.
constexpr Duration kReadCheckInterval = 10'000;  // us

}  // namespace

void ClientSession::start_upload() {
  UploadProducer::Callbacks callbacks;
  callbacks.on_consumer_ready = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->send_continue_if_expected();
  };
  callbacks.on_drained = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->upload_.is_active()) return;
    self->upload_.on_drained();
    self->read();
  };
  request_->outgoing.upload =
      upload_.start(reader_.content_length(), reader_.take_body(), std::move(callbacks));
  report_request();
  if (upload_.is_active()) upload_.await_drained();
}

// The response comes before the end of the body. The client may send the whole body before it reads the
// response, so the rest is read and discarded.
void ClientSession::abandon_upload() {
  if (!upload_.is_active()) return;
  has_sent_request_ = true;
  upload_.abandon();
  reader_.end_request();
  reader_.clear_input();
  is_discarding_ = true;
}

// The socket is not read while the upload buffer is full. The last byte, from which the client's timeout
// counts, or the end of the connection may be waiting there, so the kernel is queried for both.
void ClientSession::suspend_reading() {
  last_byte_.on_read_suspended();
  schedule_read_check();
}

void ClientSession::schedule_read_check() {
  if (is_read_check_scheduled_) return;
  is_read_check_scheduled_ = true;
  context_.timers.schedule_after(kReadCheckInterval, [this, self = shared_from_this()] { check_reading(); });
}

void ClientSession::check_reading() {
  is_read_check_scheduled_ = false;
  if (state_ != State::kClosed && !has_unread_data(socket_)) last_byte_.on_nothing_unread(now());
  if (state_ != State::kAwaitingResponse || !upload_.is_full()) return read();
  if (is_closed_by_peer(socket_)) return close(CloseReason::kClosedByClient);
  update_last_byte_estimate();
  context_.callbacks.on_body_lagging(request_id_, last_byte_.last_byte_pending_since());
  read();
}

TimePoint ClientSession::last_byte_pending_since() {
  if (last_byte_.is_read_suspended()) {
    update_last_byte_estimate();
  } else if (!has_unread_data(socket_)) {
    return now();
  }
  return last_byte_.last_byte_pending_since();
}

void ClientSession::update_last_byte_estimate() {
  error_code ignored;
  const std::size_t unread_bytes = socket_.available(ignored);
  last_byte_.update({.received_bytes = reader_.bytes_received() + unread_bytes,
                     .unread_bytes = unread_bytes,
                     .now = now()});
}

}  // namespace quota_gateway::net
