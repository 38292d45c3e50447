// Assembles a gateway from its modules and connects them with each other.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "admin/admin_server.hpp"
#include "client/client_listener.hpp"
#include "counter/counter_client.hpp"
#include "discovery/discovery_client.hpp"
#include "network/body_transfer.hpp"
#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "restart/disabled_endpoints.hpp"
#include "restart/hot_restart.hpp"
#include "runtime/configuration.hpp"
#include "runtime/decision_loop.hpp"
#include "runtime/graceful_shutdown.hpp"
#include "runtime/heap_trimmer.hpp"
#include "runtime/memory_monitor.hpp"
#include "runtime/metrics.hpp"
#include "runtime/request_forwarder.hpp"
#include "runtime/timers.hpp"
#include "upstream/upstream.hpp"

namespace quota_gateway::net {

// Owns all modules of a gateway. Forwards their events to each other and to the decision engine, and
// dispatches the engine's actions. Runs in one event loop.
class Coordinator {
 public:
  // `memory_in_use` measures the memory of the process; see MemoryMonitor.
  Coordinator(boost::asio::io_context& io, const Configuration& configuration, const Clock& clock,
              MemoryInUse memory_in_use = {});

  // Returns the address that clients connect to.
  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return client_listener_.address(); }
  // Returns the address of the admin server, which the configuration must enable.
  [[nodiscard]] boost::asio::ip::tcp::endpoint admin_address() const { return admin_->address(); }

  // Calls `callback` once clients can connect; at once if they already can.
  void on_listening(std::function<void()> callback);

  // Switches to the discovery and counter addresses of a new configuration. Its other values are not applied.
  void apply_configuration(const Configuration& configuration);

  // Shuts down gracefully, then calls `on_drained` once.
  void drain(std::function<void()> on_drained);

 private:
  DecisionLoop::Callbacks decision_callbacks();
  Upstream::Callbacks upstream_callbacks();
  ClientListener::Callbacks client_callbacks();
  HotRestart::Callbacks hot_restart_callbacks(const Configuration& configuration);
  AdminHandlers admin_handlers();

  void start_counter(boost::asio::io_context& io, const Configuration& configuration);
  void start_listening(const Configuration& configuration);
  void start_admin_server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address);

  void execute(const Action& action);
  void increment_counter(const IncrementCounter& action);
  void on_endpoint_update(const DiscoveryUpdate& update, EndpointListUpdate::Kind kind);
  void on_admin_state_changed(const std::string& endpoint, bool disabled);
  void set_disabled(const std::string& endpoint, bool disabled,
                    const std::function<void(DisableResult)>& on_done);
  void handle_listening();
  [[nodiscard]] bool is_ready() const;
  [[nodiscard]] std::string metrics_json() const;

  const Settings settings_;
  const Clock& clock_;
  Timers timers_;
  Metrics metrics_;
  BodyBudget body_budget_;
  MemoryMonitor memory_;
  HeapTrimmer heap_trimmer_{timers_, memory_};
  DecisionLoop decision_loop_;
  RequestForwarder forwarder_;
  Upstream upstream_;
  DisabledEndpoints disabled_endpoints_;
  std::optional<CounterClient> counter_;
  DiscoveryClient discovery_;
  ClientListener client_listener_;
  GracefulShutdown shutdown_;
  std::optional<AdminServer> admin_;
  std::optional<HotRestart> hot_restart_;
  std::function<void()> on_listening_;
  bool is_listening_ = false;
};

}  // namespace quota_gateway::net
