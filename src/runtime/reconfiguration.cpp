#include "runtime/reconfiguration.hpp"

#include <chrono>
#include <exception>
#include <iostream>

#include "runtime/configuration_loader.hpp"

namespace quota_gateway::net {
namespace {

constexpr int kMaxAttempts = 20;
constexpr std::chrono::milliseconds kRetryInterval{100};

}  // namespace

Reconfiguration::Reconfiguration(boost::asio::io_context& io, boost::asio::signal_set& reload_signal,
                                 Coordinator& coordinator)
    : reload_signal_(reload_signal), coordinator_(coordinator), retry_timer_(io) {}

void Reconfiguration::wait_for_signal() {
  reload_signal_.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    reload(kMaxAttempts);
    wait_for_signal();
  });
}

void Reconfiguration::reload(int remaining_attempts) {
  retry_timer_.cancel();
  try {
    const Configuration configuration = load_configuration();
    coordinator_.apply_configuration(configuration);
    std::cerr << configuration.name << ": configuration reloaded\n";
  } catch (const std::exception& error) {
    const bool is_first_attempt = remaining_attempts == kMaxAttempts;
    if (is_first_attempt)
      std::cerr << "reconfiguration: the configuration is not applied: " << error.what() << '\n';
    if (remaining_attempts > 1) retry_later(remaining_attempts - 1);
  }
}

void Reconfiguration::retry_later(int remaining_attempts) {
  retry_timer_.expires_after(kRetryInterval);
  retry_timer_.async_wait([this, remaining_attempts](const boost::system::error_code& error) {
    if (!error) reload(remaining_attempts);
  });
}

}  // namespace quota_gateway::net
