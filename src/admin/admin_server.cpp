#include "admin/admin_server.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <optional>
#include <string_view>

#include "network/system_errors.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMostSessions = 16;  // descriptors that callers may cost, whatever they do
constexpr Micros kPatience = 3'000'000;    // us for a whole call and its answer
constexpr Micros kRetry = 200'000;  // us until a taken address, or an accept without descriptors, again
constexpr std::uint32_t kMostHeader = 4 << 10;
constexpr std::uint64_t kMaxBodySize = 4 << 10;

}  // namespace

class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& admin, tcp::socket socket) : admin_(admin), socket_(std::move(socket)) {}

  void start() {
    parser_.header_limit(kMostHeader);
    parser_.body_limit(kMaxBodySize);
    http::async_read(socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->socket_.is_open()) return;
      const bool malformed = ec.category() == http::make_error_code(http::error::bad_method).category();
      if (ec && (!malformed || ec == http::error::end_of_stream)) return self->close();
      ec ? self->answer(http::status::bad_request, "not a proper call\n") : self->call();
    });
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
    admin_.sessions_.remove_if([this](const auto& s) { return s.get() == this; });
  }

 private:
  void call() {
    const auto target = parser_.get().target();
    const std::string_view path = std::string_view(target.data(), target.size()).substr(0, target.find('?'));
    if (path == "/-/ready") {
      if (!allowed(http::verb::get)) return;
      const bool ready = admin_.handlers_.is_ready();
      return answer(ready ? http::status::ok : http::status::service_unavailable,
                    ready ? "ready\n" : "not ready\n");
    }
    if (path == "/-/metrics") {
      if (!allowed(http::verb::get)) return;
      answer_.set(http::field::content_type, "application/json");
      return answer(http::status::ok, admin_.handlers_.metrics_json());
    }
    constexpr std::string_view servers = "/-/booking-servers/";
    const auto slash = path.rfind('/');
    const std::string_view what = path.substr(slash + 1);
    if (path.substr(0, servers.size()) != servers || slash <= servers.size() ||
        (what != "disable" && what != "enable"))
      return answer(http::status::not_found, "no such call\n");
    if (!allowed(http::verb::post)) return;
    const std::string server(path.substr(servers.size(), slash - servers.size()));
    admin_.handlers_.set_disabled(
        server, what == "disable",
        [self = shared_from_this()](DisableResult result) { self->answer(result); });
  }

  void answer(DisableResult result) {
    switch (result) {
      case DisableResult::kDone:
        return answer(http::status::ok, "ok\n");
      case DisableResult::kUnknownEndpoint:
        return answer(http::status::not_found, "no such booking server\n");
      case DisableResult::kNotStored:
        return answer(http::status::service_unavailable, "not kept, call again\n");
    }
  }

  bool allowed(http::verb verb) {
    if (parser_.get().method() == verb) return true;
    answer_.set(http::field::allow, http::to_string(verb));
    answer(http::status::method_not_allowed, "method not allowed\n");
    return false;
  }

  void answer(http::status status, std::string body) {
    if (!socket_.is_open()) return;
    answer_.result(status);
    answer_.keep_alive(false);
    answer_.body() = std::move(body);
    answer_.prepare_payload();
    http::async_write(socket_, answer_, [self = shared_from_this()](error_code, std::size_t) {
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_both, ignored);
      self->close();
    });
  }

  AdminServer& admin_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> answer_;
};

AdminServer::AdminServer(asio::io_context& io, Timers& timers, AdminHandlers handlers)
    : timers_(timers), handlers_(std::move(handlers)), acceptor_(io) {}
AdminServer::~AdminServer() = default;

void AdminServer::listen(const tcp::endpoint& at) {
  error_code ec, ignored;
  acceptor_.open(at.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(at, ec);
  if (!ec) acceptor_.listen(tcp::acceptor::max_listen_connections, ec);
  if (!ec) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  if (!ec) return accept();
  std::cerr << "admin: " << ec.message() << '\n';
  acceptor_.close(ignored);
  timers_.schedule_after(kRetry, [this, at] { listen(at); });
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec && classify_accept(ec) == AcceptFailure::kConnectionLost) return accept();
    if (ec) return timers_.schedule_after(kRetry, [this] { accept(); });
    if (sessions_.size() >= kMostSessions) std::shared_ptr<Session>(sessions_.front())->close();
    const auto& session = sessions_.emplace_back(std::make_shared<Session>(*this, std::move(socket)));
    timers_.schedule_after(kPatience, [weak = std::weak_ptr<Session>(session)] {
      if (const auto late = weak.lock()) late->close();
    });
    session->start();
    accept();
  });
}

}  // namespace quota_gateway::net
