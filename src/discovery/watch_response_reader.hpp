// Reads the response to a watch request: an endless HTTP response whose body is a sequence of JSON objects
// and blank lines. An object takes one line or, if the agent indents it, several.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace quota_gateway::net {

// Thrown for a response that is not valid HTTP, or that contains an oversized line or object.
class WatchResponseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Thrown for a response with a status other than 200.
class WatchRejectedError : public WatchResponseError {
 public:
  using WatchResponseError::WatchResponseError;
};

// Assembles a JSON object from its lines. The object is complete once all its brackets are closed.
class JsonObjectAssembler {
 public:
  // Appends a line without its line feed. Returns whether the object is complete.
  bool add_line(const std::string& line);

  // Returns the text of the complete object and begins a new one.
  std::string take_object();

  // Returns the size of the incomplete object in bytes.
  [[nodiscard]] std::size_t size() const { return text_.size(); }

 private:
  std::string text_;
  int depth_ = 0;  // number of open brackets
  bool in_string_ = false;
  bool is_escaped_ = false;  // the next character follows a backslash in a string
};

// Decodes the response on one connection, which may arrive in pieces of any size.
class WatchResponseReader {
 public:
  // Receives the text of a JSON object, or an empty string for a blank line, which is a heartbeat.
  using MessageCallback = std::function<void(const std::string& object)>;

  explicit WatchResponseReader(MessageCallback on_message);

  // Calls `on_message` for each message that `bytes` completes. Throws WatchResponseError.
  void feed(std::string_view bytes);

  // True once the agent has ended the response.
  [[nodiscard]] bool is_done() const { return parser_.is_done(); }

 private:
  void parse_http();
  void process_lines();
  void process_line(const std::string& line);

  MessageCallback on_message_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  std::string unparsed_;  // bytes that the HTTP parser has not consumed yet
  std::string body_;      // the end of the body, which is not a complete line yet
  JsonObjectAssembler object_assembler_;
};

}  // namespace quota_gateway::net
