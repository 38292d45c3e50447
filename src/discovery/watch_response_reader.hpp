// Reads the response of a watch: an HTTP response without end whose body is a sequence of JSON objects and
// blank lines. An object takes one line or, if the agent indents it, several.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace quota_gateway::net {

// A response that is not HTTP, or whose lines or objects have no end.
class WatchResponseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The agent answered with another status than 200.
class WatchRejectedError : public WatchResponseError {
 public:
  using WatchResponseError::WatchResponseError;
};

// Collects the lines of one JSON object until its last bracket is closed.
class JsonObjectAssembler {
 public:
  // Adds a line without its line feed. Returns true if the object is complete.
  bool add_line(const std::string& line);

  // Returns the complete object and begins a new one.
  std::string take_object();

  [[nodiscard]] std::size_t size() const { return text_.size(); }

 private:
  std::string text_;
  int depth_ = 0;  // brackets that are open
  bool in_string_ = false;
  bool is_escaped_ = false;  // the last character was the escape character of a string
};

// Decodes the response of one connection, in pieces of any size.
class WatchResponseReader {
 public:
  // Gets the text of a JSON object, or an empty text for a blank line, which is a heartbeat.
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
  std::string body_;      // the part of the body that no line feed ends yet
  JsonObjectAssembler object_;
};

}  // namespace quota_gateway::net
