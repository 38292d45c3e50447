// One real gateway: configuration, signals, the loop.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "restart/hot_restart.hpp"
#include "runtime/coordinator.hpp"

namespace {

quota_gateway::net::Configuration read_configuration() {
  const char* path = std::getenv("RELAY_CONFIG");
  if (!path || !*path) throw std::runtime_error("RELAY_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw std::runtime_error(std::string("cannot read ") + path);
  auto config = quota_gateway::net::parse_configuration(nlohmann::json::parse(file));
  const char* admin = std::getenv("RELAY_ADMIN_ADDR");
  const char* shared = std::getenv("TMPDIR");
  if (shared) config.shared_directory = shared;
  if (!config.admin_address && admin && *admin)
    config.admin_address = quota_gateway::net::parse_endpoint(admin);
  return config;
}

// Follows the configuration at each SIGHUP. Danger: a file that cannot be used must not end the gateway,
// which goes on with what it has; and one that cannot be read for a moment is looked at again, as what
// discovery tells at its new address counts as told soon after.
class Reconfiguration {
 public:
  Reconfiguration(boost::asio::io_context& io, boost::asio::signal_set& hangup,
                  quota_gateway::net::Coordinator& coordinator)
      : hangup_(hangup), coordinator_(coordinator), timer_(io) {}

  void wait() {
    hangup_.async_wait([this](const boost::system::error_code& ec, int) {
      if (ec) return;
      apply(kTries);
      wait();
    });
  }

 private:
  static constexpr int kTries = 20;
  static constexpr std::chrono::milliseconds kAgain{100};

  void apply(int tries) {
    timer_.cancel();
    try {
      const auto config = read_configuration();
      coordinator_.apply_configuration(config);
      std::cerr << config.name << ": configuration read again\n";
    } catch (const std::exception& e) {
      if (tries == kTries) std::cerr << "hangup: " << e.what() << '\n';
      if (tries <= 1) return;
      timer_.expires_after(kAgain);
      timer_.async_wait([this, tries](const boost::system::error_code& ec) {
        if (!ec) apply(tries - 1);
      });
    }
  }

  boost::asio::signal_set& hangup_;
  quota_gateway::net::Coordinator& coordinator_;
  boost::asio::steady_timer timer_;
};

// Danger: an exception that leaves the loop would take all held requests with it.
void run(boost::asio::io_context& io) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& e) {
      std::cerr << "loop: " << e.what() << '\n';
    }
  }
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    // Danger: a signal that comes while we start would end the process with what its socket has taken.
    boost::asio::signal_set signals(io, SIGTERM, SIGINT), hangup(io, SIGHUP);
    auto config = read_configuration();
    config.inherited_listener = quota_gateway::net::inherited_listener();
    const auto inherited_clock = config.inherited_listener
                                     ? quota_gateway::net::predecessor_clock_offset(config.shared_directory)
                                     : std::nullopt;
    const auto clock =
        inherited_clock ? quota_gateway::net::Clock(*inherited_clock) : quota_gateway::net::Clock();
    quota_gateway::net::Coordinator coordinator(io, config, clock);
    signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      std::cerr << config.name << ": draining\n";
      coordinator.drain([&] { io.stop(); });
    });
    Reconfiguration reconfiguration(io, hangup, coordinator);
    reconfiguration.wait();
    coordinator.on_listening([&] { std::cerr << config.name << ": ready\n"; });
    run(io);
  } catch (const std::exception& e) {
    std::cerr << "quota_gateway: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
