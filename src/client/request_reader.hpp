// Parses the byte stream of one client connection into requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "client/client_request.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Limit for the unread bytes of pipelined requests.
constexpr std::size_t kMaxReadAhead = 16 << 10;  // bytes

// What the connection has to know of a request's head beside the request itself.
struct RequestHead {
  bool keep_alive = true;
  unsigned http_version = 11;  // as 10 or 11
  bool expects_continue = false;
  bool is_health_check = false;
};

// Why a message is rejected.
struct RequestError {
  int status = 400;
  std::string reason;
};

// Buffers received bytes and parses them step by step. The body that was decoded so far waits in body() until
// the caller takes or clears it.
class RequestReader {
 public:
  // The result of one step.
  struct Progress {
    bool head_completed = false;    // this step completed the head
    bool needs_more_input = false;  // the request continues in bytes that have not been received
    std::size_t body_bytes = 0;     // that this step decoded
    std::optional<RequestError> error;
  };

  // Adds bytes that the client sent; the latest of them arrived at `received_at`.
  void append(std::string_view bytes, TimePoint received_at);
  // Drops all input that is not parsed yet.
  void clear_input() { input_.clear(); }
  [[nodiscard]] bool has_input() const { return !input_.empty(); }
  [[nodiscard]] std::size_t input_size() const { return input_.size(); }
  // Whether the input is too long for the head of a request.
  [[nodiscard]] bool is_input_oversized() const;

  // Begins a request; parse_some() may be called until end_request().
  void begin_request();
  void end_request() { parser_.reset(); }
  [[nodiscard]] bool is_in_request() const { return parser_.has_value(); }
  // Parses as much of the input as the parser takes at once.
  Progress parse_some();

  [[nodiscard]] bool is_head_complete() const { return is_head_complete_; }
  [[nodiscard]] bool is_request_complete() const { return parser_ && parser_->is_done(); }
  // The head of the present request, once it is complete.
  [[nodiscard]] RequestHead head() const;
  // Validates the present request. Throws BadRequest.
  [[nodiscard]] ClientRequest parse_request(const Settings& settings) const;
  // The declared length of the body; none if it is chunked, or if there is no body.
  [[nodiscard]] std::optional<std::uint64_t> content_length() const;
  // How much of the declared length has not been parsed.
  [[nodiscard]] std::optional<std::uint64_t> remaining_content_length() const;
  // When the last parsed byte arrived. The time of a pipelined request counts from its own arrival, not from
  // the end of the request before it.
  [[nodiscard]] TimePoint last_byte_received_at() const { return arrivals_.front().received_at; }

  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] std::string take_body();
  void clear_body() { body_.clear(); }

 private:
  // The bytes of one read.
  struct Arrival {
    std::uint64_t stream_end = 0;  // number of bytes received on the connection, these included
    TimePoint received_at = 0;
  };
  void consume(std::size_t size);

  std::string input_;
  std::string body_;
  std::vector<Arrival> arrivals_;  // of the unparsed bytes and of the last parsed one
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_parsed_ = 0;
  std::optional<RequestParser> parser_;
  bool is_head_complete_ = false;
};

}  // namespace quota_gateway::net
