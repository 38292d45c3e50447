// Serialization of requests.
#include "upstream/request_writer.hpp"

#include <algorithm>
#include <utility>

#include "network/chunk_framing.hpp"

namespace quota_gateway::net {
namespace {

// Of a head without the client's texts: the method, the names of the headers and their numbers.
constexpr std::size_t kMaxFixedHeadSize = 192;  // bytes

// Returns the header that delimits the request's body, or an empty string for a GET request without a body.
std::string body_framing_header(const OutgoingRequest& request) {
  if (request.upload) {
    const auto length = request.upload->length();
    if (!length) return "\r\nTransfer-Encoding: chunked";
    return "\r\nContent-Length: " + std::to_string(*length);
  }
  if (!request.body && request.method == "GET") return {};
  return "\r\nContent-Length: " + std::to_string(request.body ? request.body->size() : 0);
}

}  // namespace

void RequestWriter::prepare(const OutgoingRequest& request) {
  upload_ = request.upload;
  body_ = request.body;
  std::string head;
  head.reserve(request.target.size() + request.host.size() + request.trace_id.size() +
               request.idempotency_key.size() + kMaxFixedHeadSize);
  head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1");
  head.append("\r\nHost: ").append(request.host);
  head.append("\r\nX-Trace-Id: ").append(request.trace_id);
  if (!request.idempotency_key.empty()) head.append("\r\nIdempotency-Key: ").append(request.idempotency_key);
  head.append(body_framing_header(request));
  part_.assign(std::move(head));
}

void RequestWriter::start(Duration time_left) {
  part_.append("\r\nX-Expires-In: " + std::to_string(time_left) + "u\r\n\r\n");
  written_size_ = 0;
  is_last_part_ = !upload_;
}

void RequestWriter::release() {
  part_.clear();
  body_.reset();
  upload_.reset();
  written_size_ = 0;
}

RequestWriter::Buffers RequestWriter::unwritten() const {
  const auto part = boost::asio::buffer(part_.bytes());
  const auto body = body_ ? boost::asio::buffer(body_->bytes()) : boost::asio::const_buffer();
  const std::size_t written_body_size = written_size_ - std::min(written_size_, part.size());
  return {part + written_size_, body + written_body_size};
}

bool RequestWriter::is_waiting_for_body() const { return upload_->size() == 0 && !upload_->is_finished(); }

void RequestWriter::wait_for_body(std::function<void()> on_data) {
  part_.clear();
  written_size_ = 0;
  upload_->wait_for_data(std::move(on_data));
}

void RequestWriter::take_next_part() {
  std::string data = upload_->take_data();
  is_last_part_ = upload_->is_finished();
  if (!upload_->length()) {
    data = frame_as_chunk(data);
    if (is_last_part_) data += kLastChunk;
  }
  part_.assign(std::move(data));
  written_size_ = 0;
}

}  // namespace quota_gateway::net
