// The gateway program: loads the configuration, handles signals and runs the event loop.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "restart/hot_restart.hpp"
#include "restart/inherited_listener.hpp"
#include "runtime/clock.hpp"
#include "runtime/configuration_loader.hpp"
#include "runtime/coordinator.hpp"
#include "runtime/heap_meter.hpp"
#include "runtime/reconfiguration.hpp"

namespace {

using namespace quota_gateway;

// Returns a clock that continues the clock of the predecessor, if this process replaces one.
net::Clock make_clock(const net::Configuration& configuration) {
  if (!configuration.inherited_listener) return {};
  const auto offset = net::predecessor_clock_offset(configuration.shared_directory);
  return offset ? net::Clock(*offset) : net::Clock();
}

// Continues after a handler throws, so that an error in one handler does not end the other requests.
void run_event_loop(boost::asio::io_context& io) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      std::cerr << "event loop: handler failed: " << error.what() << '\n';
    }
  }
}

void run_gateway() {
  boost::asio::io_context io(1);
  // Registered first, because a signal during startup would otherwise terminate the process and drop the
  // requests that it has accepted.
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  boost::asio::signal_set reload_signal(io, SIGHUP);

  net::Configuration configuration = net::load_configuration();
  configuration.inherited_listener = net::inherited_listener();
  const net::Clock clock = make_clock(configuration);
  net::Coordinator coordinator(io, configuration, clock, net::heap_bytes);

  stop_signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    std::cerr << configuration.name << ": draining\n";
    coordinator.drain([&io] { io.stop(); });
  });
  net::Reconfiguration reconfiguration(io, reload_signal, coordinator);
  reconfiguration.wait_for_signal();
  coordinator.on_listening([&configuration] { std::cerr << configuration.name << ": ready\n"; });
  run_event_loop(io);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    run_gateway();
  } catch (const std::exception& error) {
    std::cerr << "quota_gateway: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
