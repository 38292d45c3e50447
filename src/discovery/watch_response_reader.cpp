// Decodes a watch response layer by layer: HTTP, lines and JSON objects.
#include "discovery/watch_response_reader.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMaxMessageSize = 4 << 20;  // bytes

bool is_blank(const std::string& line) { return line.find_first_not_of(" \r\t") == std::string::npos; }

}  // namespace

bool JsonObjectAssembler::add_line(const std::string& line) {
  text_ += line;
  for (const char character : line) {
    if (is_escaped_) {
      is_escaped_ = false;
      continue;
    }
    is_escaped_ = in_string_ && character == '\\';
    if (character == '"') in_string_ = !in_string_;
    if (in_string_) continue;
    if (character == '{' || character == '[') ++depth_;
    if (character == '}' || character == ']') --depth_;
  }
  return depth_ <= 0 && !in_string_;
}

std::string JsonObjectAssembler::take_object() { return std::exchange(text_, {}); }

WatchResponseReader::WatchResponseReader(MessageCallback on_message) : on_message_(std::move(on_message)) {
  parser_.eager(true);
  parser_.body_limit(boost::none);  // a watch is endless; the size of a message is limited instead
}

void WatchResponseReader::feed(std::string_view bytes) {
  unparsed_ += bytes;
  parse_http();
  if (!parser_.is_header_done()) return;
  if (parser_.get().result() != http::status::ok)
    throw WatchRejectedError("status " + std::to_string(parser_.get().result_int()));
  body_ += parser_.get().body();
  parser_.get().body().clear();
  process_lines();
  if (std::max({body_.size(), unparsed_.size(), object_assembler_.size()}) > kMaxMessageSize)
    throw WatchResponseError("message too large");
}

void WatchResponseReader::parse_http() {
  while (!unparsed_.empty()) {
    boost::system::error_code error;
    const std::size_t consumed = parser_.put(boost::asio::buffer(unparsed_), error);
    unparsed_.erase(0, consumed);
    if (error && error != http::error::need_more) throw WatchResponseError(error.message());
    if (consumed == 0) return;
  }
}

void WatchResponseReader::process_lines() {
  std::size_t start = 0;
  std::size_t end = body_.find('\n');
  while (end != std::string::npos) {
    process_line(body_.substr(start, end - start));
    start = end + 1;
    end = body_.find('\n', start);
  }
  body_.erase(0, start);
}

// A blank line counts as a heartbeat even within an object.
void WatchResponseReader::process_line(const std::string& line) {
  if (is_blank(line)) {
    on_message_({});
  } else if (object_assembler_.add_line(line)) {
    on_message_(object_assembler_.take_object());
  }
}

}  // namespace quota_gateway::net
