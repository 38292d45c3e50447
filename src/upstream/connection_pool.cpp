// Endpoint updates, and reuse and eviction of connections.
#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quota_gateway::net {
namespace {

// Longest idle time as a fraction of the endpoints' idle timeout. Endpoints may close idle connections before
// that timeout.
constexpr double kMaxIdleFraction = 0.4;
// A faulty endpoint may send a second response some milliseconds after the first.
constexpr Duration kMinIdleBeforeReuse = 20'000;  // us
constexpr Duration kEvictionInterval = 500'000;   // us

}  // namespace

ConnectionPool::ConnectionPool(ConnectionContext& context, const UpstreamLimits& limits)
    : context_(context), limits_(limits) {
  evict_idle_periodically();
}

void ConnectionPool::update_endpoints(const DiscoveryUpdate& update) {
  if (update.complete) remove_unlisted(update);
  for (const DiscoveredEndpoint& discovered : update.endpoints) {
    if (discovered.entry.state == EndpointState::kRemoved) {
      remove_endpoint(discovered.entry.endpoint);
    } else {
      update_endpoint(discovered);
    }
  }
}

void ConnectionPool::remove_unlisted(const DiscoveryUpdate& update) {
  std::set<std::string> listed;
  for (const DiscoveredEndpoint& discovered : update.endpoints) listed.insert(discovered.entry.endpoint);
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    if (listed.contains(it->first)) {
      ++it;
    } else {
      close_idle(it->second);
      it = endpoints_.erase(it);
    }
  }
}

void ConnectionPool::remove_endpoint(const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return;
  close_idle(found->second);
  endpoints_.erase(found);
}

void ConnectionPool::update_endpoint(const DiscoveredEndpoint& update) {
  Endpoint& endpoint = endpoints_[update.entry.endpoint];
  const bool has_address = update.address.port() != 0;
  const bool is_moved = has_address && update.address != endpoint.address;
  const bool is_restarted = update.entry.started_at != endpoint.started_at;
  endpoint.is_up = update.entry.state == EndpointState::kUp && has_address;
  endpoint.started_at = update.entry.started_at;
  if (has_address) endpoint.address = update.address;
  // Connections to a process that has gone away may stay open without ever answering.
  if (is_moved || is_restarted) close_idle(endpoint);
}

void ConnectionPool::set_disabled(const std::string& endpoint, bool disabled) {
  if (disabled) {
    disabled_.insert(endpoint);
  } else {
    disabled_.erase(endpoint);
  }
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  close_idle(found->second);  // the endpoint is usually restarted while it is disabled
}

ConnectionPool::Endpoint* ConnectionPool::find_available(const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end() || !found->second.is_up || disabled_.contains(name)) return nullptr;
  return &found->second;
}

bool ConnectionPool::is_address_current(const Connection& connection) {
  const Endpoint* const endpoint = find_available(connection.endpoint());
  return endpoint && endpoint->address == connection.address();
}

std::shared_ptr<Connection> ConnectionPool::acquire(const std::string& endpoint) {
  Endpoint* const available = find_available(endpoint);
  if (!available) return nullptr;
  if (auto idle = take_idle(*available)) return idle;
  if (!ensure_capacity()) return nullptr;
  ++open_connections_;
  return std::make_shared<Connection>(context_, endpoint, available->address);
}

// Takes the most recently used idle connection and closes unusable ones that it comes across. Skips
// connections that were used a moment ago, because a second response to their last request would be matched
// to the next request.
std::shared_ptr<Connection> ConnectionPool::take_idle(Endpoint& endpoint) {
  for (std::size_t i = endpoint.idle_connections.size(); i-- > 0;) {
    std::shared_ptr<Connection> connection = endpoint.idle_connections[i];
    const Duration idle_time = context_.clock.now() - connection->idle_since();
    if (!connection->is_still_usable() || is_idle_too_long(idle_time)) {
      close(*connection);
    } else if (idle_time >= kMinIdleBeforeReuse) {
      remove_from_idle(*connection);
      return connection;
    }
  }
  return nullptr;
}

// Returns whether one more connection may be opened. At the limit, closes the one that was idle longest.
bool ConnectionPool::ensure_capacity() {
  if (open_connections_ < limits_.max_connections) return true;
  std::shared_ptr<Connection> oldest;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.idle_connections.empty()) continue;
    const auto& candidate = endpoint.idle_connections.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (!oldest) return false;
  close(*oldest);
  return true;
}

void ConnectionPool::release(const std::shared_ptr<Connection>& connection, bool is_reusable) {
  Endpoint* const endpoint = find_available(connection->endpoint());
  if (is_reusable && endpoint && endpoint->address == connection->address()) {
    connection->become_idle();
    endpoint->idle_connections.push_back(connection);
  } else {
    close(*connection);
  }
}

void ConnectionPool::close(Connection& connection) {
  if (connection.state() == Connection::State::kClosed) return;
  if (connection.state() == Connection::State::kIdle) remove_from_idle(connection);
  --open_connections_;
  connection.close();
}

void ConnectionPool::close_idle(Endpoint& endpoint) {
  while (!endpoint.idle_connections.empty()) {
    const std::shared_ptr<Connection> connection = endpoint.idle_connections.back();
    close(*connection);
  }
}

void ConnectionPool::remove_from_idle(const Connection& connection) {
  const auto found = endpoints_.find(connection.endpoint());
  if (found == endpoints_.end()) return;
  std::erase_if(found->second.idle_connections,
                [&](const std::shared_ptr<Connection>& idle) { return idle.get() == &connection; });
}

bool ConnectionPool::is_idle_too_long(Duration idle_time) const {
  return static_cast<double>(idle_time) >= kMaxIdleFraction * static_cast<double>(limits_.idle_timeout);
}

// Closes idle connections before their endpoints do.
void ConnectionPool::evict_idle_periodically() {
  const TimePoint now = context_.clock.now();
  for (auto& [name, endpoint] : endpoints_) {
    auto& idle = endpoint.idle_connections;
    while (!idle.empty() && is_idle_too_long(now - idle.front()->idle_since())) {
      const std::shared_ptr<Connection> connection = idle.front();
      close(*connection);
    }
  }
  context_.timers.schedule_after(kEvictionInterval, [this] { evict_idle_periodically(); });
}

}  // namespace quota_gateway::net
