// The adaptive limit on this gateway's attempts in flight. Overloaded endpoints lose throughput, which delays
// responses further and makes congestion collapse likely. The limit therefore falls when the latency over all
// endpoints rises above the idle latency, the latency without load (additive increase, multiplicative
// decrease).
#pragma once

#include "decision/endpoints/endpoint.hpp"
#include "decision/latency_estimates.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Limits the mean number of attempts in flight. With more gateways than endpoints the limit can be below one.
// More attempts than the limit may therefore be in flight for a short time if capacity was left unused
// shortly before.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const FleetStatus& fleet) : settings_(settings), fleet_(fleet) {}

  // Records that an attempt has been sent. It uses capacity until on_attempt_ended() is called for it.
  void on_attempt_sent(TimePoint now);

  // Releases the capacity of an attempt and adapts the limit to its latency.
  void on_attempt_ended(TimePoint now, const AttemptReport& report);

  // Returns the mean number of attempts that may be in flight: at least this gateway's share of a fixed
  // number of attempts per endpoint.
  [[nodiscard]] double limit() const;

  // True if one more attempt may be sent.
  [[nodiscard]] bool has_capacity(TimePoint now);

  // Returns the fraction of the capacity that is in use, from 0 to 1.
  [[nodiscard]] double utilization(TimePoint now);

  // Visits the values that a hot restart passes on. The order must not change: they are restored by position.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    visit(adaptive_limit_);
    visit(smoothed_latency_);
    visit(slowly_smoothed_latency_);
    visit(idle_latency_);
    visit(sample_count_);
    visit(decreased_at_);
  }

 private:
  // Adds the capacity that was left unused since the last call, or subtracts what was used above the limit.
  void update_spare_capacity(TimePoint now);
  void add_latency_sample(const AttemptReport& report, double idle_latency);
  void adapt(TimePoint now, const AttemptReport& report, double idle_latency);
  [[nodiscard]] double estimated_idle_latency() const;

  const Settings& settings_;
  const FleetStatus& fleet_;
  int in_flight_ = 0;
  double spare_capacity_ = 1;  // attempt-seconds unused in the last second, from -limit() to limit()
  TimePoint spare_capacity_at_ = 0;

  double adaptive_limit_ = 0;
  TimePoint decreased_at_ = 0;
  // Latencies as multiples of the latency objective.
  double smoothed_latency_ = kIdleLatencyFraction;
  double slowly_smoothed_latency_ = 0;
  double idle_latency_ = 0;  // latency without load; 0: not known yet
  int sample_count_ = 0;
};

}  // namespace quota_gateway::decision
