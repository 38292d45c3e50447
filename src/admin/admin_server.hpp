// The admin server: reports readiness and metrics, and lets operators disable and enable endpoints. It
// listens on its own address, so that clients cannot delay it, and serves one request per connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "admin/admin_handlers.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

class AdminSession;

// Accepts connections and limits the number of sessions and the duration of each.
class AdminServer {
 public:
  AdminServer(boost::asio::io_context& io, Timers& timers, AdminHandlers handlers);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  AdminServer(AdminServer&&) = delete;
  AdminServer& operator=(AdminServer&&) = delete;
  ~AdminServer();

  // Starts to accept connections. Retries on failure, such as an address in use, because client traffic must
  // not depend on the admin server.
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
