// Connecting to the discovery agent, the supervision of the watch, and its replacement.
#include "discovery/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <exception>
#include <string_view>
#include <utility>

#include "network/stream_io.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// The agent sends a heartbeat every 2 s. The gateway is expected to know an update 6 s after its watch fell
// silent, so the rest is left for replacing the watch.
constexpr Duration kSilenceTimeout = 4'500'000;  // us

// Of the drain grace, one part for the delay before a retry and one for the response, with a reserve.
constexpr Duration kReconnectWindowsPerGrace = 4;
constexpr Duration kMaxReconnectWindow = 250'000;     // us; the agent is on the same machine
constexpr Duration kFirstMessageTimeout = 1'000'000;  // us

constexpr Duration kMinBackoff = 100'000;            // us
constexpr Duration kMaxRejectedBackoff = 1'000'000;  // us; an agent that rejects requests is overloaded

Duration reconnect_window(Duration drain_grace) {
  if (drain_grace <= 0) return kMaxReconnectWindow;
  return std::min(drain_grace / kReconnectWindowsPerGrace, kMaxReconnectWindow);
}

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, Timers& timers, const Clock& clock,
                                 tcp::endpoint agent, std::int64_t revision, Duration drain_grace,
                                 UpdateCallback on_update)
    : io_(io),
      timers_(timers),
      clock_(clock),
      agent_(std::move(agent)),
      revision_(revision),
      reconnect_window_(reconnect_window(drain_grace)),
      on_update_(std::move(on_update)),
      socket_(io) {}

void DiscoveryClient::start() { connect(); }

void DiscoveryClient::reconnect_to(const tcp::endpoint& agent) {
  if (agent == agent_) return;
  agent_ = agent;
  backoff_.reset();
  on_connection_lost("the agent's address has changed", reconnect_window_);
}

void DiscoveryClient::connect() {
  const IncarnationId incarnation = incarnation_.begin();
  restart_progress_timeout();
  first_message_received_ = false;
  response_.emplace([this](const std::string& object) { on_message(object); });
  socket_ = tcp::socket(io_);
  socket_.async_connect(agent_, [this, incarnation](error_code error) {
    if (!incarnation_.is_current(incarnation)) return;
    // If this process was suspended while it connected, the agent still gets its full time to respond.
    restart_progress_timeout();
    if (error) return on_connection_lost(error.message(), reconnect_window_);
    send_request(incarnation);
  });
  check_progress(incarnation);
}

void DiscoveryClient::send_request(IncarnationId incarnation) {
  request_ = format_watch_request(agent_, needs_complete_list_ ? std::nullopt : std::optional(revision_));
  error_code ignored;
  socket_.non_blocking(true, ignored);
  async_write_all(
      socket_, request_, [this, incarnation] { return incarnation_.is_current(incarnation); },
      [this, incarnation](error_code error, std::size_t) {
        if (incarnation_.is_current(incarnation) && error)
          on_connection_lost(error.message(), reconnect_window_);
      });
  receive(incarnation);
}

void DiscoveryClient::receive(IncarnationId incarnation) {
  socket_.async_read_some(asio::buffer(receive_buffer_),
                          [this, incarnation](error_code error, std::size_t size) {
                            if (!incarnation_.is_current(incarnation)) return;
                            if (error) return on_connection_lost(error.message(), reconnect_window_);
                            on_received(size);
                            if (incarnation_.is_current(incarnation)) receive(incarnation);
                          });
}

void DiscoveryClient::on_received(std::size_t size) {
  // Once the watch has begun, only complete messages are heartbeats, so that a stalled one is noticed.
  if (!first_message_received_) last_progress_at_ = clock_.now();
  try {
    response_->feed(std::string_view(receive_buffer_.data(), size));
    if (response_->is_done()) on_connection_lost("the agent ended the watch", reconnect_window_);
  } catch (const WatchRejectedError& rejection) {
    needs_complete_list_ = true;
    on_connection_lost(rejection.what(), kMaxRejectedBackoff);
  } catch (const std::exception& error) {
    // What was not understood may have been an update; only the complete list makes up for it.
    needs_complete_list_ = true;
    on_connection_lost(error.what(), reconnect_window_);
  }
}

void DiscoveryClient::on_message(const std::string& object) {
  backoff_.reset();
  first_message_received_ = true;
  last_progress_at_ = clock_.now();
  const bool is_heartbeat = object.empty();
  if (is_heartbeat) return;

  const DiscoveryUpdate update = parse_discovery_update(nlohmann::json::parse(object));
  if (is_outdated(update)) return;
  revision_ = update.revision;
  needs_complete_list_ = false;
  on_update_(update);
}

// An agent may lag behind the one before it. Its older revisions would bring draining endpoints back into
// use; the changes after the known revision follow once it has caught up.
bool DiscoveryClient::is_outdated(const DiscoveryUpdate& update) {
  if (update.revision >= revision_) return false;
  log_.write(clock_.now(), "revision " + std::to_string(update.revision) + " is older than " +
                               std::to_string(revision_) + ", ignored");
  return true;
}

void DiscoveryClient::restart_progress_timeout() {
  request_started_at_ = clock_.now();
  last_progress_at_ = request_started_at_;
}

TimePoint DiscoveryClient::progress_deadline() const {
  if (first_message_received_) return last_progress_at_ + kSilenceTimeout;
  return std::min(last_progress_at_ + reconnect_window_, request_started_at_ + kFirstMessageTimeout);
}

// Replaces a connection that hangs while connecting, stalls within its first message, or falls silent.
void DiscoveryClient::check_progress(IncarnationId incarnation) {
  if (!incarnation_.is_current(incarnation)) return;
  const TimePoint deadline = progress_deadline();
  if (clock_.now() >= deadline) return on_connection_lost("silent", reconnect_window_);
  timers_.schedule_at(deadline, [this, incarnation] { check_progress(incarnation); });
}

void DiscoveryClient::on_connection_lost(const std::string& reason, Duration max_backoff) {
  error_code ignored;
  socket_.close(ignored);
  const IncarnationId incarnation = incarnation_.begin();
  log_.write(clock_.now(),
             "connection lost: " + reason + "; watching again after revision " + std::to_string(revision_));
  const Duration delay = backoff_.next_delay({.min = std::min(kMinBackoff, max_backoff), .max = max_backoff});
  timers_.schedule_after(delay, [this, incarnation] {
    if (incarnation_.is_current(incarnation)) connect();
  });
}

}  // namespace quota_gateway::net
