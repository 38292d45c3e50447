// Identifies one attempt of a request and describes how it ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

// Names one attempt: the request's identifier and the attempt's position among those of the request.
struct AttemptKey {
  std::uint64_t request_id = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

// Hashes attempt keys for unordered containers.
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const;
};

// What an attempt yielded.
struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  LoadReport load;
  std::string body;         // of a successful response that was buffered
  double billed_units = 0;  // the units that the endpoint charged; 0: not reported
};

// The result of an attempt that ended without a usable response.
AttemptResult result_without_response(Outcome outcome);

}  // namespace quota_gateway::net
