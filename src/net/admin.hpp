// The second address: readiness, figures, and booking servers taken out by hand. One call a connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "timers.hpp"

namespace cottonroad::net {

// What became of a call to take a booking server out of use or back into it.
enum class SwitchResult { kDone, kUnknownServer, kNotKept };

// What the calls reach; the driver fills them in.
struct AdminCalls {
  std::function<bool()> ready;
  std::function<std::string()> metrics;
  std::function<void(const std::string& server, bool disabled, std::function<void(SwitchResult)>)> disable;
};

class Admin {
 public:
  Admin(boost::asio::io_context& io, Timers& timers, AdminCalls calls);
  ~Admin();

  // Keeps trying while the address is taken: staff need it, and clients must not suffer for it.
  void listen(const boost::asio::ip::tcp::endpoint& at);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void accept();

  Timers& timers_;
  const AdminCalls calls_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::shared_ptr<Session>> sessions_;  // in the order in which they came
};

}  // namespace cottonroad::net
