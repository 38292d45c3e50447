// Reloading of the configuration while the gateway runs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "runtime/coordinator.hpp"

namespace quota_gateway::net {

// Applies the configuration at each reload signal (SIGHUP). A configuration that cannot be used changes
// nothing. It is read again for a while, as the file may be in the middle of a change.
class Reconfiguration {
 public:
  // `reload_signal` exists before the coordinator, so that a signal during the start does not end the
  // process.
  Reconfiguration(boost::asio::io_context& io, boost::asio::signal_set& reload_signal,
                  Coordinator& coordinator);

  // Waits for the next signal.
  void wait();

 private:
  void reload(int remaining_tries);
  void retry_later(int remaining_tries);

  boost::asio::signal_set& reload_signal_;
  Coordinator& coordinator_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace quota_gateway::net
