// Parses an endpoint's response, and decides whether its body is buffered or streamed to the client.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "network/body_transfer.hpp"
#include "upstream/attempt.hpp"

namespace quota_gateway::net {

// Reads the response to one attempt at a time. It performs no I/O.
class ResponseReader {
 public:
  // What the bytes that were consumed amount to.
  enum class Status {
    kIncomplete,  // more bytes have to come
    kComplete,
    kInvalid,  // not HTTP, or larger than allowed
    kFailed,   // an error response whose body is too large to buffer; the rest of it is not needed
    kAborted   // the attempt was ended by `on_started`
  };
  // Called with the result so far and the length of the body, if known, when a body begins to be streamed.
  // Returns whether the attempt goes on.
  using StartedCallback = std::function<bool(const AttemptResult& head, std::optional<std::uint64_t> length)>;

  explicit ResponseReader(BodyBudget& budget);

  // Starts over, for the response to the next request.
  void start();
  // Frees the buffers at the end of the attempt.
  void release();

  // Parses bytes that were read from the connection.
  Status consume(std::string_view bytes, const StartedCallback& on_started);
  // Reports an orderly close by the endpoint. Returns whether it completes the response: only a response
  // without a length ends in this way.
  bool complete_at_close();

  // Whether the client has received a part of the response, or is about to.
  [[nodiscard]] bool is_streaming() const { return is_streaming_; }
  [[nodiscard]] bool has_streamed_bytes() const { return is_streaming_ && !body_.empty(); }
  // Takes what there is to stream to the client.
  std::string take_streamed_bytes();
  // The result of a complete or failed response, with its buffered body if it was successful.
  AttemptResult take_result();
  // Whether the response leaves the connection ready for another request.
  [[nodiscard]] bool is_connection_reusable() const;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void expect_response();
  Status update_body_mode(const StartedCallback& on_started);
  [[nodiscard]] bool is_interim_response() const;

  BodyBudget& budget_;
  BodyBudget::Share buffered_;
  std::optional<Parser> parser_;
  std::string unparsed_;
  std::string body_;                  // buffered, or not yet delivered to the client
  std::uint64_t streamed_bytes_ = 0;  // delivered to the client
  bool is_streaming_ = false;
};

}  // namespace quota_gateway::net
