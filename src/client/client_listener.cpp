#include "client/client_listener.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>
#include <iostream>
#include <string_view>
#include <utility>

#include "network/system_errors.hpp"
#include "progress/progress_limits.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kMaxEvictionAttempts = 4;                    // each queries the kernel about one connection
constexpr Duration kStallCheckInterval = 200'000;          // us
constexpr Duration kAcceptRetryDelay = 20'000;             // us
constexpr Duration kRequestResetInterval = 10'000;         // us
constexpr std::size_t kMaxRequestResets = 8;               // within that interval
constexpr Duration kListenRetryDelay = 50'000;             // us
constexpr Duration kListenFailureLogInterval = 5'000'000;  // us
// Aborted connections that are skipped before control returns to the event loop.
constexpr int kMaxLostConnectionsPerPass = 64;
// In the order of CloseReason.
constexpr std::array<std::string_view, kCloseReasonCount> kCloseReasonNames = {
    "closed by client",
    "write failed",
    "not reading its response",
    "stalled request",
    "invalid body",
    "response broke off",
    "response timed out",
    "evicted",
    "overload",
    "lingering after its last response"};

}  // namespace

// NOLINTNEXTLINE(readability-function-size): one parameter per dependency
ClientListener::ClientListener(asio::io_context& io, Timers& timers, const Clock& clock,
                               const Settings& settings, std::size_t max_clients, BodyBudget& budget,
                               MemoryMonitor& memory, Callbacks callbacks)
    : io_(io),
      max_clients_(max_clients),
      context_{.timers = timers,
               .clock = clock,
               .settings = settings,
               .budget = budget,
               .memory = memory,
               .relieve_memory = [this] { relieve_memory(); },
               .callbacks = std::move(callbacks),
               .on_session_closed = [this](std::uint64_t client_id,
                                           CloseReason reason) { on_session_closed(client_id, reason); },
               .read_buffer = std::vector<char>(kReadSize)},
      acceptor_(io) {
  close_stalled_sessions();
}

ClientListener::~ClientListener() = default;

// A failure is not fatal, because the address may be in use, or a system resource exhausted, only briefly.
void ClientListener::listen(const tcp::endpoint& address, std::optional<int> inherited_socket) {
  context_.is_listener_inherited = inherited_socket.has_value();
  const error_code ec = open(address, inherited_socket);
  if (!ec) {
    accept();
    return context_.callbacks.on_listening();
  }
  log_listen_failure(ec);
  context_.timers.schedule_after(kListenRetryDelay, [this, address, inherited_socket] {
    if (!context_.is_draining) listen(address, inherited_socket);
  });
}

void ClientListener::log_listen_failure(error_code ec) {
  const TimePoint now = context_.clock.now();
  if (now - listen_failure_logged_at_ <= kListenFailureLogInterval) return;
  listen_failure_logged_at_ = now;
  std::cerr << "listen: " << ec.message() << "; trying again\n";
}

error_code ClientListener::open(const tcp::endpoint& address, std::optional<int> inherited_socket) {
  error_code ec;
  error_code ignored;
  if (inherited_socket) {
    acceptor_.assign(address.protocol(), *inherited_socket, ec);
  } else {
    ec = bind_and_listen(address);
    if (ec) acceptor_.close(ignored);
  }
  // Without this option, Asio skips an aborted connection and waits for the next arrival, which also delays
  // the rest of the backlog.
  if (!ec) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ignored);
  return ec;
}

error_code ClientListener::bind_and_listen(const tcp::endpoint& address) {
  error_code ec;
  acceptor_.open(address.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(address, ec);
  if (!ec) acceptor_.listen(tcp::acceptor::max_listen_connections, ec);
  return ec;
}

void ClientListener::accept() {
  const bool is_left_to_successor = context_.is_draining && context_.is_listener_inherited;
  if (is_accept_pending_ || !acceptor_.is_open() || is_left_to_successor) return;
  if (context_.memory.is_active(OverloadAction::kStopAccepting)) return retry_accept_later();
  is_accept_pending_ = true;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    is_accept_pending_ = false;
    if (ec) return on_accept_failed(ec);
    // The acceptor may have been closed in the meantime; a connection accepted before that is still served.
    start_session(std::move(socket));
    accept_if_below_limit();
  });
}

