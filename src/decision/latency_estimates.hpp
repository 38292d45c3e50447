// Prior assumptions about latency, which apply until enough responses have been observed.
#pragma once

namespace quota_gateway::decision {

// Weight of the prior in each latency estimate, in responses. It keeps the first few responses from
// dominating the estimate.
constexpr double kPriorSamples = 8;

// The prior mean latency of a request class, as a fraction of its latency objective.
constexpr double kIdleLatencyFraction = 1.0 / 6;

}  // namespace quota_gateway::decision
