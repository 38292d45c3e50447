#include "client/client_listener.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>
#include <iostream>
#include <utility>

#include "network/system_errors.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kMaxEvictionAttempts = 4;                    // each asks the kernel about one connection
constexpr Duration kStallCheckInterval = 200'000;          // us
constexpr Duration kAcceptRetryDelay = 20'000;             // us
constexpr Duration kListenRetryDelay = 50'000;             // us
constexpr Duration kListenFailureLogInterval = 5'000'000;  // us
// Aborted connections that are skipped before other events are processed.
constexpr int kMaxLostConnectionsAtOnce = 64;

}  // namespace

// NOLINTNEXTLINE(readability-function-size): one parameter for each collaborator
ClientListener::ClientListener(asio::io_context& io, Timers& timers, const Clock& clock,
                               const Settings& settings, std::size_t max_clients, BodyBudget& budget,
                               Callbacks callbacks)
    : io_(io),
      max_clients_(max_clients),
      context_{.timers = timers,
               .clock = clock,
               .settings = settings,
               .budget = budget,
               .callbacks = std::move(callbacks),
               .on_session_closed = [this](std::uint64_t client) { on_session_closed(client); },
               .read_buffer = std::vector<char>(kReadSize)},
      acceptor_(io) {
  close_stalled_sessions();
}

ClientListener::~ClientListener() = default;

// The address may be in use, or the system short of a resource, for a moment only, so a failure is not fatal.
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
  // Without this option the library skips an aborted connection and waits for the next arrival, while the
  // rest of the backlog waits with it.
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
  is_accept_pending_ = true;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    is_accept_pending_ = false;
    if (ec) return on_accept_failed(ec);
    // The acceptor may be closed by now; the connection was accepted before and is served.
    start_session(std::move(socket));
    accept_if_below_limit();
  });
}

void ClientListener::on_accept_failed(error_code ec) {
  switch (classify_accept(ec)) {
    case AcceptFailure::kCancelled:  // has no effect if the successor accepts from now on
    case AcceptFailure::kConnectionLost:
      return accept();
    case AcceptFailure::kNoDescriptors:
      evict_one();
      break;
    case AcceptFailure::kTransient:
      break;
  }
  context_.timers.schedule_after(kAcceptRetryDelay, [this] { accept(); });
}

// At the limit one connection more is accepted, and another one evicted for it, because a request that waits
// in the backlog uses up its client's timeout.
void ClientListener::accept_if_below_limit() {
  if (sessions_.size() > max_clients_) evict_one();
  if (sessions_.size() <= max_clients_) return accept();
  context_.timers.schedule_after(kAcceptRetryDelay, [this] {
    if (!is_accept_pending_ && acceptor_.is_open()) accept_if_below_limit();
  });
}

void ClientListener::start_session(tcp::socket socket) {
  ++last_client_;
  const auto session = std::make_shared<ClientSession>(context_, last_client_, std::move(socket));
  sessions_.emplace(last_client_, session);
  session->read();
}

// Closes the evictable session of the lowest priority. Sessions with data in flight, which are few, are
// passed over.
void ClientListener::evict_one() {
  EvictionPriority passed_over{};
  for (int attempt = 0; attempt < kMaxEvictionAttempts; ++attempt) {
    const std::shared_ptr<ClientSession> candidate = find_eviction_candidate(passed_over);
    if (!candidate) return;
    if (!candidate->has_data_in_flight()) return candidate->close();
    passed_over = candidate->eviction_priority();
  }
}

std::shared_ptr<ClientSession> ClientListener::find_eviction_candidate(const EvictionPriority& above) const {
  std::shared_ptr<ClientSession> candidate;
  for (const auto& [client, session] : sessions_) {
    if (client == last_client_ || !session->is_evictable()) continue;
    const EvictionPriority priority = session->eviction_priority();
    if (!(above < priority)) continue;
    if (!candidate || priority < candidate->eviction_priority()) candidate = session;
  }
  return candidate;
}

void ClientListener::on_session_closed(std::uint64_t client) {
  sessions_.erase(client);
  accept();
}

std::shared_ptr<ClientSession> ClientListener::find(std::uint64_t client) const {
  const auto found = sessions_.find(client);
  return found == sessions_.end() ? nullptr : found->second;
}

void ClientListener::respond(std::uint64_t client, const Response& response) {
  if (const auto session = find(client)) session->respond(response);
}

void ClientListener::start_response(std::uint64_t client, std::optional<std::uint64_t> length) {
  if (const auto session = find(client)) session->start_response(length);
}

void ClientListener::write_chunk(std::uint64_t client, const std::string& bytes) {
  if (const auto session = find(client)) session->write_chunk(bytes);
}

void ClientListener::finish_response(std::uint64_t client) {
  if (const auto session = find(client)) session->finish_response();
}

void ClientListener::abort_response(std::uint64_t client) {
  if (const auto session = find(client)) session->abort_response();
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
  error_code ignored;
  // The successor accepts what is left in the backlog of an inherited socket.
  if (context_.is_listener_inherited) acceptor_.close(ignored);
  close_idle_sessions();
}

void ClientListener::stop_accepting() {
  if (!acceptor_.is_open()) return close_idle_sessions();
  // To close the socket would reset the connections in its backlog, which may have sent requests.
  error_code ignored;
  acceptor_.non_blocking(true, ignored);
  is_emptying_backlog_ = true;
  if (!empty_backlog()) {
    context_.timers.schedule_after(kAcceptRetryDelay, [this] { stop_accepting(); });
    return;
  }
  is_emptying_backlog_ = false;
  acceptor_.close(ignored);
  close_idle_sessions();
}

bool ClientListener::empty_backlog() {
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
      if (lost_connections < kMaxLostConnectionsAtOnce) continue;
    }
    if (failure == AcceptFailure::kNoDescriptors) evict_one();
    return false;
  }
}

// Sessions that close are erased from the map, so the loops run over a copy.
void ClientListener::close_idle_sessions() {
  const auto sessions = sessions_;
  for (const auto& [client, session] : sessions) session->close_if_idle();
}

// A response is complete once the client's kernel has acknowledged it; the end of this process before that
// would reset what is under way.
bool ClientListener::is_idle() const {
  if (is_emptying_backlog_) return false;
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) { return entry.second->is_settled(); });
}

void ClientListener::close_stalled_sessions() {
  const TimePoint now = context_.clock.now();
  const auto sessions = sessions_;
  for (const auto& [client, session] : sessions) session->close_if_stalled(now);
  context_.timers.schedule_after(kStallCheckInterval, [this] { close_stalled_sessions(); });
}

}  // namespace quota_gateway::net
