// Hashes that are the same on every gateway and in every build, unlike std::hash.
#pragma once

#include <cstdint>
#include <string_view>

namespace quota_gateway::decision {

// The finalizer of splitmix64: a bijection that spreads every input bit over all output bits.
inline std::uint64_t mix_bits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// FNV-1a followed by `mix_bits`, since the upper bits of FNV-1a alone vary too little for short texts.
inline std::uint64_t hash_text(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  return mix_bits(hash);
}

// Maps the upper 53 bits of a hash to [0, 1).
inline double to_unit_interval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1p-53; }

}  // namespace quota_gateway::decision
