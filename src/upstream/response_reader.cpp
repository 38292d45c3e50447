// Parsing of responses.
#include "upstream/response_reader.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "upstream/load_report.hpp"

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Limit for a single line of a head, and for all that is kept of a head.
constexpr std::uint32_t kMaxLineSize = 16 << 10;  // bytes
constexpr std::uint32_t kMaxHeadSize = 64 << 10;  // bytes

// The header fields of a response that the gateway uses.
constexpr std::array<std::string_view, 3> kResponseFields = {"X-Never-Ran", "Endpoint-Load-Metrics",
                                                             "Billed-Units"};

// A 503 or 504 proves that the request was not executed only if the endpoint says so; a plain one may come
// from an endpoint that executed it.
Outcome classify_response(const ResponseParser& response) {
  const http::status status = response.status();
  if (status == http::status::ok) return Outcome::kOk;
  const bool is_overload_status =
      status == http::status::service_unavailable || status == http::status::gateway_timeout;
  const bool is_proven_unexecuted = response.field("X-Never-Ran") == "1";
  return is_overload_status && is_proven_unexecuted ? Outcome::kOverloaded : Outcome::kError;
}

// Returns the result according to the status and headers of a response.
AttemptResult result_from_head(const ResponseParser& response) {
  AttemptResult result;
  result.outcome = classify_response(response);
  result.load = parse_load_report(response.field("Endpoint-Load-Metrics"));
  result.billed_units = parse_billed_units(response.field("Billed-Units"));
  return result;
}

std::optional<std::uint64_t> to_std_optional(const boost::optional<std::uint64_t>& length) {
  if (!length) return std::nullopt;
  return *length;
}

}  // namespace

ResponseReader::ResponseReader(BodyBudget& budget) : budget_(budget), unparsed_(budget), body_(budget) {}

void ResponseReader::start() {
  body_.clear();
  delivered_size_ = 0;
  is_streaming_ = false;
  expect_response();
}

void ResponseReader::release() {
  parser_.reset();
  unparsed_.clear();
  body_.clear();
}

void ResponseReader::expect_response() {
  const ResponseParser::HeadLimits limits{.all_fields = kMaxHeadSize, .kept_fields = kMaxLineSize};
  parser_.emplace(budget_, kResponseFields, limits, body_);
  parser_->header_limit(kMaxHeadSize);
  parser_->body_limit(kMaxBodySize);
}

ResponseReader::Status ResponseReader::consume(std::string_view bytes, const StartedCallback& on_started) {
  unparsed_.append(bytes);
  while (!unparsed_.empty() && !parser_->is_done()) {
    error_code error;
    const std::size_t consumed = parser_->put(boost::asio::buffer(unparsed_.bytes()), error);
    unparsed_.remove_prefix(consumed);
    if (error && error != http::error::need_more) return Status::kInvalid;
    if (parser_->is_header_done()) {
      const Status status = apply_body_limits(on_started);
      if (status != Status::kIncomplete) return status;
    }
    if (error == http::error::need_more) {
      // The parser does not limit the size of a chunk extension, which may be endless.
      if (unparsed_.size() > kMaxLineSize) return Status::kInvalid;
      break;
    }
    if (is_interim_response()) {
      expect_response();
    } else if (consumed == 0) {
      break;
    }
  }
  return parser_->is_done() ? Status::kComplete : Status::kIncomplete;
}

// Buffers a small body, so that the request can be retried if the rest of the body does not arrive. Starts to
// stream a larger one if the response is successful.
ResponseReader::Status ResponseReader::apply_body_limits(const StartedCallback& on_started) {
  // The parser's own limit lets an announced length pass, and an endpoint may send an endless body.
  const auto length = to_std_optional(parser_->content_length());
  const std::uint64_t size = std::max<std::uint64_t>(length.value_or(0), delivered_size_ + body_.size());
  if (size > kMaxBodySize) return Status::kInvalid;
  if (is_streaming_) return Status::kIncomplete;
  const bool is_complete_and_small = parser_->is_done() && size <= kBufferedBodyLimit;
  if (size <= budget_.buffered_body_limit() || is_complete_and_small) return Status::kIncomplete;
  const AttemptResult head = result_from_head(*parser_);
  if (head.outcome != Outcome::kOk) return Status::kFailed;
  is_streaming_ = true;
  return on_started(head, length) ? Status::kIncomplete : Status::kAborted;
}

bool ResponseReader::can_start_streaming() const {
  if (!parser_ || is_streaming_ || !parser_->is_header_done() || parser_->is_done()) return false;
  return !parser_->content_length() && classify_response(*parser_) == Outcome::kOk;
}

bool ResponseReader::start_streaming(const StartedCallback& on_started) {
  is_streaming_ = true;
  return on_started(result_from_head(*parser_), std::nullopt);
}

bool ResponseReader::is_interim_response() const {
  return parser_->is_done() && http::to_status_class(parser_->status()) == http::status_class::informational;
}

bool ResponseReader::complete_at_close() {
  if (!parser_->got_some() || !parser_->is_header_done() || !parser_->need_eof()) return false;
  error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done();
}

std::string ResponseReader::take_streamed_bytes() {
  delivered_size_ += body_.size();
  return body_.take();
}

AttemptResult ResponseReader::take_result() {
  AttemptResult result = result_from_head(*parser_);
  if (result.outcome == Outcome::kOk) result.body = body_.take();
  return result;
}

bool ResponseReader::is_connection_reusable() const { return parser_->keep_alive() && unparsed_.empty(); }

}  // namespace quota_gateway::net
