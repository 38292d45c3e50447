// The state that a gateway keeps for one endpoint and for all endpoints together.
#pragma once

#include <cstddef>
#include <vector>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

// The value of Endpoint::slow_start_at for an endpoint without a slow start.
constexpr TimePoint kNoSlowStart = 0;

// One attempt sent to an endpoint during its slow start.
struct SlowStartSend {
  TimePoint sent_at = 0;
  double work = 0;  // seconds
};

// The state of one endpoint. Each group of fields is written by the module named above it.
struct Endpoint {
  // The endpoint counts as removed until an endpoint list names it.
  Endpoint() { entry.state = EndpointState::kRemoved; }

  // EndpointPool: the endpoint list and the administrative state.
  EndpointEntry entry;             // as last listed; removed if the last complete list lacked it
  bool was_listed = false;         // an endpoint list has named it
  bool disabled = false;           // by an operator
  TimePoint admin_changed_at = 0;  // when an operator last disabled or enabled it
  TimePoint restarted_at = 0;      // when a list announced its last restart; 0: started before this gateway
  bool counted_available = false;  // counted in FleetStatus::available
  int local_attempts = 0;          // in flight from this gateway
  // Time of the last response, or of the first attempt sent to the idle endpoint, whichever is later.
  TimePoint awaiting_response_since = 0;

  // EndpointPicker.
  std::size_t sampler_slot = 0;

  // Slow start.
  TimePoint slow_start_at = kNoSlowStart;       // when the slow start began
  std::vector<SlowStartSend> slow_start_sends;  // those within the slow start window, oldest first
  double work_sent = 0;                         // seconds of work sent in the current period

  // Relative latency: exponentially decaying sums over attempts.
  double latency_ratio_sum = 0;  // of latencies, each as a multiple of the expected latency
  double latency_ratio_weight = 0;
  TimePoint latency_sampled_at = 0;

  // Endpoint cost.
  double peer_attempts = 0;  // from other gateways, as last reported by the endpoint
  TimePoint load_reported_at = 0;
  int idle_connections = 0;  // connections left open by successful attempts
  TimePoint connection_idle_at = 0;

  // Outlier ejection.
  int consecutive_failures = 0;
  TimePoint ejected_until = 0;
  bool half_open = false;  // from an ejection until the next success: at most one attempt in flight

  [[nodiscard]] bool is_listed() const { return entry.state != EndpointState::kRemoved; }

  // True if the endpoint is up and not disabled. It may still be ejected.
  [[nodiscard]] bool is_available() const { return entry.state == EndpointState::kUp && !disabled; }
  [[nodiscard]] bool is_ejected(TimePoint now) const { return ejected_until > now; }

  // True if the endpoint may receive requests.
  [[nodiscard]] bool is_in_rotation(TimePoint now) const { return is_available() && !is_ejected(now); }

  // Returns the weight from the endpoint list, or 1 if the list gives none.
  [[nodiscard]] double configured_weight() const { return entry.weight > 0 ? entry.weight : 1; }

  // Resets what was observed of an endpoint process that no longer runs.
  void reset_observations();

  // Visits the fields that a hot restart passes on. The order must not change: the state carries no field
  // names, so a successor from another build would assign the values to the wrong fields.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    visit(admin_changed_at);
    visit(restarted_at);
    visit(slow_start_at);
    visit(awaiting_response_since);
    visit(latency_ratio_sum);
    visit(latency_ratio_weight);
    visit(latency_sampled_at);
    visit(consecutive_failures);
    visit(ejected_until);
    visit(half_open);
    visit(work_sent);
  }
};

// Totals over all endpoints.
struct FleetStatus {
  int available = 0;
  int ejected = 0;                     // available endpoints that are ejected, as of the last pick
  bool endpoints_report_load = false;  // including attempts from other gateways

  // Returns the number of endpoints that may receive requests.
  [[nodiscard]] int in_rotation() const { return available - ejected; }
};

// Returns the endpoint's values for a hot restart: the visited fields, then two values for each slow-start
// send.
HotRestartState::Values serialize_endpoint(Endpoint& endpoint);

// Restores the endpoint from values that `serialize_endpoint` returned. Returns false and changes nothing if
// their number does not fit, because another build wrote them.
bool deserialize_endpoint(Endpoint& endpoint, const HotRestartState::Values& values);

}  // namespace quota_gateway::decision
