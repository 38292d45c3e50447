// Serializes one attempt's HTTP request, including a body that arrives while the request is being written.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "network/outgoing_request.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Provides the bytes of a request part by part: first the headers with the buffered body, then the parts of
// an upload. It performs no I/O.
class RequestWriter {
 public:
  using Buffers = std::array<boost::asio::const_buffer, 2>;

  // The memory of the parts counts against `budget`.
  explicit RequestWriter(BodyBudget& budget) : part_(budget) {}

  // Serializes everything except the remaining time, which is known only when writing starts.
  void prepare(const OutgoingRequest& request);
  // Completes the headers with the time that the endpoint has left, and makes them the current part.
  void start(Duration time_left);
  // Frees the buffers and releases the body, once the last byte is written or the attempt has ended.
  void release();

  // Returns the bytes of the current part that are not written yet.
  [[nodiscard]] Buffers unwritten() const;
  [[nodiscard]] bool has_unwritten_bytes() const { return boost::asio::buffer_size(unwritten()) > 0; }
  void mark_written(std::size_t size) { written_size_ += size; }
  // Returns whether the current part ends with the last byte of the request.
  [[nodiscard]] bool is_last_part() const { return is_last_part_; }

  // Returns whether the client has to send more of the body before there is a next part.
  [[nodiscard]] bool is_waiting_for_body() const;
  // Frees the current part, which must be written, and calls `on_data` once the client has sent more of the
  // body or has ended it.
  void wait_for_body(std::function<void()> on_data);
  // Makes the body data that the client has sent since the last part the current part.
  void take_next_part();

 private:
  CountedBuffer part_;                         // the current part without the buffered body
  std::shared_ptr<const CountedBuffer> body_;  // the rest of the current part; null if there is none
  std::size_t written_size_ = 0;               // bytes of both that the kernel has accepted
  std::shared_ptr<BodyUpload> upload_;
  bool is_last_part_ = false;
};

}  // namespace quota_gateway::net
