// The wire format of the discovery agent: the request that opens a watch, and the endpoint lists in its
// response. Names on the wire are mapped to the gateway's own names only here.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "quota_gateway/events.hpp"

namespace quota_gateway::net {

// Thrown for a malformed address or endpoint list.
class DiscoveryFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An endpoint as the agent describes it, with its network address.
struct DiscoveredEndpoint {
  EndpointEntry entry;
  boost::asio::ip::tcp::endpoint address;  // port 0 if the agent did not announce it
};

// One message of a watch.
struct DiscoveryUpdate {
  std::int64_t revision = 0;
  bool complete = false;  // lists all endpoints; otherwise only those that changed
  std::vector<DiscoveredEndpoint> endpoints;
};

// Parses an IP address with a port, such as `127.0.0.1:8080`. Throws DiscoveryFormatError.
boost::asio::ip::tcp::endpoint parse_address(const std::string& text);

// Parses one message of a watch. Throws DiscoveryFormatError or nlohmann::json::exception if it is malformed.
DiscoveryUpdate parse_discovery_update(const nlohmann::json& message);

// Returns the HTTP request that opens a watch. The agent begins with the changes after `after_revision`, or
// with the complete list if it is std::nullopt.
std::string format_watch_request(const boost::asio::ip::tcp::endpoint& agent_address,
                                 std::optional<std::int64_t> after_revision);

}  // namespace quota_gateway::net
