#include "decision/endpoints/slow_start.hpp"

#include <algorithm>
#include <cstdint>

#include "decision/numeric.hpp"

namespace quota_gateway::decision {
namespace {

constexpr double kBudgetSafetyFactor = 0.7;             // of this gateway's share of an endpoint's budget
constexpr double kFullyStartedWorkRateSmoothing = 0.3;  // per period

// Requests from all gateways together that a starting endpoint can serve however small its budget is. This
// many gateways need not delay their first request to it.
constexpr double kToleratedRequests = 2;

constexpr double kMinWorkBudget = 1e-9;  // seconds; avoids a division by zero

}  // namespace

void SlowStart::on_endpoint_started(TimePoint now, Endpoint& endpoint, bool ran_before_gateway) const {
  if (endpoint.entry.started_at <= 0) {
    endpoint.slow_start_at = kNoSlowStart;
    return;
  }
  const Duration age = now + wall_offset_ - endpoint.entry.started_at;
  // A start time far in the future means that the wall clocks disagree.
  const bool is_reported_time_usable = ran_before_gateway && age >= -settings_.slow_start_duration;
  const TimePoint started_at = is_reported_time_usable ? now - age : now;
  endpoint.slow_start_at = std::max<TimePoint>(kNoSlowStart + 1, started_at);
}

// Returns the capacity fraction of an endpoint with a slow start. It rises linearly with time.
double SlowStart::ramp(TimePoint now, const Endpoint& endpoint) const {
  if (settings_.slow_start_duration <= 0) return 1;
  const double min_capacity = settings_.slow_start_min_capacity_fraction;
  const double progress = double(now - endpoint.slow_start_at) / double(settings_.slow_start_duration);
  return std::clamp(min_capacity + (1 - min_capacity) * progress, min_capacity, 1.0);
}

// Returns the work (seconds) that this gateway may send to the endpoint in one window.
double SlowStart::window_budget(TimePoint now, const Endpoint& endpoint) const {
  return kBudgetSafetyFactor * settings_.slow_start_overload_factor * capacity_fraction(now, endpoint) *
         fully_started_work_rate_ * endpoint.configured_weight() * double(settings_.slow_start_window) /
         kMicrosPerSecond;
}

// Returns how long this gateway delays its first diverted request to the endpoint, as a fraction of the
// interval between two of its requests. Without the delay, all gateways that divert to the endpoint would
// send at once and exceed its capacity. They take turns in an order that each of them computes.
double SlowStart::first_diverted_send_delay(const Endpoint& endpoint) const {
  const auto gateway_count = std::uint64_t(settings_.gateway_count);
  const std::uint64_t first_gateway = hash_text(endpoint.entry.endpoint) % gateway_count;
  const std::uint64_t position =
      (std::uint64_t(settings_.gateway_index) + gateway_count - first_gateway) % gateway_count;
  return std::max(0.0, double(position) + 1 - kToleratedRequests) / double(gateway_count);
}

bool SlowStart::has_budget(TimePoint now, Endpoint& endpoint, double work, bool diverted) const {
  if (capacity_fraction(now, endpoint) >= 1) return true;
  const double budget = window_budget(now, endpoint);
  // A request above the budget lengthens the window. Until the load of fully started endpoints has been
  // observed, the window is so long that all gateways together send one request per configured window.
  const double stretch =
      std::clamp(work / std::max(budget, kMinWorkBudget), 1.0, double(settings_.gateway_count));
  const double window = double(settings_.slow_start_window) * stretch;

  std::vector<SlowStartSend>& sends = endpoint.slow_start_sends;
  const auto is_recent = [&](const SlowStartSend& send) { return double(now - send.sent_at) < window; };
  sends.erase(sends.begin(), std::find_if(sends.begin(), sends.end(), is_recent));
  if (sends.empty()) {
    if (work <= budget || !diverted) return true;
    return double(now - endpoint.slow_start_at) >= window * first_diverted_send_delay(endpoint);
  }
  double spent = 0;
  for (const SlowStartSend& send : sends) spent += send.work;
  return spent + work <= budget;
}

void SlowStart::on_attempt_sent(TimePoint now, Endpoint& endpoint, double work) const {
  endpoint.work_sent += work;
  if (capacity_fraction(now, endpoint) < 1) endpoint.slow_start_sends.push_back({now, work});
}

void SlowStart::on_period(TimePoint now, const std::vector<Endpoint*>& endpoints) {
  double work = 0;
  double weight = 0;
  for (Endpoint* endpoint : endpoints) {
    if (endpoint->is_in_rotation(now) && capacity_fraction(now, *endpoint) >= 1) {
      work += endpoint->work_sent;
      weight += endpoint->configured_weight();
    }
    endpoint->work_sent = 0;
  }
  if (weight <= 0) return;
  const double work_rate = work / weight / (kMaintenancePeriod / kMicrosPerSecond);
  fully_started_work_rate_ += kFullyStartedWorkRateSmoothing * (work_rate - fully_started_work_rate_);
}

}  // namespace quota_gateway::decision
