// Serialization of requests.
#include "upstream/request_writer.hpp"

#include <array>
#include <cstdio>
#include <utility>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxChunkHeaderSize = 24;  // bytes; a 64-bit size in hexadecimal and a line end
constexpr const char* kLastChunk = "0\r\n\r\n";

// Frames a part of the body as a chunk. Leaves an empty part empty, because an empty chunk ends the body.
void frame_as_chunk(std::string& part) {
  if (part.empty()) return;
  std::array<char, kMaxChunkHeaderSize> header{};
  std::snprintf(header.data(), header.size(), "%zx\r\n", part.size());
  part.insert(0, header.data()).append("\r\n");
}

// Returns the header that delimits the request's body, or an empty string for a GET request without a body.
std::string body_framing_header(const OutgoingRequest& request) {
  if (request.upload) {
    const auto length = request.upload->length();
    if (!length) return "\r\nTransfer-Encoding: chunked";
    return "\r\nContent-Length: " + std::to_string(*length);
  }
  if (request.body.empty() && request.method == "GET") return {};
  return "\r\nContent-Length: " + std::to_string(request.body.size());
}

}  // namespace

void RequestWriter::prepare(const OutgoingRequest& request) {
  upload_ = request.upload;
  head_.clear();
  head_.append(request.method).append(" ").append(request.target).append(" HTTP/1.1");
  head_.append("\r\nHost: ").append(request.host);
  head_.append("\r\nX-Trace-Id: ").append(request.trace_id);
  if (!request.idempotency_key.empty()) {
    head_.append("\r\nIdempotency-Key: ").append(request.idempotency_key);
  }
  part_ = body_framing_header(request);
  part_.append("\r\n\r\n").append(request.body);
}

void RequestWriter::start(Duration time_left) {
  part_.insert(0, head_ + "\r\nX-Expires-In: " + std::to_string(time_left) + "u");
  written_size_ = 0;
  is_last_part_ = !upload_;
}

void RequestWriter::release() {
  head_ = {};
  part_ = {};
  upload_.reset();
}

boost::asio::const_buffer RequestWriter::unwritten() const {
  return boost::asio::buffer(part_) + written_size_;
}

bool RequestWriter::is_waiting_for_body() const { return upload_->size() == 0 && !upload_->is_finished(); }

void RequestWriter::wait_for_body(std::function<void()> on_data) {
  upload_->wait_for_data(std::move(on_data));
}

void RequestWriter::take_next_part() {
  part_ = upload_->take_data();
  is_last_part_ = upload_->is_finished();
  if (!upload_->length()) {
    frame_as_chunk(part_);
    if (is_last_part_) part_ += kLastChunk;
  }
  written_size_ = 0;
}

}  // namespace quota_gateway::net
