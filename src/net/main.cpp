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

#include "driver.hpp"
#include "handover.hpp"

namespace {

cottonroad::net::Config read_config() {
  const char* path = std::getenv("RELAY_CONFIG");
  if (!path || !*path) throw std::runtime_error("RELAY_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw std::runtime_error(std::string("cannot read ") + path);
  auto config = cottonroad::net::parse_config(nlohmann::json::parse(file));
  const char* admin = std::getenv("RELAY_ADMIN_ADDR");
  const char* shared = std::getenv("TMPDIR");
  if (shared) config.shared_directory = shared;
  if (!config.admin && admin && *admin) config.admin = cottonroad::net::parse_endpoint(admin);
  return config;
}

// Follows the configuration at each SIGHUP. Danger: a file that cannot be used must not end the gateway,
// which goes on with what it has; and one that cannot be read for a moment is looked at again, as what
// discovery tells at its new address counts as told soon after.
class Reconfiguration {
 public:
  Reconfiguration(boost::asio::io_context& io, boost::asio::signal_set& hangup,
                  cottonroad::net::Driver& driver)
      : hangup_(hangup), driver_(driver), timer_(io) {}

  void wait() {
    hangup_.async_wait([this](const boost::system::error_code& ec, int) {
      if (ec) return;
      follow(kTries);
      wait();
    });
  }

 private:
  static constexpr int kTries = 20;
  static constexpr std::chrono::milliseconds kAgain{100};

  void follow(int tries) {
    timer_.cancel();
    try {
      const auto config = read_config();
      driver_.follow(config);
      std::cerr << config.name << ": configuration read again\n";
    } catch (const std::exception& e) {
      if (tries == kTries) std::cerr << "hangup: " << e.what() << '\n';
      if (tries <= 1) return;
      timer_.expires_after(kAgain);
      timer_.async_wait([this, tries](const boost::system::error_code& ec) {
        if (!ec) follow(tries - 1);
      });
    }
  }

  boost::asio::signal_set& hangup_;
  cottonroad::net::Driver& driver_;
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
    auto config = read_config();
    config.listener = cottonroad::net::inherited_listener();
    const auto inherited_clock =
        config.listener ? cottonroad::net::predecessor_clock(config.shared_directory) : std::nullopt;
    const auto clock = inherited_clock ? cottonroad::net::Clock(*inherited_clock) : cottonroad::net::Clock();
    cottonroad::net::Driver driver(io, config, clock);
    signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      std::cerr << config.name << ": draining\n";
      driver.drain([&] { io.stop(); });
    });
    Reconfiguration reconfiguration(io, hangup, driver);
    reconfiguration.wait();
    driver.when_listening([&] { std::cerr << config.name << ": ready\n"; });
    run(io);
  } catch (const std::exception& e) {
    std::cerr << "cottonroad_gateway: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
