#include "decision/endpoints/endpoint_pool.hpp"

#include "decision/endpoints/endpoint_cost.hpp"
#include "decision/endpoints/relative_latency.hpp"

namespace quota_gateway::decision {
namespace {

// The initial endpoint list counts as complete, at the latest, this long after the first list update.
constexpr Duration kInitialListWindow = 10'000'000;  // us

}  // namespace

EndpointPool::EndpointPool(const Settings& settings, std::uint64_t seed)
    : slow_start_(settings),
      concurrency_limit_(settings, fleet_),
      picker_(settings, fleet_, slow_start_, outlier_ejection_, concurrency_limit_, seed) {}

Endpoint& EndpointPool::find_or_create(const std::string& name) {
  const auto [position, is_new] = endpoints_.try_emplace(name);
  Endpoint& endpoint = position->second;
  if (is_new) picker_.add(endpoint);
  return endpoint;
}

void EndpointPool::update(TimePoint now, const EndpointListUpdate& update) {
  using Kind = EndpointListUpdate::Kind;
  if (update.kind == Kind::kError) return;
  if (first_update_at_ == 0) first_update_at_ = now;
  if (now - first_update_at_ > kInitialListWindow) is_initial_list_complete_ = true;
  if (update.kind != Kind::kPartial) remove_all_from_list(now);
  for (const EndpointEntry& entry : update.entries) apply_list_entry(now, entry);
  if (update.kind != Kind::kPersisted) is_initial_list_complete_ = true;
  picker_.clear_backoff();
}

void EndpointPool::remove_all_from_list(TimePoint now) {
  for (auto& [name, endpoint] : endpoints_) {
    endpoint.entry.state = EndpointState::kRemoved;
    on_endpoint_changed(now, endpoint, 0);
  }
}

void EndpointPool::apply_list_entry(TimePoint now, const EndpointEntry& entry) {
  Endpoint& endpoint = find_or_create(entry.endpoint);
  const bool is_restarted = entry.started_at != endpoint.entry.started_at;
  const bool is_new = !endpoint.was_listed;
  endpoint.entry = entry;
  endpoint.was_listed = true;
  if (is_restarted || is_new) on_endpoint_started(now, endpoint);
  on_endpoint_changed(now, endpoint, 0);
}

void EndpointPool::on_endpoint_started(TimePoint now, Endpoint& endpoint) {
  const bool ran_before_gateway = !is_initial_list_complete_;
  slow_start_.on_endpoint_started(now, endpoint, ran_before_gateway);
  if (ran_before_gateway) return;
  endpoint.restarted_at = now;
  endpoint.reset_observations();
}

void EndpointPool::update(TimePoint now, const AdminStateChanged& event) {
  Endpoint& endpoint = find_or_create(event.endpoint);
  if (endpoint.disabled == event.disabled) return;
  const bool is_restart_announced = endpoint.restarted_at > endpoint.admin_changed_at;
  endpoint.disabled = event.disabled;
  endpoint.admin_changed_at = now;
  if (!event.disabled) {
    endpoint.reset_observations();
    // An endpoint is usually restarted while it is disabled, and the list may announce the restart only
    // seconds after the endpoint is enabled again.
    if (!is_restart_announced) endpoint.slow_start_at = now;
  }
  on_endpoint_changed(now, endpoint, 0);
  picker_.clear_backoff();
}

// Updates the values derived from the state of one endpoint: its weight and the count of available endpoints.
void EndpointPool::on_endpoint_changed(TimePoint now, Endpoint& endpoint, double mean_latency) {
  picker_.update_weight(now, endpoint, mean_latency);
  const bool is_available = endpoint.is_available();
  if (is_available && !endpoint.counted_available) ++fleet_.available;
  if (!is_available && endpoint.counted_available) --fleet_.available;
  endpoint.counted_available = is_available;
}

void EndpointPool::end_expired_ejections(TimePoint now, double mean_latency) {
  for (Endpoint* endpoint : outlier_ejection_.take_expired(now)) {
    on_endpoint_changed(now, *endpoint, mean_latency);
  }
  fleet_.ejected = outlier_ejection_.count_available_ejected();
}

Endpoint* EndpointPool::pick(TimePoint now, double work, double mean_latency, bool restricted,
                             const Filter& is_allowed) {
  end_expired_ejections(now, mean_latency);
  if (!concurrency_limit_.has_capacity(now)) return nullptr;
  const PickRequest request{.now = now, .work = work, .mean_latency = mean_latency, .restricted = restricted};
  return picker_.pick(request, is_allowed);
}

void EndpointPool::on_attempt_sent(TimePoint now, Endpoint& endpoint, double work) {
  concurrency_limit_.on_attempt_sent(now);
  ++endpoint.local_attempts;
  if (endpoint.local_attempts == 1) endpoint.awaiting_response_since = now;
  record_connection_use(now, endpoint);
  slow_start_.on_attempt_sent(now, endpoint, work);
}

bool EndpointPool::on_attempt_ended(TimePoint now, Endpoint& endpoint, const AttemptReport& report) {
  concurrency_limit_.on_attempt_ended(now, report);
  picker_.clear_backoff();
  --endpoint.local_attempts;
  if (report.is_processed()) endpoint.awaiting_response_since = now;
  record_latency(now, endpoint, report);
  if (record_load(now, endpoint, report)) fleet_.endpoints_report_load = true;
  const bool is_ejected = outlier_ejection_.on_attempt_ended(now, endpoint, report);
  on_endpoint_changed(now, endpoint, report.class_mean_latency);
  return is_ejected;
}

void EndpointPool::on_period(TimePoint now) {
  slow_start_.on_period(now, picker_.endpoints());
  picker_.update_all_weights(now);
}

double EndpointPool::utilization(TimePoint now) { return concurrency_limit_.utilization(now); }

DecisionEngine::EndpointCounts EndpointPool::count(TimePoint now) const {
  DecisionEngine::EndpointCounts counts;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.is_listed()) continue;
    ++counts.listed;
    if (endpoint.disabled || endpoint.is_ejected(now)) ++counts.excluded;
  }
  return counts;
}

void EndpointPool::save_state(HotRestartState& state) {
  for (auto& [name, endpoint] : endpoints_) state.endpoints[name] = serialize_endpoint(endpoint);
}

void EndpointPool::restore_endpoint(const std::string& name, const HotRestartState::Values& values) {
  Endpoint& endpoint = find_or_create(name);
  if (deserialize_endpoint(endpoint, values)) outlier_ejection_.restore(endpoint);
}

}  // namespace quota_gateway::decision
