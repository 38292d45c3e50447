#include "client/request_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Limit for a single line of a head, and for all that is kept of a head.
constexpr std::uint32_t kMaxLineSize = 8 << 10;   // bytes
constexpr std::uint32_t kMaxHeadSize = 64 << 10;  // bytes
// Unparsed bytes that follow each other within this time count as arrived together, so that a client that
// sends them one by one does not need a record of each.
constexpr Duration kArrivalResolution = 5'000;  // us

RequestError to_request_error(error_code ec) {
  const bool is_too_large = ec == http::error::body_limit || ec == http::error::header_limit;
  return {is_too_large ? 413 : 400, ec.message()};
}

}  // namespace

void RequestReader::append(std::string_view bytes, TimePoint received_at) {
  input_.append(bytes);
  bytes_received_ += bytes.size();
  const bool continues_last = !arrivals_.empty() && arrivals_.back().stream_end > bytes_parsed_ &&
                              received_at - arrivals_.back().received_at < kArrivalResolution;
  if (continues_last) {
    arrivals_.back().stream_end = bytes_received_;
  } else {
    arrivals_.push_back({bytes_received_, received_at});
    arrivals_share_.set(arrivals_.capacity() * sizeof(Arrival));
  }
}

bool RequestReader::is_input_oversized() const { return input_.size() > kMaxLineSize; }

void RequestReader::begin_request() {
  const RequestParser::HeadLimits limits{.all_fields = kMaxHeadSize, .kept_fields = kMaxLineSize};
  parser_.emplace(budget_, kRequestFields, limits, body_);
  parser_->header_limit(kMaxHeadSize);
  parser_->body_limit(kMaxBodySize);
  is_head_complete_ = false;
}

void RequestReader::end_request() { parser_.reset(); }

RequestReader::Progress RequestReader::parse_some() {
  Progress progress;
  error_code ec;
  const std::size_t previous_body_size = body_.size();
  const std::size_t consumed = parser_->put(boost::asio::buffer(input_.bytes()), ec);
  progress.body_bytes = body_.size() - previous_body_size;
  consume(consumed);
  if (ec && ec != http::error::need_more) {
    progress.error = to_request_error(ec);
    return progress;
  }
  progress.head_completed = parser_->is_header_done() && !is_head_complete_;
  is_head_complete_ = parser_->is_header_done();
  progress.needs_more_input = ec == http::error::need_more || consumed == 0;
  return progress;
}

void RequestReader::consume(std::size_t size) {
  input_.remove_prefix(size);
  bytes_parsed_ += size;
  while (arrivals_.size() > 1 && arrivals_.front().stream_end < bytes_parsed_)
    arrivals_.erase(arrivals_.begin());
}

RequestHead RequestReader::head() const {
  const std::string_view expect = parser_->field("Expect");
  RequestHead head;
  head.keep_alive = parser_->keep_alive();
  head.http_version = parser_->version();
  head.expects_continue = boost::beast::iequals({expect.data(), expect.size()}, "100-continue");
  head.is_health_check = parser_->method() == http::verb::get && parser_->target() == "/_health";
  return head;
}

ClientRequest RequestReader::parse_request(const Settings& settings) const {
  return net::parse_request(*parser_, settings);
}

std::optional<std::uint64_t> RequestReader::content_length() const {
  const auto length = parser_->content_length();
  if (!length) return std::nullopt;
  return *length;
}

std::size_t RequestReader::buffered_bytes() const {
  return input_.size() + body_.size() + (parser_ ? parser_->head_size() : 0);
}

std::string RequestReader::take_body() { return body_.take(); }

}  // namespace quota_gateway::net
