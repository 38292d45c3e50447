// A connection to the admin server: reads one request, calls its handler and writes the response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "admin/admin_handlers.hpp"

namespace quota_gateway::net {

// Kept alive by its pending operations and by the server's list of sessions.
class AdminSession : public std::enable_shared_from_this<AdminSession> {
 public:
  // Called by every close(), which may be called more than once.
  using CloseCallback = std::function<void(const AdminSession&)>;

  AdminSession(boost::asio::ip::tcp::socket socket, const AdminHandlers& handlers, CloseCallback on_closed);

  void start();
  void close();

 private:
  void on_request_read(boost::system::error_code error);
  void route_request();
  void handle_ready();
  void handle_metrics();
  void handle_set_disabled(const std::string& endpoint, bool disabled);
  bool require_method(boost::beast::http::verb method);
  void respond_with(DisableResult result);
  void respond(boost::beast::http::status status, std::string body);

  boost::asio::ip::tcp::socket socket_;
  const AdminHandlers& handlers_;
  const CloseCallback on_closed_;
  boost::beast::flat_buffer receive_buffer_;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
};

}  // namespace quota_gateway::net
