// Connections to servers: a pool for each, and the attempts on them. Maps what happened to an Outcome.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/discovery_client.hpp"
#include "network/body_transfer.hpp"
#include "network/outgoing_request.hpp"
#include "quota_gateway/decision_engine.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

struct UpstreamLimits {
  Micros idle_timeout = 15'000'000;  // a server closes what has idled for so long
  Micros connect_timeout = 250'000;
  std::size_t max_connections = 400;
};

struct AttemptKey {
  std::uint64_t request = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& k) const {
    return std::size_t(k.request * 8 + unsigned(k.attempt));
  }
};

struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  LoadReport load;
  std::string body;         // of a kOk that was held whole
  double billed_units = 0;  // the request's true units; 0: not said
};

class Upstream {
 public:
  struct Callbacks {
    std::function<void(AttemptKey, AttemptResult)> on_attempt_ended;
    std::function<void()> on_request_written;  // the last byte of an attempt, once
    // A good answer too large to hold has begun, with `length` unless that is unknown. Its pieces follow,
    // each but the first after a call of `more`, and then its end.
    std::function<void(AttemptKey, const AttemptResult&, std::optional<std::uint64_t> length)>
        on_response_started;
    std::function<void(AttemptKey, std::string bytes)> on_response_chunk;
  };
  Upstream(boost::asio::io_context& io, Timers& timers, const Clock& clock, UpstreamLimits limits,
           BodyBudget& budget, Callbacks callbacks);
  ~Upstream();

  void update_endpoints(const DiscoveryUpdate& list);
  // Nothing more goes to a server disabled by hand, whatever the list says, until it is enabled.
  void set_disabled(const std::string& server, bool disabled);
  bool is_known(const std::string& server) const { return pools_.count(server) > 0; }
  // One result follows, never from within this call, unless the attempt is abandoned.
  void send(AttemptKey key, const std::string& server, const OutgoingRequest& what, Micros until);
  // Closes the attempt's connection. True if its last byte may have been written.
  bool cancel(AttemptKey key);
  // The same, but only if its last byte is not written yet. True if so.
  bool cancel_unless_written(AttemptKey key);
  // The client has taken what there was of an answer that has begun.
  void request_more(AttemptKey key);
  // When its server last gave something of it; now, while that is not asked for more or more lies unread.
  Micros last_progress_at(AttemptKey key) const;

 private:
  class Connection;
  using Held = std::shared_ptr<Connection>;
  struct Pool {
    bool up = false;
    Micros started_at = 0;
    boost::asio::ip::tcp::endpoint address;
    std::vector<Held> idle;  // last used last
  };
  Held take_idle(Pool& pool);
  bool make_room();
  void connect(const Held& connection);
  void dial(const Held& connection);
  void dial_again(const Held& connection);
  void came_up(const Held& connection);
  void write(const Held& connection);
  void pump(const Held& connection);
  void flush(const Held& connection);
  std::string head_with_time_left(const Connection& connection) const;
  void expect(Connection& connection);
  void read(const Held& connection);
  void took(const Held& connection, std::size_t size);
  bool passes_on(const Held& connection);
  void answered(const Held& connection);
  void broke(const Held& connection, boost::system::error_code ec);
  void end(const Held& connection, AttemptResult result, bool keep);
  void forget_idle(Connection& connection);
  void drop_idle(Pool& pool);
  void drop(Connection& connection);
  void end_later(AttemptKey key, Outcome outcome);
  void sweep();
  Pool* open_pool(const std::string& server);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const UpstreamLimits limits_;
  BodyBudget& budget_;
  const Callbacks callbacks_;
  std::vector<char> chunk_;  // what was just read, of any connection
  std::map<std::string, Pool> pools_;
  std::set<std::string> disabled_;
  std::unordered_map<AttemptKey, Held, AttemptKeyHash> attempts_;
  std::size_t open_ = 0;
};

}  // namespace quota_gateway::net
