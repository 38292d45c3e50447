// Parses addresses and endpoint lists, and formats watch requests.
#include "discovery/discovery_protocol.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;

constexpr unsigned kMaxPort = 65535;
constexpr std::int64_t kMicrosPerMillisecond = 1000;

EndpointState parse_state(const std::string& phase) {
  if (phase == "draining") return EndpointState::kDraining;
  if (phase == "removed") return EndpointState::kRemoved;
  if (phase == "up") return EndpointState::kUp;
  throw DiscoveryFormatError("unknown phase " + phase);
}

DiscoveredEndpoint parse_member(const nlohmann::json& member) {
  DiscoveredEndpoint endpoint;
  EndpointEntry& entry = endpoint.entry;
  entry.endpoint = member.at("id").get<std::string>();
  entry.state = parse_state(member.at("phase").get<std::string>());
  if (entry.state != EndpointState::kRemoved || member.contains("host_port"))
    endpoint.address = parse_address(member.at("host_port").get<std::string>());
  entry.zone = member.value("locality", "");
  entry.hardware = member.value("flavor", "");
  entry.cell = member.value("cell", std::int64_t{0});
  entry.weight = member.value("size", 1.0);
  entry.started_at = member.value("up_since_ms", std::int64_t{0}) * kMicrosPerMillisecond;
  return endpoint;
}

}  // namespace

tcp::endpoint parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw DiscoveryFormatError("missing port in address '" + text + "'");

  unsigned port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, port_error] = std::from_chars(text.data() + colon + 1, end, port);
  if (port_error != std::errc() || stop != end || port > kMaxPort)
    throw DiscoveryFormatError("invalid port in address '" + text + "'");

  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), address_error);
  if (address_error) throw DiscoveryFormatError("invalid address '" + text + "'");
  return {address, static_cast<unsigned short>(port)};
}

DiscoveryUpdate parse_discovery_update(const nlohmann::json& message) {
  DiscoveryUpdate update;
  update.revision = message.at("revision").get<std::int64_t>();
  update.complete = message.value("complete", false);
  for (const auto& member : message.at("members")) update.endpoints.push_back(parse_member(member));
  return update;
}

std::string format_watch_request(const tcp::endpoint& agent_address,
                                 std::optional<std::int64_t> after_revision) {
  std::string request = "GET /catalog/members?watch=1";
  if (after_revision) request += "&after=" + std::to_string(*after_revision);
  request += " HTTP/1.1\r\nHost: " + agent_address.address().to_string() + "\r\n\r\n";
  return request;
}

}  // namespace quota_gateway::net
