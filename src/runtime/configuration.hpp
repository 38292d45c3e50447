// The configuration of a gateway and the parser of its JSON form.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "discovery/discovery_client.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

struct Configuration {
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address;
  boost::asio::ip::tcp::endpoint discovery_address;
  std::optional<boost::asio::ip::tcp::endpoint> counter_address;
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;
  std::optional<int> inherited_listener;  // file descriptor of a socket that the platform has opened
  std::string shared_directory;           // shared with the other process of a hot restart; empty: none
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;
  std::size_t memory_mb = 192;
  Settings settings;
  Duration connection_idle_timeout = 15'000'000;  // us, of connections to endpoints
  Duration connect_timeout = 250'000;             // us
  DiscoveryUpdate initial_endpoints;              // known before discovery reports any
};

// Thrown if a configuration cannot be used. The message is one line that names the path of the invalid
// value.
class ConfigError : public std::runtime_error {
 public:
  // `path` is a path in the JSON document, such as "limits.sockets", or the name of an environment variable.
  // It is empty if the document itself is invalid.
  ConfigError(const std::string& path, const std::string& reason);

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Parses the JSON form of a configuration. Throws ConfigError if it is invalid.
Configuration parse_configuration(const nlohmann::json& document);

// Returns the longest time in microseconds for which a client of any class waits for its response.
[[nodiscard]] Duration max_client_timeout(const Settings& settings);

}  // namespace quota_gateway::net
