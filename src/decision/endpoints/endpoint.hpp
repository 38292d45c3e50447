// The state that a gateway keeps of one endpoint, and of the fleet of endpoints as a whole.
#pragma once

#include <cstddef>
#include <vector>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

// The value of Endpoint::slow_start_at for an endpoint that has no slow start.
constexpr TimePoint kNoSlowStart = 0;

// One attempt sent to an endpoint during its slow start.
struct SlowStartSend {
  TimePoint sent_at = 0;
  double work = 0;  // seconds
};

// The state of one endpoint. Each group of fields is written by the module that is named above it.
struct Endpoint {
  // An endpoint is not listed until an endpoint list names it.
  Endpoint() { entry.state = EndpointState::kRemoved; }

  // EndpointPool: the endpoint list and the operators' decisions.
  EndpointEntry entry;             // as last announced; removed if the last complete list lacked it
  bool was_listed = false;         // some endpoint list has named it
  bool disabled = false;           // by an operator
  TimePoint admin_changed_at = 0;  // when an operator last disabled or enabled it
  TimePoint restarted_at = 0;      // when its last restart was announced; 0: started before this gateway
  bool counted_available = false;  // included in FleetStatus::available
  int local_attempts = 0;          // attempts of this gateway in flight at the endpoint
  TimePoint awaiting_response_since =
      0;  // last response, or first send to the idle endpoint, whichever is later

  // EndpointPicker.
  std::size_t sampler_slot = 0;  // in the sampler

  // Slow start.
  TimePoint slow_start_at = kNoSlowStart;       // when the slow start began
  std::vector<SlowStartSend> slow_start_sends;  // within the slow start window, oldest first
  double work_sent = 0;                         // seconds of work sent in the current period

  // Relative latency: exponentially decaying sums over responses.
  double latency_ratio_sum = 0;  // latency as a multiple of the expected latency
  double latency_ratio_weight = 0;
  TimePoint latency_sampled_at = 0;

  // Endpoint cost.
  double peer_attempts = 0;  // attempts of other gateways at the endpoint, as last reported by it
  TimePoint load_reported_at = 0;
  int idle_connections = 0;  // connections that successful attempts left open
  TimePoint connection_idle_at = 0;

  // Outlier ejection.
  int consecutive_failures = 0;
  TimePoint ejected_until = 0;
  bool half_open = false;  // from an ejection until the next success; limits it to one attempt at a time

  [[nodiscard]] bool is_listed() const { return entry.state != EndpointState::kRemoved; }

  // True if the endpoint may get requests, apart from ejection.
  [[nodiscard]] bool is_available() const { return entry.state == EndpointState::kUp && !disabled; }
  [[nodiscard]] bool is_ejected(TimePoint now) const { return ejected_until > now; }
  [[nodiscard]] bool is_in_rotation(TimePoint now) const { return is_available() && !is_ejected(now); }

  // The weight in the endpoint list, or 1 if the list gives none.
  [[nodiscard]] double configured_weight() const { return entry.weight > 0 ? entry.weight : 1; }

  // Drops what was observed of a process that no longer runs.
  void reset_observations();

  // Visits the values that a hot restart passes on. The order may not change: the state carries no names, and
  // a successor from another build would assign the values to the wrong fields.
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
  int ejected = 0;                     // of the available ones, as of the last pick
  bool endpoints_report_load = false;  // endpoints report the attempts of all gateways

  [[nodiscard]] int in_rotation() const { return available - ejected; }
};

// Returns the endpoint's values for a hot restart: the visited fields, then two values for each slow start
// send.
HotRestartState::Values serialize_endpoint(Endpoint& endpoint);

// Restores the endpoint from such values. Values of another length come from another build and are ignored;
// the result is false then.
bool deserialize_endpoint(Endpoint& endpoint, const HotRestartState::Values& values);

}  // namespace quota_gateway::decision
