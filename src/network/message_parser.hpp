// Parses HTTP messages. Keeps only the header fields that the gateway uses, so that the memory of a message
// does not depend on the number of its fields.
#pragma once

#include <array>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "network/counted_buffer.hpp"

namespace quota_gateway::net {

// The values of selected header fields. Their memory counts against the budget as they arrive.
class SelectedFields {
 public:
  static constexpr std::size_t kMaxFields = 8;

  // `names` are at most kMaxFields names, which are compared without case and must outlive this object.
  SelectedFields(BodyBudget& budget, std::span<const std::string_view> names)
      : names_(names), text_(budget) {}

  // Keeps the value if the field is a selected one that has no value yet.
  void add(std::string_view name, std::string_view value);
  // Returns the value of a selected field; empty if the message does not have it.
  [[nodiscard]] std::string_view operator[](std::string_view name) const;
  // Returns the total size of the values in bytes.
  [[nodiscard]] std::size_t size() const { return text_.size(); }

 private:
  struct Range {
    std::size_t offset = 0;
    std::size_t size = 0;
    bool is_set = false;
  };

  [[nodiscard]] std::size_t find(std::string_view name) const;

  std::span<const std::string_view> names_;
  std::array<Range, kMaxFields> ranges_;
  CountedBuffer text_;
};

// Parses one message. Decoded body data is appended to the buffer that the parser was created with.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  // The limit for all fields of a message together, and for those that are kept, in bytes.
  struct HeadLimits {
    std::size_t all_fields = 0;
    std::size_t kept_fields = 0;
  };

  MessageParser(BodyBudget& budget, std::span<const std::string_view> field_names, const HeadLimits& limits,
                CountedBuffer& body)
      : limits_(limits), fields_(budget, field_names), target_(budget), body_(body) {
    this->eager(true);
  }

  [[nodiscard]] std::string_view field(std::string_view name) const { return fields_[name]; }
  [[nodiscard]] boost::beast::http::verb method() const { return method_; }
  [[nodiscard]] std::string_view target() const { return target_.bytes(); }
  [[nodiscard]] boost::beast::http::status status() const { return status_; }
  [[nodiscard]] unsigned version() const { return version_; }
  // Returns the size of what is kept of the head, in bytes.
  [[nodiscard]] std::size_t head_size() const { return fields_.size() + target_.size(); }

 private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  static std::string_view to_view(StringView text) { return {text.data(), text.size()}; }

  // In this order, Beast's parser calls these functions.
  void on_request_impl(boost::beast::http::verb method, StringView, StringView target, int version,
                       ErrorCode&) override {
    method_ = method;
    target_.append(to_view(target));
    version_ = unsigned(version);
  }
  void on_response_impl(int code, StringView, int version, ErrorCode&) override {
    status_ = boost::beast::http::int_to_status(unsigned(code));
    version_ = unsigned(version);
  }
  void on_field_impl(boost::beast::http::field, StringView name, StringView value,
                     ErrorCode& error) override {
    constexpr std::size_t kSeparatorsSize = 4;  // ": " and CRLF
    fields_size_ += name.size() + value.size() + kSeparatorsSize;
    if (!is_head_complete_) fields_.add(to_view(name), to_view(value));  // otherwise it is a trailer
    const bool is_too_large = fields_size_ > limits_.all_fields || fields_.size() > limits_.kept_fields;
    if (is_too_large) error = boost::beast::http::error::header_limit;
  }
  void on_header_impl(ErrorCode&) override { is_head_complete_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}
  std::size_t on_body_impl(StringView bytes, ErrorCode&) override { return add_body(bytes); }
  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, StringView bytes, ErrorCode&) override {
    return add_body(bytes);
  }
  void on_finish_impl(ErrorCode&) override {}

  std::size_t add_body(StringView bytes) {
    body_.append(to_view(bytes));
    return bytes.size();
  }

  const HeadLimits limits_;
  SelectedFields fields_;
  CountedBuffer target_;
  CountedBuffer& body_;
  boost::beast::http::verb method_ = boost::beast::http::verb::unknown;
  boost::beast::http::status status_ = boost::beast::http::status::unknown;
  unsigned version_ = 11;
  std::size_t fields_size_ = 0;
  bool is_head_complete_ = false;
};

}  // namespace quota_gateway::net
