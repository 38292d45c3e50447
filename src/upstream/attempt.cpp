// Attempt keys and results.
#include "upstream/attempt.hpp"

namespace quota_gateway::net {
namespace {

// The number of attempts of a request that get hashes of their own; later ones only cause collisions.
constexpr std::uint64_t kHashesPerRequest = 8;

}  // namespace

std::size_t AttemptKeyHash::operator()(const AttemptKey& key) const {
  return key.request_id * kHashesPerRequest + static_cast<unsigned>(key.attempt);
}

AttemptResult result_without_response(Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  return result;
}

}  // namespace quota_gateway::net
