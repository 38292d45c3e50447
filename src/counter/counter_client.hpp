// The client of the quota counter: sends pipelined commands over one connection, each with its own timeout.
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

// Sends increments to the counter and reports their outcomes. Reconnects automatically.
class CounterClient {
 public:
  using ReplyCallback = std::function<void(CounterReply)>;

  // An increment without a reply within `command_timeout` microseconds is reported as failed.
  // `connect_timeout`, in microseconds, limits each attempt to connect.
  CounterClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                boost::asio::ip::tcp::endpoint address, Duration command_timeout, Duration connect_timeout,
                ReplyCallback on_reply);

  // Opens the first connection.
  void start();

  // Moves to another address, unless it is the same. Increments in flight to the old address may or may not
  // be added there.
  void reconnect_to(const boost::asio::ip::tcp::endpoint& address);

  // Sends an increment. Exactly one reply is reported for it, never from within this call.
  void increment(const IncrementCounter& increment);

 private:
  enum class ConnectionState { kDisconnected, kConnecting, kConnected };

  // A command that is waiting to be written or to receive its reply.
  struct PendingCommand {
    enum class Kind { kIncrement, kPing };
    enum class State {
      kQueued,         // not handed to the socket yet
      kAwaitingReply,  // handed to the socket
      kTimedOut,       // handed to the socket and reported as unknown; its reply will be dropped
    };
    Kind kind = Kind::kIncrement;
    State state = State::kQueued;
    std::int64_t counter_name = 0;
    TimePoint created_at = 0;
    std::uint64_t sequence = 0;  // increases by one with each command
    std::string bytes;           // the encoded command; empty once it is handed to the socket
    std::size_t end_offset = 0;  // bytes sent on the connection up to its end; set once it is handed over
  };

  void connect();
  void on_connected();
  void send_queued();
  void receive();
  void on_received(std::size_t size);
  void on_command_reply(const CommandReply& reply);
  void on_connection_lost(const std::string& reason);
  void on_command_timeout(std::uint64_t sequence);
  void fail_commands(const std::deque<PendingCommand>& commands, std::size_t bytes_sent);
  void report_outcome(const PendingCommand& command, CounterOutcome outcome, double total = 0);
  void check_connection();
  void send_ping(TimePoint now);
  Duration next_reconnect_delay(TimePoint now);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  boost::asio::ip::tcp::endpoint address_;
  const Duration command_timeout_;
  const Duration connect_timeout_;
  ReplyCallback on_reply_;

  boost::asio::ip::tcp::socket socket_;
  ConnectionState state_ = ConnectionState::kDisconnected;
  ConnectionIncarnation incarnation_;
  std::optional<CounterReplyReader> reply_reader_;
  std::array<char, 4096> receive_buffer_;
  std::string send_buffer_;              // the write in progress; empty if there is none
  std::size_t bytes_written_ = 0;        // bytes sent on this connection before `send_buffer_`
  std::deque<PendingCommand> commands_;  // by ascending sequence, the order of the replies
  std::uint64_t last_sequence_ = 0;
  TimePoint last_progress_at_ = 0;

  ReconnectBackoff backoff_;
  RateLimitedLog log_{"counter"};
};

}  // namespace quota_gateway::net
