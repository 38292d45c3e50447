// Parses an endpoint's response, and decides whether its body is buffered or streamed to the client.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "network/body_transfer.hpp"
#include "network/message_parser.hpp"
#include "upstream/attempt.hpp"

namespace quota_gateway::net {

using ResponseParser = MessageParser<false>;

// Reads the response to one attempt at a time. It performs no I/O.
class ResponseReader {
 public:
  // The state of the response after the bytes consumed so far.
  enum class Status {
    kIncomplete,  // more bytes are needed
    kComplete,
    kInvalid,  // not HTTP, or larger than allowed
    kFailed,   // an error response whose body is too large to buffer; the rest of it is not needed
    kAborted   // `on_started` ended the attempt
  };
  // Called when streaming of a body starts, with the result so far and the length of the body, or
  // std::nullopt if it is unknown. Returns whether the attempt continues.
  using StartedCallback = std::function<bool(const AttemptResult& head, std::optional<std::uint64_t> length)>;

  explicit ResponseReader(BodyBudget& budget);

  // Prepares for the response to the next request.
  void start();
  // Frees the buffers at the end of the attempt.
  void release();

  // Parses bytes that were read from the connection and returns the state of the response.
  Status consume(std::string_view bytes, const StartedCallback& on_started);
  // Handles an orderly close by the endpoint. Returns whether it completes the response, as it does only for
  // a response without a length.
  bool complete_at_close();

  // Returns whether the head of a successful response of unknown length has arrived, and its body, which is
  // not complete, is buffered.
  [[nodiscard]] bool can_start_streaming() const;
  // Starts to stream such a response before the buffer is full. Returns false if `on_started` ended the
  // attempt.
  bool start_streaming(const StartedCallback& on_started);
  // Returns whether the response is streamed: the client has received a part of it, or is about to.
  [[nodiscard]] bool is_streaming() const { return is_streaming_; }
  // Returns how many bytes of the body are buffered.
  [[nodiscard]] std::size_t buffered_body_size() const { return body_.size(); }
  // Returns how many bytes of the body were taken by take_streamed_bytes().
  [[nodiscard]] std::uint64_t delivered_size() const { return delivered_size_; }
  [[nodiscard]] bool has_streamed_bytes() const { return is_streaming_ && !body_.empty(); }
  // Takes the bytes that are ready to be streamed to the client.
  std::string take_streamed_bytes();
  // Returns the result of a complete or failed response, with its buffered body if it was successful.
  AttemptResult take_result();
  // Returns whether the response leaves the connection ready for another request.
  [[nodiscard]] bool is_connection_reusable() const;

 private:
  void expect_response();
  Status apply_body_limits(const StartedCallback& on_started);
  [[nodiscard]] bool is_interim_response() const;

  BodyBudget& budget_;
  std::optional<ResponseParser> parser_;
  CountedBuffer unparsed_;
  CountedBuffer body_;                // buffered, or not yet taken for delivery to the client
  std::uint64_t delivered_size_ = 0;  // bytes of the body taken for delivery to the client
  bool is_streaming_ = false;
};

}  // namespace quota_gateway::net
