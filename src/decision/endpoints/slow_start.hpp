// Slow start: an endpoint that has just started has reduced capacity and fails permanently if it is sent too
// much. Its share of the requests and this gateway's budget for it grow with its capacity.
#pragma once

#include <vector>

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

// The slow start rules of one gateway, with the load of fully started endpoints that sets the budgets.
class SlowStart {
 public:
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // Sets how far (us) the wall clock, by which endpoints report start times, is ahead of the event time.
  void set_wall_offset(Duration offset) { wall_offset_ = offset; }

  // Begins the slow start of an endpoint whose list entry has a new start time. If the endpoint was running
  // before this gateway started, its slow start begins at the listed time. A start that is announced while
  // this gateway runs counts from now, because either wall clock may have been stepped since.
  void on_endpoint_started(TimePoint now, Endpoint& endpoint, bool ran_before_gateway) const;

  // Returns the minimum fraction of its full capacity that the endpoint has by now, at most 1.
  [[nodiscard]] double capacity_fraction(TimePoint now, const Endpoint& endpoint) const {
    return endpoint.slow_start_at == kNoSlowStart ? 1 : ramp(now, endpoint);
  }

  // True if the endpoint may receive `work` (seconds) now. The work sent in any window stays within this
  // gateway's share of the endpoint's capacity, which is derived from the load that this gateway sends to a
  // fully started endpoint. `diverted` marks an attempt that is sent here only because another endpoint could
  // not take it. Removes the sends of the endpoint that are older than the window.
  [[nodiscard]] bool has_budget(TimePoint now, Endpoint& endpoint, double work, bool diverted) const;

  // Records work sent to the endpoint, for its budget and for the load of fully started endpoints.
  void on_attempt_sent(TimePoint now, Endpoint& endpoint, double work) const;

  // Called once per period: measures the load of fully started endpoints.
  void on_period(TimePoint now, const std::vector<Endpoint*>& endpoints);

  // Visits the values that a hot restart passes on. The order must not change: they are restored by position.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    visit(fully_started_work_rate_);
  }

 private:
  [[nodiscard]] double ramp(TimePoint now, const Endpoint& endpoint) const;
  [[nodiscard]] double window_budget(TimePoint now, const Endpoint& endpoint) const;
  [[nodiscard]] double first_diverted_send_delay(const Endpoint& endpoint) const;

  const Settings& settings_;
  Duration wall_offset_ = 0;
  // Seconds of work sent per second to a fully started endpoint of weight 1.
  double fully_started_work_rate_ = 0;
};

}  // namespace quota_gateway::decision
