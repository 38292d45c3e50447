// Connects to the discovery agent, supervises the watch and replaces it when it fails.
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

// The agent sends a heartbeat every 2 s. The gateway is expected to know of an update within 6 s after its
// watch fell silent; the time that remains is for replacing the watch.
constexpr Duration kSilenceTimeout = 4'500'000;  // us

// The drain grace is split into equal windows: one for the delay before a retry, one for the response, and
// the others as a reserve.
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
                                 tcp::endpoint agent_address, std::int64_t revision, Duration drain_grace,
                                 UpdateCallback on_update)
    : io_(io),
      timers_(timers),
      clock_(clock),
      agent_address_(std::move(agent_address)),
      revision_(revision),
      reconnect_window_(reconnect_window(drain_grace)),
      on_update_(std::move(on_update)),
      socket_(io) {}

void DiscoveryClient::start() { connect(); }

void DiscoveryClient::reconnect_to(const tcp::endpoint& agent_address) {
  if (agent_address == agent_address_) return;
  agent_address_ = agent_address;
  backoff_.reset();
  on_connection_lost("the agent's address changed", reconnect_window_);
}

void DiscoveryClient::connect() {
  const IncarnationId incarnation = incarnation_.begin();
  restart_progress_timeout();
  first_message_received_ = false;
  response_reader_.emplace([this](const std::string& object) { on_message(object); });
  socket_ = tcp::socket(io_);
  socket_.async_connect(agent_address_, [this, incarnation](error_code error) {
    if (!incarnation_.is_current(incarnation)) return;
    // If this process was suspended while it connected, the agent still gets the full time to respond.
    restart_progress_timeout();
    if (error) return on_connection_lost(error.message(), reconnect_window_);
    send_request(incarnation);
  });
  check_progress(incarnation);
}

void DiscoveryClient::send_request(IncarnationId incarnation) {
  request_ =
      format_watch_request(agent_address_, needs_complete_list_ ? std::nullopt : std::optional(revision_));
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
  // After the first message, only complete messages count as progress, so that a stalled one is detected.
  if (!first_message_received_) last_progress_at_ = clock_.now();
  try {
    response_reader_->feed(std::string_view(receive_buffer_.data(), size));
    if (response_reader_->is_done()) on_connection_lost("the agent closed the watch", reconnect_window_);
  } catch (const WatchRejectedError& rejection) {
    needs_complete_list_ = true;
    on_connection_lost(rejection.what(), kMaxRejectedBackoff);
  } catch (const std::exception& error) {
    // The data that could not be parsed may have held an update; only the complete list makes up for it.
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

// Returns whether `update` is older than the known revision, and logs it if so. An agent may lag behind the
// previous one. Its older revisions would bring draining endpoints back into use; the changes after the known
// revision follow once it has caught up.
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
  if (clock_.now() >= deadline) return on_connection_lost("timed out", reconnect_window_);
  timers_.schedule_at(deadline, [this, incarnation] { check_progress(incarnation); });
}

void DiscoveryClient::on_connection_lost(const std::string& reason, Duration max_backoff) {
  error_code ignored;
  socket_.close(ignored);
  const IncarnationId incarnation = incarnation_.begin();
  log_.write(clock_.now(), "connection lost: " + reason + "; resuming the watch after revision " +
                               std::to_string(revision_));
  const Duration delay = backoff_.next_delay({.min = std::min(kMinBackoff, max_backoff), .max = max_backoff});
  timers_.schedule_after(delay, [this, incarnation] {
    if (incarnation_.is_current(incarnation)) connect();
  });
}

}  // namespace quota_gateway::net
