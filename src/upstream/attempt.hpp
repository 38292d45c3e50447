// Identifies one attempt of a request and describes how it ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

// Identifies one attempt by the ID of its request and its index, from 0, among the attempts of that request.
struct AttemptKey {
  std::uint64_t request_id = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

// Hashes attempt keys for unordered containers.
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const;
};

// How an attempt ended, and what the endpoint returned and reported.
struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  LoadReport load;
  std::string body;         // the buffered body of a successful response
  double billed_units = 0;  // charged by the endpoint; 0 if not reported
};

// Returns the result of an attempt that ended without a usable response.
AttemptResult result_without_response(Outcome outcome);

}  // namespace quota_gateway::net
