// The admin calls: their paths, methods and responses.
#include "admin/admin_session.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeaderSize = 4 << 10;  // bytes
constexpr std::uint64_t kMaxBodySize = 4 << 10;    // bytes

constexpr std::string_view kReadyPath = "/-/ready";
constexpr std::string_view kMetricsPath = "/-/metrics";
constexpr std::string_view kEndpointsPrefix = "/-/booking-servers/";

// A call that disables or enables one endpoint.
struct DisableRequest {
  std::string endpoint;
  bool disabled = false;
};

// Parses a path such as `/-/booking-servers/ID/disable`. Returns std::nullopt for any other path.
std::optional<DisableRequest> parse_disable_path(std::string_view path) {
  if (!path.starts_with(kEndpointsPrefix)) return std::nullopt;
  const auto last_slash = path.rfind('/');
  if (last_slash <= kEndpointsPrefix.size()) return std::nullopt;
  const std::string_view operation = path.substr(last_slash + 1);
  if (operation != "disable" && operation != "enable") return std::nullopt;
  const std::string_view endpoint =
      path.substr(kEndpointsPrefix.size(), last_slash - kEndpointsPrefix.size());
  return DisableRequest{.endpoint = std::string(endpoint), .disabled = operation == "disable"};
}

// Returns whether the received bytes are not valid HTTP, as opposed to a failed or closed connection.
bool is_malformed_request(const error_code& error) {
  const auto& http_category = http::make_error_code(http::error::bad_method).category();
  return error.category() == http_category && error != http::error::end_of_stream;
}

}  // namespace

AdminSession::AdminSession(tcp::socket socket, const AdminHandlers& handlers, CloseCallback on_closed)
    : socket_(std::move(socket)), handlers_(handlers), on_closed_(std::move(on_closed)) {}

void AdminSession::start() {
  parser_.header_limit(kMaxHeaderSize);
  parser_.body_limit(kMaxBodySize);
  http::async_read(
      socket_, receive_buffer_, parser_,
      [self = shared_from_this()](error_code error, std::size_t) { self->on_request_read(error); });
}

void AdminSession::close() {
  error_code ignored;
  socket_.close(ignored);
  on_closed_(*this);
}

void AdminSession::on_request_read(error_code error) {
  if (!socket_.is_open()) return;
  if (!error) return route_request();
  if (is_malformed_request(error)) return respond(http::status::bad_request, "not a proper call\n");
  close();
}

void AdminSession::route_request() {
  const auto target = parser_.get().target();
  const std::string_view path = std::string_view(target.data(), target.size()).substr(0, target.find('?'));
  if (path == kReadyPath) return handle_ready();
  if (path == kMetricsPath) return handle_metrics();
  if (const auto request = parse_disable_path(path))
    return handle_set_disabled(request->endpoint, request->disabled);
  respond(http::status::not_found, "no such call\n");
}

void AdminSession::handle_ready() {
  if (!require_method(http::verb::get)) return;
  if (handlers_.is_ready()) return respond(http::status::ok, "ready\n");
  respond(http::status::service_unavailable, "not ready\n");
}

void AdminSession::handle_metrics() {
  if (!require_method(http::verb::get)) return;
  response_.set(http::field::content_type, "application/json");
  respond(http::status::ok, handlers_.metrics_json());
}

void AdminSession::handle_set_disabled(const std::string& endpoint, bool disabled) {
  if (!require_method(http::verb::post)) return;
  handlers_.set_disabled(endpoint, disabled,
                         [self = shared_from_this()](DisableResult result) { self->respond_with(result); });
}

// Returns whether the request has the given method; rejects it if not.
bool AdminSession::require_method(http::verb method) {
  if (parser_.get().method() == method) return true;
  response_.set(http::field::allow, http::to_string(method));
  respond(http::status::method_not_allowed, "method not allowed\n");
  return false;
}

void AdminSession::respond_with(DisableResult result) {
  switch (result) {
    case DisableResult::kDone:
      return respond(http::status::ok, "ok\n");
    case DisableResult::kUnknownEndpoint:
      return respond(http::status::not_found, "no such booking server\n");
    case DisableResult::kNotStored:
      return respond(http::status::service_unavailable, "not kept, call again\n");
  }
}

void AdminSession::respond(http::status status, std::string body) {
  if (!socket_.is_open()) return;
  response_.result(status);
  response_.keep_alive(false);
  response_.body() = std::move(body);
  response_.prepare_payload();
  http::async_write(socket_, response_, [self = shared_from_this()](error_code, std::size_t) {
    error_code ignored;
    self->socket_.shutdown(tcp::socket::shutdown_both, ignored);
    self->close();
  });
}

}  // namespace quota_gateway::net
