// Serializes one attempt's HTTP request, including a body that arrives while the request is being written.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "network/outgoing_request.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Holds the bytes of a request that have to be written to the endpoint. It performs no I/O.
class RequestWriter {
 public:
  // Serializes everything but the remaining time, which is known only when writing starts.
  void prepare(const OutgoingRequest& request);
  // Completes the headers with the time that the endpoint has left, and starts at the first byte.
  void start(Duration time_left);
  // Frees the buffers and the upload at the end of the attempt.
  void release();
  // Lets go of the upload once the last byte is written.
  void release_upload() { upload_.reset(); }

  // The bytes of the present part that are not written yet.
  [[nodiscard]] boost::asio::const_buffer unwritten() const;
  void mark_written(std::size_t size) { written_ += size; }
  // Whether the present part ends with the last byte of the request.
  [[nodiscard]] bool is_last_part() const { return is_last_part_; }

  // Whether the client has to send more of the body before there is a next part.
  [[nodiscard]] bool is_waiting_for_body() const;
  // Calls `on_data` once the client has sent more of the body or has ended it.
  void wait_for_body(std::function<void()> on_data);
  // Takes what the client has sent of the body as the next part.
  void take_next_part();

 private:
  std::string head_;  // the request line and the headers before the remaining time
  std::string part_;  // what is being written: first the headers and the body, then the parts of an upload
  std::size_t written_ = 0;  // bytes of `part_` that the kernel has accepted
  std::shared_ptr<BodyUpload> upload_;
  bool is_last_part_ = false;
};

}  // namespace quota_gateway::net
