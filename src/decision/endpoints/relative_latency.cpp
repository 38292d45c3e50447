#include "decision/endpoints/relative_latency.hpp"

#include <algorithm>

#include "decision/endpoints/attempt_report.hpp"
#include "decision/latency_estimates.hpp"
#include "decision/numeric.hpp"

namespace quota_gateway::decision {
namespace {

// Time constant of the latency samples. Their decay gradually gives a slow endpoint requests again.
constexpr Duration kLatencyTimeConstant = 4'000'000;  // us

// An endpoint without a response for this many mean latencies counts as slower than average.
constexpr double kUnresponsiveMeanLatencies = 3;

// The latency ratio recorded for an error, because its request has to be sent again. An endpoint that fails
// all requests responds fastest, and its actual latency would attract the whole load.
constexpr double kErrorLatencyRatio = 10;

}  // namespace

void record_latency(TimePoint now, Endpoint& endpoint, const AttemptReport& report) {
  const bool is_error = report.outcome == Outcome::kError;
  if (!is_error && !report.has_load_dependent_latency()) return;
  const double decay = endpoint.latency_ratio_weight > 0
                           ? exponential_decay(now - endpoint.latency_sampled_at, kLatencyTimeConstant)
                           : 0;
  const double ratio = is_error ? kErrorLatencyRatio : report.expected_latency_ratio;
  endpoint.latency_ratio_sum = endpoint.latency_ratio_sum * decay + ratio;
  endpoint.latency_ratio_weight = endpoint.latency_ratio_weight * decay + 1;
  endpoint.latency_sampled_at = now;
}

double relative_latency(TimePoint now, const Endpoint& endpoint, double mean_latency) {
  double ratio = 1;
  if (endpoint.latency_ratio_weight > 0) {
    const double decay = exponential_decay(now - endpoint.latency_sampled_at, kLatencyTimeConstant);
    ratio = (endpoint.latency_ratio_sum * decay + kPriorSamples) /
            (endpoint.latency_ratio_weight * decay + kPriorSamples);
  }
  if (endpoint.local_attempts == 0 || mean_latency <= 0) return ratio;
  return std::max(
      ratio, double(now - endpoint.awaiting_response_since) / (kUnresponsiveMeanLatencies * mean_latency));
}

}  // namespace quota_gateway::decision
