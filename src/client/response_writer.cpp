#include "client/response_writer.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

#include "client/socket_state.hpp"
#include "network/chunk_framing.hpp"
#include "network/stream_io.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kMinRetryAfter = 1000;  // us; the header has three decimal places
constexpr double kMicrosecondsPerSecond = 1e6;

std::string retry_after_header(Duration retry_after) {
  std::array<char, 48> text{};
  const double seconds = double(std::max(retry_after, kMinRetryAfter)) / kMicrosecondsPerSecond;
  std::snprintf(text.data(), text.size(), "\r\nRetry-After: %.3f", seconds);
  return text.data();
}

std::string serialize(const Response& response, bool close) {
  const std::string reason(http::obsolete_reason(http::status(response.status)));
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " " + reason +
                      "\r\nContent-Length: " + std::to_string(response.body.size());
  if (response.retry_after > 0) bytes += retry_after_header(response.retry_after);
  if (close) bytes += "\r\nConnection: close";
  bytes += "\r\n\r\n";
  bytes += response.body;
  return bytes;
}

std::string serialize_stream_head(ResponseFraming framing, std::optional<std::uint64_t> length, bool close) {
  std::string bytes = "HTTP/1.1 200 OK";
  if (length) bytes += "\r\nContent-Length: " + std::to_string(*length);
  if (framing == ResponseFraming::kChunked) bytes += "\r\nTransfer-Encoding: chunked";
  if (close) bytes += "\r\nConnection: close";
  bytes += "\r\n\r\n";
  return bytes;
}

}  // namespace

ResponseFraming select_framing(std::optional<std::uint64_t> length, unsigned http_version) {
  constexpr unsigned kHttp11 = 11;
  if (length) return ResponseFraming::kContentLength;
  return http_version >= kHttp11 ? ResponseFraming::kChunked : ResponseFraming::kUntilClose;
}

ResponseWriter::ResponseWriter(tcp::socket& socket, const Clock& clock, BodyBudget& budget,
                               ResponseWriterOwner& owner)
    : socket_(socket), clock_(clock), owner_(owner), buffer_(budget), next_buffer_(budget) {}

void ResponseWriter::send_continue() {
  unsent_continue_ = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ec;
  while (!ec && !unsent_continue_.empty()) {
    const std::size_t written = write_to_socket(asio::buffer(unsent_continue_), ec);
    unsent_continue_.erase(0, written);
  }
}

void ResponseWriter::write_response(const Response& response, bool close) {
  state_ = State::kCompleting;
  start_write(serialize(response, close));
}

void ResponseWriter::start_stream(ResponseFraming framing, std::optional<std::uint64_t> length, bool close) {
  state_ = State::kStreaming;
  framing_ = framing;
  start_write(serialize_stream_head(framing, length, close));
}

void ResponseWriter::start_write(std::string bytes) {
  buffer_.assign(std::exchange(unsent_continue_, {}) + std::move(bytes));
  flush();
}

void ResponseWriter::write_chunk(const std::string& bytes) {
  if (state_ != State::kStreaming) return;
  if (framing_ == ResponseFraming::kChunked) {
    next_buffer_.append(frame_as_chunk(bytes));
  } else {
    next_buffer_.append(bytes);
  }
  flush_chunks();
}

void ResponseWriter::finish_stream() {
  if (state_ != State::kStreaming) return;
  state_ = State::kCompleting;
  if (framing_ == ResponseFraming::kChunked) next_buffer_.append(kLastChunk);
  if (is_write_pending_) return;
  if (next_buffer_.empty()) {
    complete();
  } else {
    flush_chunks();
  }
}

void ResponseWriter::cancel() {
  state_ = State::kCancelled;
  buffer_.clear();
  next_buffer_.clear();
}

bool ResponseWriter::is_client_stalled(TimePoint now, Duration timeout) {
  if (client_progress_.has_taken_all()) return false;
  // While a write waits for the client, there is something to take, whatever the kernel reports.
  const std::uint64_t waiting_bytes = is_write_pending_ ? 1 : 0;
  client_progress_.on_unacknowledged(now, std::max(unacknowledged_bytes(socket_), waiting_bytes));
  return client_progress_.is_stalled(now, timeout);
}

void ResponseWriter::flush_chunks() {
  if (is_write_pending_ || next_buffer_.empty()) return;
  buffer_.assign(next_buffer_.take());
  flush();
}

void ResponseWriter::flush() {
  is_write_pending_ = true;
  write_some(0);
}

void ResponseWriter::write_some(std::size_t offset) {
  error_code ec;
  const std::size_t written = write_to_socket(asio::buffer(buffer_.bytes()) + offset, ec);
  if (ec == asio::error::would_block) {
    socket_.async_wait(tcp::socket::wait_write, [this, offset, owner = owner_.retain()](error_code failure) {
      if (!is_active()) return;
      if (failure) return owner_.on_write_failed();
      write_some(offset);
    });
    return;
  }
  asio::post(socket_.get_executor(), [this, ec, next_offset = offset + written, owner = owner_.retain()] {
    on_written(ec, next_offset);
  });
}

std::size_t ResponseWriter::write_to_socket(asio::const_buffer bytes, error_code& ec) {
  const std::size_t written = write_available(socket_, bytes, ec);
  if (written > 0) client_progress_.on_written(clock_.now(), written);
  return written;
}

void ResponseWriter::on_written(error_code ec, std::size_t offset) {
  if (!is_active()) return;
  if (ec) return owner_.on_write_failed();
  if (offset < buffer_.size()) return write_some(offset);
  is_write_pending_ = false;
  buffer_.clear();
  if (!next_buffer_.empty()) return flush_chunks();
  if (state_ == State::kCompleting) return complete();
  owner_.on_chunks_written();
}

void ResponseWriter::complete() {
  state_ = State::kIdle;
  owner_.on_response_written();
}

}  // namespace quota_gateway::net
