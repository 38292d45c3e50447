// The client of the discovery agent: keeps a watch on the endpoint list open and reports each update.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "discovery/discovery_protocol.hpp"
#include "discovery/watch_response_reader.hpp"
#include "network/reconnect_backoff.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Keeps one connection to the agent at a time. Replaces a connection that fails, falls silent or delivers
// malformed data. The new watch resumes after the last known revision, or begins with the complete list if an
// update may have been missed.
class DiscoveryClient {
 public:
  using UpdateCallback = std::function<void(const DiscoveryUpdate&)>;

  // `revision` is the last known revision. `drain_grace` is the time in microseconds within which the gateway
  // is expected to notice an update; it bounds the time until a lost watch is replaced.
  DiscoveryClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                  boost::asio::ip::tcp::endpoint agent_address, std::int64_t revision, Duration drain_grace,
                  UpdateCallback on_update);

  // Opens the first connection.
  void start();

  // Moves the watch to another address of the agent. Does nothing if the address has not changed.
  void reconnect_to(const boost::asio::ip::tcp::endpoint& agent_address);

 private:
  using IncarnationId = ConnectionIncarnation::Id;

  void connect();
  void send_request(IncarnationId incarnation);
  void receive(IncarnationId incarnation);
  void on_received(std::size_t size);
  void on_message(const std::string& object);
  void on_connection_lost(const std::string& reason, Duration max_backoff);
  void check_progress(IncarnationId incarnation);
  void restart_progress_timeout();
  [[nodiscard]] TimePoint progress_deadline() const;
  bool is_outdated(const DiscoveryUpdate& update);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  boost::asio::ip::tcp::endpoint agent_address_;
  std::int64_t revision_;
  const Duration reconnect_window_;  // limits the delay before a retry and the wait for data
  UpdateCallback on_update_;

  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> receive_buffer_;
  std::string request_;  // must outlive the write
  std::optional<WatchResponseReader> response_reader_;
  ConnectionIncarnation incarnation_;
  TimePoint request_started_at_ = 0;
  TimePoint last_progress_at_ = 0;
  bool first_message_received_ = false;  // on this connection
  bool needs_complete_list_ = false;     // because an update may have been missed

  ReconnectBackoff backoff_;
  RateLimitedLog log_{"discovery"};
};

}  // namespace quota_gateway::net
