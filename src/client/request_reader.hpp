// Parses the byte stream of one client connection into requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "client/client_request.hpp"
#include "network/body_transfer.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Limit for the unparsed bytes that are read ahead, such as pipelined requests.
constexpr std::size_t kMaxReadAhead = 16 << 10;  // bytes

// The properties of a request's head that the connection needs in addition to the request itself.
struct RequestHead {
  bool keep_alive = true;
  unsigned http_version = 11;  // 10 or 11
  bool expects_continue = false;
  bool is_health_check = false;
};

// Why a message is rejected.
struct RequestError {
  int status = 400;
  std::string reason;
};

// Buffers received bytes and parses them incrementally. Decoded body data accumulates in body() until the
// caller takes or clears it.
class RequestReader {
 public:
  // The memory of the buffers counts against `budget`.
  explicit RequestReader(BodyBudget& budget)
      : budget_(budget), input_(budget), body_(budget), arrivals_share_(budget) {}

  // The result of one parse_some().
  struct Progress {
    bool head_completed = false;    // the head became complete in this call
    bool needs_more_input = false;  // the rest of the request has not been received
    std::size_t body_bytes = 0;     // decoded in this call
    std::optional<RequestError> error;
  };

  // Adds bytes that the client sent; the latest of them arrived at `received_at`.
  void append(std::string_view bytes, TimePoint received_at);
  // Discards all unparsed input.
  void clear_input() { input_.clear(); }
  [[nodiscard]] bool has_input() const { return !input_.empty(); }
  [[nodiscard]] std::size_t input_size() const { return input_.size(); }
  // Returns the size of all data held: unparsed input, the head and the body.
  [[nodiscard]] std::size_t buffered_bytes() const;
  // Whether the unparsed input exceeds the size limit for the head of a request.
  [[nodiscard]] bool is_input_oversized() const;

  // Returns how many bytes have been received on the connection.
  [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }

  // Begins a request. parse_some() may be called from now until end_request().
  void begin_request();
  void end_request();
  [[nodiscard]] bool is_in_request() const { return parser_.has_value(); }
  // Parses as much of the input as the parser accepts in one call.
  Progress parse_some();

  [[nodiscard]] bool is_head_complete() const { return is_head_complete_; }
  [[nodiscard]] bool is_request_complete() const { return parser_ && parser_->is_done(); }
  // Returns the head of the current request. Requires a complete head.
  [[nodiscard]] RequestHead head() const;
  // Validates and returns the current request. Throws BadRequest. Requires a complete head.
  [[nodiscard]] ClientRequest parse_request(const Settings& settings) const;
  // The declared length of the body in bytes; std::nullopt if the body is chunked, or if there is none.
  [[nodiscard]] std::optional<std::uint64_t> content_length() const;
  // When the last parsed byte arrived. The timeout of a pipelined request starts with its own arrival, not
  // with the end of the previous request.
  [[nodiscard]] TimePoint last_byte_received_at() const { return arrivals_.front().received_at; }

  [[nodiscard]] const std::string& body() const { return body_.bytes(); }
  [[nodiscard]] std::string take_body();
  void clear_body() { body_.clear(); }

 private:
  // The arrival of the bytes of one append().
  struct Arrival {
    std::uint64_t stream_end = 0;  // bytes received on the connection up to the end of this read
    TimePoint received_at = 0;
  };
  // Removes the first `size` bytes of the input, which have been parsed.
  void consume(std::size_t size);

  BodyBudget& budget_;
  CountedBuffer input_;
  CountedBuffer body_;
  std::vector<Arrival> arrivals_;  // of all unparsed bytes and of the last parsed byte
  BodyBudget::Share arrivals_share_;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_parsed_ = 0;
  std::optional<RequestParser> parser_;
  bool is_head_complete_ = false;
};

}  // namespace quota_gateway::net
