// Round the decision module: the only caller of DecisionEngine::handle. Turns what happened into events,
// hands them over in batches and carries out the actions. Owns the table of requests and their attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/admin_server.hpp"
#include "client/client_listener.hpp"
#include "counter/counter_client.hpp"
#include "discovery/discovery_client.hpp"
#include "quota_gateway/decision_engine.hpp"
#include "restart/hot_restart.hpp"
#include "runtime/metrics.hpp"
#include "runtime/timers.hpp"
#include "upstream/upstream.hpp"

namespace quota_gateway::net {

struct Configuration {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::optional<boost::asio::ip::tcp::endpoint> counter, admin_address;
  std::optional<int> inherited_listener;  // inherited from the platform
  std::string shared_directory;           // kept over an upgrade; empty: none
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024, memory_mb = 192;
  Settings settings;
  Micros connection_idle_timeout = 15'000'000, connect_timeout = 250'000;
  DiscoveryUpdate initial_endpoints;
};

// Throws std::exception with a message of one line.
Configuration parse_configuration(const nlohmann::json& config);

class Coordinator {
 public:
  Coordinator(boost::asio::io_context& io, const Configuration& config, const Clock& clock);

  boost::asio::ip::tcp::endpoint address() const { return client_listener_.address(); }
  boost::asio::ip::tcp::endpoint admin_address() const { return admin_->address(); }
  // Calls `then` once clients can connect.
  void on_listening(std::function<void()> then);
  // Follows discovery and the counter to the addresses that a new configuration names.
  void apply_configuration(const Configuration& config);
  // Goes on accepting for the hand-over, finishes what is held, then calls `done`, once.
  void drain(std::function<void()> done);

 private:
  struct Attempt {
    std::string endpoint;
    Micros sent = 0;
    bool out = true;
  };
  struct Request {
    std::uint64_t client = 0;
    Micros deadline = 0;
    bool answered = false;
    bool late = false;   // its last attempt timed out
    bool begun = false;  // its answer is passed on as it comes
    Micros timeout = 0;
    std::string request_class;
    int out = 0;
    OutgoingRequest outgoing;
    std::vector<Attempt> attempts;
  };
  using Requests = std::unordered_map<std::uint64_t, Request>;

  void handle_listening();
  std::uint64_t on_request(std::uint64_t client, ClientRequest request);
  void on_client_disconnected(std::uint64_t id);
  void on_body_complete(std::uint64_t id, Micros missing);
  void on_body_lagging(std::uint64_t id, Micros missing);
  void on_deadline(std::uint64_t id);
  Micros deadline(const Request& request, Micros from) const;
  void start_clock(std::uint64_t id, Request& request, Micros from);
  void on_endpoint_update(const DiscoveryUpdate& list, EndpointListUpdate::Kind kind);
  void on_response_started(AttemptKey key, const AttemptResult& head, std::optional<std::uint64_t> length);
  void on_response_chunk(AttemptKey key, std::string bytes);
  void on_writable(std::uint64_t id);
  void on_attempt_ended(AttemptKey key, AttemptResult result);
  void on_attempt_timeout(AttemptKey key);
  void on_endpoint_disabled(const std::string& server, bool disabled);

  void push(Event event);
  void watch_wall_clock();
  void flush();
  void act(const SendAttempt& a);
  void act(const CancelAttempt& a);
  void act(const RejectRequest& a);
  void act(const FailRequest& a);
  void act(const SetTimer& a);
  void act(const SendProbe&) {}           // no site allows probes here
  void act(const SubscribeEndpoints&) {}  // the watch is always on
  void act(const IncrementCounter& a);
  void act(const LogMessage& a);

  Requests::iterator find(const std::string& id);
  void respond(Request& request, Response response);
  void finish(Request& request, int status);
  void forget(Requests::iterator it);
  void check_drained();
  void start_hot_restart(const Configuration& config);
  std::string metrics_json();

  boost::asio::io_context& io_;
  const Settings settings_;
  const Clock& clock_;
  Timers timers_;
  DecisionEngine engine_;
  Requests requests_;
  std::vector<std::uint64_t> over_;  // to be forgotten once the module has heard of their end
  std::uint64_t last_ = 0;
  std::vector<Event> events_;
  bool flushing_ = false;
  std::function<void()> drained_, on_listening_;
  bool listening_ = false;
  Micros wall_offset_ = 0;  // as last told to the module
  Micros drain_until_ = 0;
  Micros answer_by_ = 0;  // while we drain; what is not answered then is failed
  Metrics metrics_;
  std::size_t in_progress_ = 0;  // requests without a final answer whose client is there
  BodyBudget budget_;
  Upstream upstream_;
  DisabledEndpoints disabled_;
  std::optional<CounterClient> counter_;
  DiscoveryClient discovery_;
  ClientListener client_listener_;
  std::optional<AdminServer> admin_;
  std::optional<HotRestart> hot_restart_;
};

}  // namespace quota_gateway::net
