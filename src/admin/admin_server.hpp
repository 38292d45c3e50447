// The second address: readiness, figures, and booking servers taken out by hand. One call a connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "runtime/timers.hpp"

namespace quota_gateway::net {

// What became of a call to take a booking server out of use or back into it.
enum class DisableResult { kDone, kUnknownEndpoint, kNotStored };

// What the calls reach; the driver fills them in.
struct AdminHandlers {
  std::function<bool()> is_ready;
  std::function<std::string()> metrics_json;
  std::function<void(const std::string& server, bool disabled, std::function<void(DisableResult)>)>
      set_disabled;
};

class AdminServer {
 public:
  AdminServer(boost::asio::io_context& io, Timers& timers, AdminHandlers handlers);
  ~AdminServer();

  // Keeps trying while the address is taken: staff need it, and clients must not suffer for it.
  void listen(const boost::asio::ip::tcp::endpoint& at);
  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void accept();

  Timers& timers_;
  const AdminHandlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::shared_ptr<Session>> sessions_;  // in the order in which they came
};

}  // namespace quota_gateway::net
