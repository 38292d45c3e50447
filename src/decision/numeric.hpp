// Time conversion, exponential decay and constants that several decision modules share. Includes the hashes
// and the random numbers, which they use together with these.
#pragma once

#include <cmath>

#include "decision/hash.hpp"
#include "decision/random.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

constexpr double kMicrosPerSecond = 1e6;

// Interval of the periodic work: re-splitting quotas, dropping idle state, updating endpoint speeds.
constexpr Duration kMaintenancePeriod = 1'000'000;  // us

// With at least this many gateways (in all, or in a customer's set), each sees little of the whole load.
constexpr int kManyGateways = 8;

inline double to_seconds(Duration span) { return static_cast<double>(span) / kMicrosPerSecond; }

// The part of a value that is left after `age` if 1/e of it is left after `time_constant`.
inline double exponential_decay(Duration age, Duration time_constant) {
  return std::exp(-static_cast<double>(age) / static_cast<double>(time_constant));
}

}  // namespace quota_gateway::decision
