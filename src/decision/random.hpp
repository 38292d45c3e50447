// Pseudo-random numbers for the decision engine.
#pragma once

#include <cstdint>

#include "decision/hash.hpp"

namespace quota_gateway::decision {

// A generator whose sequence depends only on the seed, so that a recorded run can be replayed exactly.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Returns the next number, uniformly distributed in [0, 1).
  double uniform() {
    state_ = mix_bits(state_);
    return to_unit_interval(state_);
  }

 private:
  std::uint64_t state_;
};

}  // namespace quota_gateway::decision
