// The client of discovery: holds a watch on the list of servers and tells each change.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "quota_gateway/decision_engine.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

struct DiscoveredEndpoint {
  EndpointEntry entry;
  boost::asio::ip::tcp::endpoint address;  // port 0: not told
};
struct DiscoveryUpdate {
  std::int64_t revision = 0;
  bool complete = false;  // else only what changed
  std::vector<DiscoveredEndpoint> endpoints;
};

// Throws std::exception on a list of the wrong shape.
DiscoveryUpdate parse_discovery_update(const nlohmann::json& list);
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

class DiscoveryClient {
 public:
  using UpdateCallback = std::function<void(const DiscoveryUpdate&)>;
  DiscoveryClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                  boost::asio::ip::tcp::endpoint agent, std::int64_t revision, Micros drain_grace,
                  UpdateCallback told);
  void start();
  // Goes on with the watch at another address, from the last revision.
  void reconnect_to(const boost::asio::ip::tcp::endpoint& agent);

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  void connect();
  void request(int life);
  void read(int life);
  void took(std::size_t size);
  void line(const std::string& text);
  void lost(const std::string& why);
  void watch_quiet(int life);
  bool ends_object(const std::string& text);
  bool is_outdated(const DiscoveryUpdate& list);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  boost::asio::ip::tcp::endpoint agent_;
  std::int64_t revision_;
  const Micros at_once_;  // in which the agent is asked again, and answers
  bool whole_ = false;    // ask for the whole list next
  bool turned_away_ = false;
  bool answered_ = false;  // with the watch's first line
  UpdateCallback told_;
  boost::asio::ip::tcp::socket socket_;
  std::optional<Parser> parser_;
  std::array<char, 16384> chunk_;
  std::string pending_, lines_, request_, object_;
  int depth_ = 0;  // of what came of an object
  bool quoted_ = false, escaped_ = false;
  int life_ = 0;  // of the connection; handlers of earlier ones mean nothing
  Micros began_ = 0, heard_ = 0;
  Micros backoff_ = 0;
  Micros logged_ = 0;
};

}  // namespace quota_gateway::net
