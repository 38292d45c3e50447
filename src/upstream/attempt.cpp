// Attempt keys and results.
#include "upstream/attempt.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::uint64_t kAttemptsPerRequest = 8;  // spreads the hashes; more attempts merely collide

}  // namespace

std::size_t AttemptKeyHash::operator()(const AttemptKey& key) const {
  return key.request_id * kAttemptsPerRequest + static_cast<unsigned>(key.attempt);
}

AttemptResult result_without_response(Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  return result;
}

}  // namespace quota_gateway::net
