// What the decision engine wants done. Plain data only.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

struct SendAttempt {
  std::string id;
  std::string endpoint;
  Duration timeout = 0;  // 0: until the client's deadline
};

struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// The final response to a request that has had no effect.
struct RejectRequest {
  std::string id;
  Duration retry_after = 0;  // 0: none
};

// The final response to a request that may have had an effect.
struct FailRequest {
  std::string id;
};

struct SetTimer {
  TimePoint at = 0;
  std::int64_t token = 0;
};

struct SendProbe {
  std::string endpoint;
};

struct IncrementCounter {
  std::int64_t name = 0;
  double amount = 0;
  Duration ttl = 0;
};

struct SubscribeEndpoints {};

struct LogMessage {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendProbe,
                            IncrementCounter, SubscribeEndpoints, LogMessage>;

}  // namespace quota_gateway
