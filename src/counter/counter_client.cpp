// Connects to the counter, queues commands and supervises the connection.
#include "counter/counter_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cmath>
#include <string_view>
#include <utility>

#include "network/stream_io.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kCheckInterval = 100'000;     // us
constexpr Duration kPingInterval = 2'000'000;    // us; the counter closes idle connections after 10 s or less
constexpr Duration kSilenceTimeout = 1'500'000;  // us without a reply to a pending command
constexpr Duration kMinBackoff = 50'000;         // us
constexpr Duration kMaxBackoff = 500'000;        // us
constexpr std::size_t kMaxPendingCommands = 4096;

}  // namespace

CounterClient::CounterClient(asio::io_context& io, Timers& timers, const Clock& clock, tcp::endpoint address,
                             Duration command_timeout, Duration connect_timeout, ReplyCallback on_reply)
    : io_(io),
      timers_(timers),
      clock_(clock),
      address_(std::move(address)),
      command_timeout_(command_timeout),
      connect_timeout_(connect_timeout),
      on_reply_(std::move(on_reply)),
      socket_(io) {}

void CounterClient::start() {
  connect();
  check_connection();
}

void CounterClient::reconnect_to(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  backoff_.reset();
  on_connection_lost("the counter's address changed");
}

void CounterClient::connect() {
  const auto incarnation = incarnation_.begin();
  state_ = ConnectionState::kConnecting;
  last_progress_at_ = clock_.now();
  reply_reader_.emplace();
  socket_ = tcp::socket(io_);
  socket_.async_connect(address_, [this, incarnation](error_code error) {
    if (!incarnation_.is_current(incarnation)) return;
    if (error) return on_connection_lost(error.message());
    on_connected();
  });
  timers_.schedule_after(connect_timeout_, [this, incarnation] {
    if (incarnation_.is_current(incarnation) && state_ == ConnectionState::kConnecting)
      on_connection_lost("connect timed out");
  });
}

void CounterClient::on_connected() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  state_ = ConnectionState::kConnected;
  last_progress_at_ = clock_.now();
  send_queued();
  receive();
}

void CounterClient::increment(const IncrementCounter& increment) {
  PendingCommand command;
  command.counter_name = increment.name;
  command.created_at = clock_.now();
  command.sequence = ++last_sequence_;
  const bool can_send = state_ != ConnectionState::kDisconnected && commands_.size() < kMaxPendingCommands &&
                        std::isfinite(increment.amount);
  if (!can_send) {
    asio::post(io_, [this, command] { report_outcome(command, CounterOutcome::kNotAdded); });
    return;
  }
  command.bytes = format_increment(increment);
  timers_.schedule_at(command.created_at + command_timeout_,
                      [this, sequence = command.sequence] { on_command_timeout(sequence); });
  commands_.push_back(std::move(command));
  send_queued();
}

// Writes all queued commands at once, unless a write is in progress.
void CounterClient::send_queued() {
  if (state_ != ConnectionState::kConnected || !send_buffer_.empty()) return;
  for (PendingCommand& command : commands_) {
    if (command.state != PendingCommand::State::kQueued) continue;
    send_buffer_ += command.bytes;
    command.bytes.clear();
    command.state = PendingCommand::State::kAwaitingReply;
    command.end_offset = bytes_written_ + send_buffer_.size();
  }
  if (send_buffer_.empty()) return;
  const auto incarnation = incarnation_.current();
  async_write_all(
      socket_, send_buffer_, [this, incarnation] { return incarnation_.is_current(incarnation); },
      [this, incarnation](error_code error, std::size_t size) {
        if (!incarnation_.is_current(incarnation)) return;
        bytes_written_ += size;
        send_buffer_.clear();
        if (error) return on_connection_lost(error.message());
        send_queued();
      });
}

void CounterClient::receive() {
  const auto incarnation = incarnation_.current();
  socket_.async_read_some(asio::buffer(receive_buffer_),
                          [this, incarnation](error_code error, std::size_t size) {
                            if (!incarnation_.is_current(incarnation)) return;
                            if (error) return on_connection_lost(error.message());
                            last_progress_at_ = clock_.now();
                            backoff_.reset();
                            on_received(size);
                            if (incarnation_.is_current(incarnation)) receive();
                          });
}

void CounterClient::on_received(std::size_t size) {
  try {
    reply_reader_->feed(std::string_view(receive_buffer_.data(), size));
    while (const auto reply = reply_reader_->next()) on_command_reply(*reply);
  } catch (const CounterProtocolError& error) {
    on_connection_lost(error.what());
  }
}