void ClientListener::retry_accept_later() {
  if (is_accept_retry_scheduled_) return;
  is_accept_retry_scheduled_ = true;
  context_.memory.count(OverloadAction::kStopAccepting);
  context_.timers.schedule_after(kAcceptRetryDelay, [this] {
    is_accept_retry_scheduled_ = false;
    context_.memory.check();
    accept();
  });
}

void ClientListener::on_accept_failed(error_code ec) {
  switch (classify_accept(ec)) {
    case AcceptFailure::kCancelled:  // accept() does nothing if the successor accepts now
    case AcceptFailure::kConnectionLost:
      return accept();
    case AcceptFailure::kNoDescriptors:
      evict_session();
      break;
    case AcceptFailure::kTransient:
      break;
  }
  context_.timers.schedule_after(kAcceptRetryDelay, [this] { accept(); });
}

// At the limit, one more connection is accepted and another is evicted to make room, because the time that a
// request waits in the backlog counts against its client's timeout.
void ClientListener::accept_if_below_limit() {
  if (sessions_.size() > max_clients_) evict_session();
  if (sessions_.size() <= max_clients_) return accept();
  context_.timers.schedule_after(kAcceptRetryDelay, [this] {
    if (!is_accept_pending_ && acceptor_.is_open()) accept_if_below_limit();
  });
}

void ClientListener::start_session(tcp::socket socket) {
  ++last_client_id_;
  const auto session = std::make_shared<ClientSession>(context_, last_client_id_, std::move(socket));
  sessions_.emplace(last_client_id_, session);
  session->read();
}

// Closes the evictable session with the lowest priority, skipping the few sessions that have data in flight.
void ClientListener::evict_session() {
  EvictionPriority skipped_priority{};
  for (int attempt = 0; attempt < kMaxEvictionAttempts; ++attempt) {
    const std::shared_ptr<ClientSession> candidate = find_eviction_candidate(skipped_priority);
    if (!candidate) return;
    if (!candidate->has_data_in_flight()) return candidate->close(CloseReason::kEvicted);
    skipped_priority = candidate->eviction_priority();
  }
}

std::shared_ptr<ClientSession> ClientListener::find_eviction_candidate(const EvictionPriority& above) const {
  std::shared_ptr<ClientSession> candidate;
  for (const auto& [client_id, session] : sessions_) {
    if (client_id == last_client_id_ || !session->is_evictable()) continue;
    const EvictionPriority priority = session->eviction_priority();
    if (!(above < priority)) continue;
    if (!candidate || priority < candidate->eviction_priority()) candidate = session;
  }
  return candidate;
}

void ClientListener::on_session_closed(std::uint64_t client_id, CloseReason reason) {
  closed_.count(kCloseReasonNames.at(std::size_t(reason)));
  sessions_.erase(client_id);
  accept();
}

std::shared_ptr<ClientSession> ClientListener::find_session(std::uint64_t client_id) const {
  const auto found = sessions_.find(client_id);
  return found == sessions_.end() ? nullptr : found->second;
}

void ClientListener::respond(std::uint64_t client_id, const Response& response) {
  if (const auto session = find_session(client_id)) session->respond(response);
}

void ClientListener::start_response(std::uint64_t client_id, std::optional<std::uint64_t> length) {
  if (const auto session = find_session(client_id)) session->start_response(length);
}

void ClientListener::write_chunk(std::uint64_t client_id, const std::string& bytes) {
  if (const auto session = find_session(client_id)) session->write_chunk(bytes);
}

void ClientListener::finish_response(std::uint64_t client_id) {
  if (const auto session = find_session(client_id)) session->finish_response();
}

TimePoint ClientListener::last_byte_pending_since(std::uint64_t client_id) const {
  const auto session = find_session(client_id);
  return session ? session->last_byte_pending_since() : 0;
}

void ClientListener::abort_response(std::uint64_t client_id, CloseReason reason) {
  if (const auto session = find_session(client_id)) session->abort_response(reason);
}

void ClientListener::yield_to_successor() {
  context_.is_draining = true;
  error_code ignored;
  acceptor_.cancel(ignored);
  close_idle_sessions();
}

void ClientListener::resume_after_hot_restart() {
  context_.is_draining = false;
  accept();
}

void ClientListener::drain() {
  context_.is_draining = true;
  context_.client_read_timeout = kClientReadTimeoutInShutdown;
  error_code ignored;
  // The successor accepts what is left in the backlog of an inherited socket.
  if (context_.is_listener_inherited) acceptor_.close(ignored);
  close_idle_sessions();
}

