// Time conversion, exponential decay and constants that several decision modules share. Also includes the
// hashes and random numbers, which the same modules use.
#pragma once

#include <cmath>

#include "decision/hash.hpp"
#include "decision/random.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

constexpr double kMicrosPerSecond = 1e6;

// Interval of periodic work: synchronizing quotas, dropping idle customers, updating endpoint weights.
constexpr Duration kMaintenancePeriod = 1'000'000;  // us

// With at least this many gateways, in total or in a customer's set, each sees a small share of the load.
constexpr int kManyGateways = 8;

inline double to_seconds(Duration duration) { return static_cast<double>(duration) / kMicrosPerSecond; }

// Returns the fraction of a value that is left after `age` if 1/e of it is left after `time_constant`.
inline double exponential_decay(Duration age, Duration time_constant) {
  return std::exp(-static_cast<double>(age) / static_cast<double>(time_constant));
}

}  // namespace quota_gateway::decision
