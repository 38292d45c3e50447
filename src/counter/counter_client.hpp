// The client of the quota counter: one connection with pipelined commands, each with its own timeout.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "counter/counter_protocol.hpp"
#include "network/reconnect_backoff.hpp"
#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Sends increments to the counter and reports what became of them. Reconnects by itself.
class CounterClient {
 public:
  using ReplyCallback = std::function<void(CounterReply)>;

  CounterClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                boost::asio::ip::tcp::endpoint address, Duration call_timeout, Duration connect_timeout,
                ReplyCallback on_reply);

  void start();

  // Continues at another address. Increments in flight to the old one may or may not be added there.
  void reconnect_to(const boost::asio::ip::tcp::endpoint& address);

  // Sends an increment. Exactly one reply is reported for it, never from within this call.
  void increment(const IncrementCounter& increment);

 private:
  enum class ConnectionState { kDisconnected, kConnecting, kConnected };

  // A command that waits to be written or to be replied to.
  struct PendingCommand {
    enum class Kind { kIncrement, kPing };
    enum class State {
      kQueued,         // not handed to the socket yet
      kAwaitingReply,  // handed to the socket
      kTimedOut,       // handed to the socket and reported as failed; its reply will be dropped
    };
    Kind kind = Kind::kIncrement;
    State state = State::kQueued;
    std::int64_t counter_name = 0;
    TimePoint created_at = 0;
    std::uint64_t sequence = 0;  // rises by one with each command
    std::string bytes;           // while it is queued
    std::size_t stream_end = 0;  // then: the position after its last byte in the connection's stream
  };

  void connect();
  void on_connected();
  void send_queued();
  void receive();
  void on_received(std::size_t size);
  void on_command_reply(const CommandReply& reply);
  void on_connection_lost(const std::string& reason);
  void on_timeout(std::uint64_t sequence);
  void fail_commands(const std::deque<PendingCommand>& commands, std::size_t stream_sent);
  void report_if_due(const PendingCommand& command, CounterOutcome outcome, double total = 0);
  void check_connection();
  void send_ping(TimePoint now);
  Duration next_reconnect_delay(TimePoint now);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  boost::asio::ip::tcp::endpoint address_;
  const Duration call_timeout_;
  const Duration connect_timeout_;
  ReplyCallback on_reply_;

  boost::asio::ip::tcp::socket socket_;
  ConnectionState state_ = ConnectionState::kDisconnected;
  ConnectionIncarnation incarnation_;
  std::optional<CounterReplyReader> reply_reader_;
  std::array<char, 4096> receive_buffer_;
  std::string send_buffer_;              // the write in progress; empty: none
  std::size_t stream_written_ = 0;       // bytes of this connection's stream before `send_buffer_`
  std::deque<PendingCommand> commands_;  // in the order of their sequence, in which they are replied to
  std::uint64_t last_sequence_ = 0;
  TimePoint last_progress_at_ = 0;

  ReconnectBackoff backoff_;
  RateLimitedLog log_{"counter"};
};

}  // namespace quota_gateway::net