// Matches a reply to the oldest command. Throws CounterProtocolError if the connection must be replaced.
void CounterClient::on_command_reply(const CommandReply& reply) {
  if (commands_.empty()) throw CounterProtocolError("unexpected reply");
  const PendingCommand command = std::move(commands_.front());
  commands_.pop_front();
  if (command.kind == PendingCommand::Kind::kPing) return;
  switch (reply.kind) {
    case CommandReply::Kind::kTotal:
      return report_outcome(command, CounterOutcome::kOk, reply.total);
    case CommandReply::Kind::kRejected:
      return report_outcome(command, CounterOutcome::kNotAdded);
    case CommandReply::Kind::kInvalid:
      report_outcome(command, CounterOutcome::kUnknown);
      throw CounterProtocolError("reply is not a total");
  }
}

// Drops a command that is still queued, so that its increment is certainly not added. Keeps one that was
// written, so that its late reply is not matched to the next command.
void CounterClient::on_command_timeout(std::uint64_t sequence) {
  const auto command = std::lower_bound(
      commands_.begin(), commands_.end(), sequence,
      [](const PendingCommand& candidate, std::uint64_t value) { return candidate.sequence < value; });
  if (command == commands_.end() || command->sequence != sequence) return;
  const PendingCommand timed_out = *command;
  if (timed_out.state == PendingCommand::State::kQueued) {
    commands_.erase(command);
    report_outcome(timed_out, CounterOutcome::kNotAdded);
  } else {
    command->state = PendingCommand::State::kTimedOut;
    report_outcome(timed_out, CounterOutcome::kUnknown);
  }
}

// Reports the outcome of an increment, unless its timeout was already reported.
void CounterClient::report_outcome(const PendingCommand& command, CounterOutcome outcome, double total) {
  if (command.kind == PendingCommand::Kind::kPing) return;
  if (command.state == PendingCommand::State::kTimedOut) return;
  on_reply_({.name = command.counter_name,
             .total = total,
             .outcome = outcome,
             .duration = clock_.now() - command.created_at});
}

void CounterClient::on_connection_lost(const std::string& reason) {
  error_code ignored;
  socket_.close(ignored);
  const auto incarnation = incarnation_.begin();
  state_ = ConnectionState::kDisconnected;
  std::deque<PendingCommand> lost_commands;
  lost_commands.swap(commands_);
  // It is unknown how much of a write in progress was sent, so all of it counts as sent.
  const std::size_t bytes_sent = bytes_written_ + send_buffer_.size();
  send_buffer_.clear();
  bytes_written_ = 0;

  const TimePoint now = clock_.now();
  log_.write(now, "connection lost: " + reason);
  timers_.schedule_after(next_reconnect_delay(now), [this, incarnation] {
    if (incarnation_.is_current(incarnation)) connect();
  });
  fail_commands(lost_commands, bytes_sent);
}

// Returns the delay before the next attempt to connect. The clock serves as jitter, which spreads the
// attempts of gateways that lost the counter at the same time.
Duration CounterClient::next_reconnect_delay(TimePoint now) {
  const Duration delay = backoff_.next_delay({.min = kMinBackoff, .max = kMaxBackoff});
  if (delay == 0) return 0;
  return delay * 3 / 4 + now % (delay / 2);
}

// Reports the outcomes of the commands of a lost connection. The increment of a command that was not fully
// sent is certainly not added.
void CounterClient::fail_commands(const std::deque<PendingCommand>& commands, std::size_t bytes_sent) {
  for (const PendingCommand& command : commands) {
    const bool may_have_been_added =
        command.state != PendingCommand::State::kQueued && command.end_offset <= bytes_sent;
    report_outcome(command, may_have_been_added ? CounterOutcome::kUnknown : CounterOutcome::kNotAdded);
  }
}

// Runs periodically. Keeps an idle connection open and replaces one that has fallen silent.
void CounterClient::check_connection() {
  const TimePoint now = clock_.now();
  if (state_ == ConnectionState::kConnected) {
    if (commands_.empty()) {
      if (now - last_progress_at_ > kPingInterval) send_ping(now);
    } else if (now - std::max(commands_.front().created_at, last_progress_at_) > kSilenceTimeout) {
      // The counter may keep the closed connection open for a while, and accepts at most 32 connections.
      backoff_.set_delay(kMaxBackoff);
      on_connection_lost("timed out waiting for a reply");
    }
  }
  timers_.schedule_after(kCheckInterval, [this] { check_connection(); });
}

void CounterClient::send_ping(TimePoint now) {
  PendingCommand ping;
  ping.kind = PendingCommand::Kind::kPing;
  ping.created_at = now;
  ping.sequence = ++last_sequence_;
  ping.bytes = format_ping();
  commands_.push_back(std::move(ping));
  send_queued();
}

}  // namespace quota_gateway::net
