// The known endpoints, their idle connections, and the limit on all connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "discovery/discovery_client.hpp"
#include "quota_gateway/time.hpp"
#include "upstream/connection.hpp"

namespace quota_gateway::net {

// Limits on the connections to endpoints.
struct UpstreamLimits {
  Duration idle_timeout = 15'000'000;  // us; endpoints close a connection that was idle for this long
  Duration connect_timeout = 250'000;  // us
  std::size_t max_connections = 400;
};

// Hands out connections to endpoints and keeps idle ones for reuse.
class ConnectionPool {
 public:
  ConnectionPool(ConnectionContext& context, const UpstreamLimits& limits);

  // Applies an update of the endpoint list. Closes idle connections to endpoints that were removed, moved or
  // restarted.
  void update_endpoints(const DiscoveryUpdate& update);
  // Disables or enables an endpoint administratively, and closes its idle connections. No connection to a
  // disabled endpoint is handed out, whatever the endpoint list says.
  void set_disabled(const std::string& endpoint, bool disabled);
  // Returns whether the endpoint list contains the endpoint.
  [[nodiscard]] bool is_known(const std::string& endpoint) const { return endpoints_.contains(endpoint); }
  // Returns whether the connection's endpoint accepts requests at the address to which the connection was
  // made.
  [[nodiscard]] bool is_address_current(const Connection& connection);

  // Returns an idle connection or a new one that is not connected yet, or nullptr if the endpoint accepts no
  // requests or the limit on connections is reached.
  std::shared_ptr<Connection> acquire(const std::string& endpoint);
  // Takes back a connection whose attempt has ended. Keeps it if it can be reused, otherwise closes it.
  void release(const std::shared_ptr<Connection>& connection, bool is_reusable);
  // Closes a connection in any state.
  void close(Connection& connection);

 private:
  // An entry of the endpoint list, with its idle connections.
  struct Endpoint {
    bool is_up = false;
    TimePoint started_at = 0;
    boost::asio::ip::tcp::endpoint address;
    std::vector<std::shared_ptr<Connection>> idle_connections;  // the most recently used one is last
  };

  void remove_unlisted(const DiscoveryUpdate& update);
  void remove_endpoint(const std::string& name);
  void update_endpoint(const DiscoveredEndpoint& update);
  Endpoint* find_available(const std::string& name);
  std::shared_ptr<Connection> take_idle(Endpoint& endpoint);
  bool ensure_capacity();
  void close_idle(Endpoint& endpoint);
  void remove_from_idle(const Connection& connection);
  [[nodiscard]] bool is_idle_too_long(Duration idle_time) const;
  void evict_idle_periodically();

  ConnectionContext& context_;
  const UpstreamLimits limits_;
  std::map<std::string, Endpoint> endpoints_;
  std::set<std::string> disabled_;    // administratively; may contain endpoints that are not listed
  std::size_t open_connections_ = 0;  // in any state but closed
};

}  // namespace quota_gateway::net