void ClientListener::stop_accepting() {
  if (!acceptor_.is_open()) return close_idle_sessions();
  // Closing the socket would reset the connections in its backlog, which may have sent requests.
  error_code ignored;
  acceptor_.non_blocking(true, ignored);
  is_accepting_backlog_ = true;
  if (!accept_backlog()) {
    context_.timers.schedule_after(kAcceptRetryDelay, [this] { stop_accepting(); });
    return;
  }
  is_accepting_backlog_ = false;
  acceptor_.close(ignored);
  close_idle_sessions();
}

bool ClientListener::accept_backlog() {
  int lost_connections = 0;
  while (true) {
    tcp::socket socket(io_);
    error_code ec;
    acceptor_.accept(socket, ec);
    if (!ec) {
      start_session(std::move(socket));
      continue;
    }
    if (ec == asio::error::would_block) return true;
    const AcceptFailure failure = classify_accept(ec);
    if (failure == AcceptFailure::kConnectionLost) {
      ++lost_connections;
      if (lost_connections < kMaxLostConnectionsPerPass) continue;
    }
    if (failure == AcceptFailure::kNoDescriptors) evict_session();
    return false;
  }
}

// Closing a session erases it from the map, so this loop and the one in close_stalled_sessions() use a copy.
void ClientListener::close_idle_sessions() {
  const auto sessions = sessions_;
  for (const auto& [client_id, session] : sessions) session->close_if_idle();
}

// A response is complete once the client's kernel has acknowledged it; if this process exited before that,
// a reset would destroy the data still under way.
bool ClientListener::is_idle() const {
  if (is_accepting_backlog_) return false;
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) { return entry.second->is_settled(); });
}

bool ClientListener::has_responses_in_progress() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) { return entry.second->has_response_in_progress(); });
}

std::vector<std::shared_ptr<ClientSession>> ClientListener::unfinished_sessions() const {
  std::vector<std::shared_ptr<ClientSession>> unfinished;
  for (const auto& [client_id, session] : sessions_)
    if (session->is_request_unfinished() && session->buffered_bytes() > 0) unfinished.push_back(session);
  // Those that hold most memory come first, so that few connections have to be closed.
  std::sort(unfinished.begin(), unfinished.end(), [](const auto& first, const auto& second) {
    return first->buffered_bytes() > second->buffered_bytes();
  });
  return unfinished;
}

std::vector<std::shared_ptr<ClientSession>> ClientListener::sessions_with_request() const {
  std::vector<std::shared_ptr<ClientSession>> busy;
  for (const auto& [client_id, session] : sessions_)
    if (session->request_id() != 0) busy.push_back(session);
  std::sort(busy.begin(), busy.end(),
            [](const auto& first, const auto& second) { return first->request_id() > second->request_id(); });
  return busy;
}

// Closing a session frees its buffers at once.
void ClientListener::close_unfinished_sessions() {
  for (const auto& session : unfinished_sessions()) {
    if (!context_.memory.is_active(OverloadAction::kCloseUnfinished)) return;
    session->abort_response(CloseReason::kOverload);
    context_.memory.count(OverloadAction::kCloseUnfinished);
    context_.memory.check();
  }
}

// The memory of a request is freed only after its end has been processed, so only a few are reset at a time.
void ClientListener::reset_latest_requests() {
  const TimePoint now = context_.clock.now();
  if (now - requests_reset_at_ < kRequestResetInterval) return;
  requests_reset_at_ = now;
  auto sessions = sessions_with_request();
  if (sessions.size() > kMaxRequestResets) sessions.resize(kMaxRequestResets);
  for (const auto& session : sessions) {
    session->abort_response(CloseReason::kOverload);
    context_.memory.count(OverloadAction::kResetRequestsInProgress);
  }
}

void ClientListener::relieve_memory() {
  context_.memory.check();
  if (context_.memory.is_active(OverloadAction::kCloseUnfinished)) close_unfinished_sessions();
  if (context_.memory.is_active(OverloadAction::kResetRequestsInProgress)) reset_latest_requests();
}

void ClientListener::close_stalled_sessions() {
  closed_.report_if_due(context_.clock.now());
  relieve_memory();
  const TimePoint now = context_.clock.now();
  const auto sessions = sessions_;
  for (const auto& [client_id, session] : sessions) session->close_if_stalled(now);
  context_.timers.schedule_after(kStallCheckInterval, [this] { close_stalled_sessions(); });
}

}  // namespace quota_gateway::net
