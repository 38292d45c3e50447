// Deterministic pseudo-random numbers, hashes and exponential fading, shared by the decision modules.
#pragma once

#include <cmath>
#include <cstdint>
#include <string>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

constexpr double kMicrosPerSecond = 1e6;  // microseconds
constexpr Micros kPeriod = 1'000'000;     // us; the design's "about a second" between re-splits
// Gateways, or those of a customer's set, from which on each sees little of the whole load.
constexpr int kManyGateways = 8;

// A bijective scrambler of 64 bits (splitmix64).
inline std::uint64_t mix_bits(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// The same on every gateway (FNV-1a, scrambled).
inline std::uint64_t hash_text(const std::string& text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char ch : text) h = (h ^ ch) * 0x100000001b3ULL;
  return mix_bits(h);
}

// The upper bits of a hash as a number from 0 up to, and without, 1.
inline double unit_interval(std::uint64_t hash) { return double(hash >> 11) * 0x1p-53; }

// A sequence of numbers that is the same for the same seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  // From 0 up to, and without, 1.
  double uniform() { return unit_interval(state_ = mix_bits(state_)); }

 private:
  std::uint64_t state_;
};

// What is left of a value after `age`, where `memory` leaves 1/e of it.
inline double exponential_decay(Micros age, Micros time_constant) {
  return std::exp(-double(age) / double(time_constant));
}

}  // namespace quota_gateway::decision
