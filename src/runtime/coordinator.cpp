#include "runtime/coordinator.hpp"

#include <iostream>
#include <utility>
#include <variant>

#include "runtime/resource_limits.hpp"

namespace quota_gateway::net {
namespace {

// Combines function objects into one for std::visit.
template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

// Returns the settings with the limits that follow from the resources of this gateway.
Settings derive_settings(const Configuration& configuration) {
  Settings settings = configuration.settings;
  settings.max_customers = max_customers(configuration);
  settings.max_remembered_requests = max_remembered_requests(configuration);
  return settings;
}

}  // namespace

Coordinator::Coordinator(boost::asio::io_context& io, const Configuration& configuration, const Clock& clock,
                         MemoryInUse memory_in_use)
    : settings_(derive_settings(configuration)),
      clock_(clock),
      timers_(io, clock),
      metrics_(settings_),
      body_budget_(body_buffer_bytes(configuration)),
      memory_(clock, body_budget_, memory_bytes(configuration), std::move(memory_in_use)),
      decision_loop_(io, clock, settings_, configuration.seed, decision_callbacks()),
      forwarder_({.io = io,
                  .timers = timers_,
                  .decision_loop = decision_loop_,
                  .client_listener = client_listener_,
                  .upstream = upstream_,
                  .metrics = metrics_},
                 settings_),
      upstream_(io, timers_, clock,
                {configuration.connection_idle_timeout, configuration.connect_timeout,
                 max_upstream_connections(configuration)},
                body_budget_, upstream_callbacks()),
      disabled_endpoints_(
          timers_, configuration.shared_directory,
          [this](const std::string& endpoint, bool disabled) { on_admin_state_changed(endpoint, disabled); }),
      discovery_(io, timers_, clock, configuration.discovery_address,
                 configuration.initial_endpoints.revision, settings_.drain_grace,
                 [this](const DiscoveryUpdate& update) {
                   using Kind = EndpointListUpdate::Kind;
                   on_endpoint_update(update, update.complete ? Kind::kComplete : Kind::kPartial);
                 }),
      client_listener_(io, timers_, clock, settings_, max_clients(configuration), body_budget_, memory_,
                       client_callbacks()),
      shutdown_(timers_, client_listener_, forwarder_, max_client_timeout(settings_)) {
  if (configuration.counter_address) start_counter(io, configuration);
  on_endpoint_update(configuration.initial_endpoints, EndpointListUpdate::Kind::kPersisted);
  heap_trimmer_.start();
  disabled_endpoints_.start();
  discovery_.start();
  start_listening(configuration);
  if (configuration.admin_address) start_admin_server(io, *configuration.admin_address);
}

void Coordinator::start_counter(boost::asio::io_context& io, const Configuration& configuration) {
  counter_.emplace(io, timers_, clock_, *configuration.counter_address, settings_.counter_timeout,
                   configuration.connect_timeout,
                   [this](const CounterReply& reply) { decision_loop_.push(reply); });
  counter_->start();
}

// If a predecessor may still be serving on the inherited socket, HotRestart decides when to accept clients.
void Coordinator::start_listening(const Configuration& configuration) {
  if (!configuration.inherited_listener || configuration.shared_directory.empty()) {
    client_listener_.listen(configuration.listen_address, configuration.inherited_listener);
    return;
  }
  hot_restart_.emplace(timers_, clock_, configuration.shared_directory, hot_restart_callbacks(configuration));
  hot_restart_->start();
}

void Coordinator::start_admin_server(boost::asio::io_context& io,
                                     const boost::asio::ip::tcp::endpoint& address) {
  admin_.emplace(io, timers_, admin_handlers());
  admin_->listen(address);
}

// ---- Callbacks between the modules ----------------------------------------------------------------------
DecisionLoop::Callbacks Coordinator::decision_callbacks() {
  return {.on_action = [this](const Action& action) { execute(action); },
          .on_batch_processed = [this] { forwarder_.on_batch_processed(); }};
}

Upstream::Callbacks Coordinator::upstream_callbacks() {
  using ResponseLength = std::optional<std::uint64_t>;
  return {.on_attempt_ended =
              [this](AttemptKey key, AttemptResult result) {
                forwarder_.on_attempt_ended(key, std::move(result));
              },
          .on_request_written = [this] { metrics_.count_attempt(); },
          .on_response_begun = [this](AttemptKey key) { forwarder_.on_response_begun(key); },
          .on_response_started =
              [this](AttemptKey key, const AttemptResult& head, ResponseLength length) {
                forwarder_.on_response_started(key, head, length);
              },
          .on_response_chunk =
              [this](AttemptKey key, const std::string& bytes) { forwarder_.on_response_chunk(key, bytes); }};
}

ClientListener::Callbacks Coordinator::client_callbacks() {
  return {.on_request =
              [this](std::uint64_t client_id, ClientRequest request) {
                return forwarder_.on_request(client_id, std::move(request));
              },
          .on_body_complete =
              [this](RequestId id, TimePoint last_byte_pending_since) {
                forwarder_.on_body_complete(id, last_byte_pending_since);
              },
          .on_body_lagging =
              [this](RequestId id, TimePoint last_byte_pending_since) {
                forwarder_.on_body_lagging(id, last_byte_pending_since);
              },
          .on_request_rejected = [this](const std::string& request_class,
                                        int status) { metrics_.count_response(request_class, status); },
          .on_client_disconnected = [this](RequestId id) { forwarder_.on_client_disconnected(id); },
          .on_writable = [this](RequestId id) { forwarder_.on_writable(id); },
          .on_listening = [this] { handle_listening(); }};
}

HotRestart::Callbacks Coordinator::hot_restart_callbacks(const Configuration& configuration) {
  return {.on_start =
              [this, address = configuration.listen_address,
               listener = configuration.inherited_listener](const HotRestartState* state) {
                if (state != nullptr) decision_loop_.push(StateRestored{*state});
                client_listener_.listen(address, listener);
              },
          .begin_handover =
              [this] {
                client_listener_.yield_to_successor();
                return decision_loop_.begin_hot_restart();
              },
          .attempts_in_flight = [this] { return decision_loop_.attempts_in_flight(); },
          .on_predecessor_attempts =
              [this](const AttemptCounts& attempts) { decision_loop_.push(PredecessorAttempts{attempts}); },
          .on_aborted =
              [this] {
                client_listener_.resume_after_hot_restart();
                decision_loop_.push(HotRestartAborted{});
              }};
}

AdminHandlers Coordinator::admin_handlers() {
  return {.is_ready = [this] { return is_ready(); },
          .metrics_json = [this] { return metrics_json(); },
          .set_disabled =
              [this](const std::string& endpoint, bool disabled,
                     const std::function<void(DisableResult)>& on_done) {
                set_disabled(endpoint, disabled, on_done);
              }};
}

// ---- Actions of the decision engine ---------------------------------------------------------------------
void Coordinator::execute(const Action& action) {
  std::visit(Overloaded{
                 [this](const SendAttempt& attempt) { forwarder_.send_attempt(attempt); },
                 [this](const CancelAttempt& attempt) { forwarder_.cancel_attempt(attempt); },
                 [this](const RejectRequest& request) { forwarder_.reject_request(request); },
                 [this](const FailRequest& request) { forwarder_.fail_request(request); },
                 [this](const SetTimer& timer) {
                   timers_.schedule_at(
                       timer.at, [this, token = timer.token] { decision_loop_.push(TimerFired{token}); });
                 },
                 [this](const IncrementCounter& increment) { increment_counter(increment); },
                 [](const SendProbe&) {},             // A gateway's settings do not allow probes.
                 [](const SubscribeToEndpoints&) {},  // Discovery is always watched.
                 [](const LogMessage& message) { std::cerr << message.text << '\n'; },
             },
             action);
}

void Coordinator::increment_counter(const IncrementCounter& action) {
  if (counter_) {
    counter_->increment(action);
  } else {
    decision_loop_.push(CounterReply{action.name, 0, CounterOutcome::kNotAdded, 0});
  }
}

// ---- Endpoints ------------------------------------------------------------------------------------------
void Coordinator::on_endpoint_update(const DiscoveryUpdate& update, EndpointListUpdate::Kind kind) {
  upstream_.update_endpoints(update);
  EndpointListUpdate event;
  event.kind = kind;
  for (const DiscoveredEndpoint& endpoint : update.endpoints) event.entries.push_back(endpoint.entry);
  decision_loop_.push(std::move(event));
}

void Coordinator::on_admin_state_changed(const std::string& endpoint, bool disabled) {
  upstream_.set_disabled(endpoint, disabled);
  decision_loop_.push(AdminStateChanged{endpoint, disabled});
}

void Coordinator::set_disabled(const std::string& endpoint, bool disabled,
                               const std::function<void(DisableResult)>& on_done) {
  if (!upstream_.is_known(endpoint) && !disabled_endpoints_.contains(endpoint)) {
    on_done(DisableResult::kUnknownEndpoint);
    return;
  }
  disabled_endpoints_.set(endpoint, disabled, [on_done](bool stored) {
    on_done(stored ? DisableResult::kDone : DisableResult::kNotStored);
  });
}

// ---- Lifecycle and status -------------------------------------------------------------------------------
void Coordinator::on_listening(std::function<void()> callback) {
  on_listening_ = std::move(callback);
  if (is_listening_) on_listening_();
}

void Coordinator::handle_listening() {
  is_listening_ = true;
  if (on_listening_) on_listening_();
}

bool Coordinator::is_ready() const {
  return !shutdown_.is_started() && client_listener_.is_accepting_clients();
}

std::string Coordinator::metrics_json() const {
  const DecisionEngine::EndpointCounts endpoints = decision_loop_.count_endpoints();
  return metrics_.to_json({.requests_in_progress = forwarder_.requests_in_progress(),
                           .known_endpoints = endpoints.listed,
                           .excluded_endpoints = endpoints.excluded});
}

void Coordinator::apply_configuration(const Configuration& configuration) {
  discovery_.reconnect_to(configuration.discovery_address);
  if (counter_ && configuration.counter_address) counter_->reconnect_to(*configuration.counter_address);
}

void Coordinator::drain(std::function<void()> on_drained) {
  if (hot_restart_) hot_restart_->begin_shutdown();
  shutdown_.start(std::move(on_drained));
}

}  // namespace quota_gateway::net
