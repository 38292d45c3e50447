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

// One connection to the agent at a time. A connection that fails, is silent or can't be understood is
// replaced, and the new watch goes on after the last revision.
class DiscoveryClient {
 public:
  using UpdateCallback = std::function<void(const DiscoveryUpdate&)>;

  // `revision` is the last one that is known already. `drain_grace` is the time after which the gateway is
  // expected to have noticed an update; it bounds the time until a lost watch is replaced.
  DiscoveryClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                  boost::asio::ip::tcp::endpoint agent, std::int64_t revision, Duration drain_grace,
                  UpdateCallback on_update);

  void start();

  // Continues the watch at another address, after the last revision.
  void reconnect_to(const boost::asio::ip::tcp::endpoint& agent);

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
  boost::asio::ip::tcp::endpoint agent_;
  std::int64_t revision_;
  const Duration reconnect_window_;  // a lost watch is retried, and a request is answered, within this time
  UpdateCallback on_update_;

  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> receive_buffer_;
  std::string request_;  // must outlive its write
  std::optional<WatchResponseReader> response_;
  ConnectionIncarnation incarnation_;
  TimePoint request_started_at_ = 0;
  TimePoint last_progress_at_ = 0;
  bool first_message_received_ = false;  // on this connection
  bool needs_complete_list_ = false;     // an update may have been missed

  ReconnectBackoff backoff_;
  RateLimitedLog log_{"discovery"};
};

}  // namespace quota_gateway::net
