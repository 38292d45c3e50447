// The pseudo-random numbers of the decision engine.
#pragma once

#include <cstdint>

#include "decision/hash.hpp"

namespace quota_gateway::decision {

// A generator whose sequence depends on the seed alone, so that a recorded run can be repeated exactly.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // The next number, uniform in [0, 1).
  double uniform() {
    state_ = mix_bits(state_);
    return unit_interval(state_);
  }

 private:
  std::uint64_t state_;
};

}  // namespace quota_gateway::decision
