// The admin server: readiness, metrics, and endpoints disabled by the operators. It listens on an address of
// its own, so that clients can't delay it, and serves one request per connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "admin/admin_handlers.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

class AdminSession;

// Accepts connections and limits the number and the duration of the sessions.
class AdminServer {
 public:
  AdminServer(boost::asio::io_context& io, Timers& timers, AdminHandlers handlers);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  AdminServer(AdminServer&&) = delete;
  AdminServer& operator=(AdminServer&&) = delete;
  ~AdminServer();

  // Begins to accept connections. Retries while the address is in use, because the clients' traffic must not
  // depend on the admin server.
  void listen(const boost::asio::ip::tcp::endpoint& address);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  boost::system::error_code open_acceptor(const boost::asio::ip::tcp::endpoint& address);
  void accept();
  void on_accepted(boost::asio::ip::tcp::socket socket);

  Timers& timers_;
  const AdminHandlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::shared_ptr<AdminSession>> sessions_;  // oldest first
};

}  // namespace quota_gateway::net
