#include "runtime/reconfiguration.hpp"

#include <chrono>
#include <exception>
#include <iostream>

#include "runtime/configuration_loader.hpp"

namespace quota_gateway::net {
namespace {

constexpr int kMaxTries = 20;
constexpr std::chrono::milliseconds kRetryInterval{100};

}  // namespace

Reconfiguration::Reconfiguration(boost::asio::io_context& io, boost::asio::signal_set& reload_signal,
                                 Coordinator& coordinator)
    : reload_signal_(reload_signal), coordinator_(coordinator), retry_timer_(io) {}

void Reconfiguration::wait() {
  reload_signal_.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    reload(kMaxTries);
    wait();
  });
}

void Reconfiguration::reload(int remaining_tries) {
  retry_timer_.cancel();
  try {
    const Configuration configuration = load_configuration();
    coordinator_.apply_configuration(configuration);
    std::cerr << configuration.name << ": configuration reloaded\n";
  } catch (const std::exception& error) {
    const bool is_first_try = remaining_tries == kMaxTries;
    if (is_first_try)
      std::cerr << "reconfiguration: the configuration is not applied: " << error.what() << '\n';
    if (remaining_tries > 1) retry_later(remaining_tries - 1);
  }
}

void Reconfiguration::retry_later(int remaining_tries) {
  retry_timer_.expires_after(kRetryInterval);
  retry_timer_.async_wait([this, remaining_tries](const boost::system::error_code& error) {
    if (!error) reload(remaining_tries);
  });
}

}  // namespace quota_gateway::net
