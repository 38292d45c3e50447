// Slow start: an endpoint that has just started serves at reduced capacity and fails for good if it is sent
// too much. Its share of the requests and a budget for this gateway follow its growing capacity.
#pragma once

#include <vector>

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

// The slow start rules of one gateway, and the load of fully started endpoints to compare with.
class SlowStart {
 public:
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // The wall clock, by which endpoints report their starts, is `offset` ahead of the time of events.
  void set_wall_offset(Duration offset) { wall_offset_ = offset; }

  // Starts the slow start of an endpoint whose list entry has a new start time. One that ran before this
  // gateway is dated by its entry. A start that is announced while this gateway runs is dated now, because
  // either wall clock may have been stepped since.
  void on_endpoint_started(TimePoint now, Endpoint& endpoint, bool ran_before_gateway) const;

  // Returns the least part of its full capacity that the endpoint can have by now, up to 1.
  [[nodiscard]] double factor(TimePoint now, const Endpoint& endpoint) const {
    return endpoint.slow_start_at == kNoSlowStart ? 1 : ramp(now, endpoint);
  }

  // True if the endpoint may get `work` (seconds) now. Sends over any window stay within this gateway's part
  // of the endpoint's capacity; the load that this gateway sends to a fully started peer tells that part.
  // `diverted` marks an attempt that comes only because another endpoint could not take it. Drops the sends
  // of the endpoint that are older than the window.
  [[nodiscard]] bool has_budget(TimePoint now, Endpoint& endpoint, double work, bool diverted) const;

  // Records work sent to the endpoint, for its budget and for the load of fully started endpoints.
  void on_attempt_sent(TimePoint now, Endpoint& endpoint, double work) const;

  // Once a period: measures the load of fully started endpoints.
  void on_period(TimePoint now, const std::vector<Endpoint*>& endpoints);

  // Visits the values that a hot restart passes on; the order may not change.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    visit(peer_work_rate_);
  }

 private:
  [[nodiscard]] double ramp(TimePoint now, const Endpoint& endpoint) const;
  [[nodiscard]] double window_budget(TimePoint now, const Endpoint& endpoint) const;
  [[nodiscard]] double first_diverted_send_delay(const Endpoint& endpoint) const;

  const Settings& settings_;
  Duration wall_offset_ = 0;
  double peer_work_rate_ = 0;  // seconds of work a second to a fully started endpoint of weight 1
};

}  // namespace quota_gateway::decision
