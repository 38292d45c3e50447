#include "decision/endpoints/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

#include "decision/endpoints/attempt_report.hpp"
#include "decision/numeric.hpp"

namespace quota_gateway::decision {
namespace {

constexpr double kMinAttemptsPerEndpoint = 2;  // from all gateways together; also the initial value
constexpr double kBurstDeviations = 2;         // standard deviations above the limit for a burst

// Adaptation of the limit.
// The fleet counts as overloaded while its latency is above this multiple of the idle latency.
constexpr double kCongestionLatencyRatio = 1.6;
constexpr double kMaxLatencySampleRatio = 4;       // bound of one sample, as a multiple of the idle latency
constexpr double kDecreaseFactor = 0.85;           // applied at most once per mean latency
constexpr double kIncreaseStep = 0.04;             // attempts; added per response while the limit binds
constexpr double kIncreaseMaxSpareFraction = 0.5;  // of the limit; it binds while less capacity is spare

// Smoothing factors per response.
constexpr double kLatencySmoothing = 1.0 / 30;
constexpr double kSlowLatencySmoothing = 1.0 / 150;         // so slow that a minimum is not random variation
constexpr double kIdleLatencyRiseSmoothing = 1.0 / 40'000;  // limits how fast the estimate rises

}  // namespace

double ConcurrencyLimit::limit() const {
  const double fleet_minimum = kMinAttemptsPerEndpoint * std::max(fleet_.in_rotation(), 1);
  return std::max(adaptive_limit_, fleet_minimum / settings_.gateway_count);
}

double ConcurrencyLimit::utilization(TimePoint now) {
  update_spare_capacity(now);
  return 0.5 - 0.5 * spare_capacity_ / limit();
}

bool ConcurrencyLimit::has_capacity(TimePoint now) {
  update_spare_capacity(now);
  return spare_capacity_ > 0 && in_flight_ < 1 + limit() + kBurstDeviations * std::sqrt(limit());
}

void ConcurrencyLimit::on_attempt_sent(TimePoint now) {
  update_spare_capacity(now);
  ++in_flight_;
}

void ConcurrencyLimit::on_attempt_ended(TimePoint now, const AttemptReport& report) {
  update_spare_capacity(now);
  --in_flight_;
  const double idle_latency = estimated_idle_latency();
  if (report.has_load_dependent_latency()) add_latency_sample(report, idle_latency);
  adapt(now, report, idle_latency);
}

void ConcurrencyLimit::update_spare_capacity(TimePoint now) {
  const double unused = (limit() - in_flight_) * double(now - spare_capacity_at_) / kMicrosPerSecond;
  spare_capacity_ = std::clamp(spare_capacity_ + unused, -limit(), limit());
  spare_capacity_at_ = now;
}

// Until enough responses have been received, the estimate is a fraction of the latency objective. Without it,
// one of many gateways would raise its limit for seconds, however slow the responses are.
double ConcurrencyLimit::estimated_idle_latency() const {
  return idle_latency_ > 0 ? idle_latency_ : kIdleLatencyFraction;
}

void ConcurrencyLimit::add_latency_sample(const AttemptReport& report, double idle_latency) {
  // The bound keeps a few attempts that are lost or far more expensive than others from making the fleet
  // appear overloaded.
  const double sample = std::min(report.objective_latency_ratio, kMaxLatencySampleRatio * idle_latency);
  smoothed_latency_ += kLatencySmoothing * (sample - smoothed_latency_);
  ++sample_count_;
  const double slow_smoothing = std::max(kSlowLatencySmoothing, 1.0 / sample_count_);
  slowly_smoothed_latency_ += slow_smoothing * (sample - slowly_smoothed_latency_);

  // The first responses are the fastest; an idle latency estimated from these alone would be too low.
  if (sample_count_ <= 1 / kSlowLatencySmoothing) return;
  if (idle_latency_ <= 0) {
    idle_latency_ = slowly_smoothed_latency_;
  } else {
    const double raised_estimate =
        idle_latency_ + kIdleLatencyRiseSmoothing * (slowly_smoothed_latency_ - idle_latency_);
    idle_latency_ = std::min(slowly_smoothed_latency_, raised_estimate);
  }
}

void ConcurrencyLimit::adapt(TimePoint now, const AttemptReport& report, double idle_latency) {
  // An overload response concerns one endpoint, or the limit of one plan there, and not the fleet.
  if (report.outcome == Outcome::kOverloaded) return;
  if (smoothed_latency_ <= kCongestionLatencyRatio * idle_latency) {
    const bool limit_binds = spare_capacity_ < kIncreaseMaxSpareFraction * limit();
    if (report.has_load_dependent_latency() && limit_binds) adaptive_limit_ = limit() + kIncreaseStep;
  } else if (double(now - decreased_at_) > report.class_mean_latency) {
    adaptive_limit_ = limit() * kDecreaseFactor;
    decreased_at_ = now;
  }
}

}  // namespace quota_gateway::decision
