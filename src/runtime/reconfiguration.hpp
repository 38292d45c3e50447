// Reloads the configuration while the gateway runs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "runtime/coordinator.hpp"

namespace quota_gateway::net {

// Reads and applies the configuration at each reload signal (SIGHUP). A configuration that cannot be used has
// no effect. The file is then read again for a while, because it may be in the middle of being written.
class Reconfiguration {
 public:
  // `reload_signal` is registered before the coordinator is created, because a signal during startup would
  // otherwise terminate the process.
  Reconfiguration(boost::asio::io_context& io, boost::asio::signal_set& reload_signal,
                  Coordinator& coordinator);

  // Starts waiting for reload signals.
  void wait_for_signal();

 private:
  void reload(int remaining_attempts);
  void retry_later(int remaining_attempts);

  boost::asio::signal_set& reload_signal_;
  Coordinator& coordinator_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace quota_gateway::net
