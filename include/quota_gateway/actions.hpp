// The actions that the decision engine asks for. Plain data only.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Sends the next attempt of a request to an endpoint. Attempts are numbered from 0 in this order.
struct SendAttempt {
  std::string id;
  std::string endpoint;
  Duration timeout = 0;  // 0: until the client's deadline
};

// Cancels an attempt in flight; its end is still reported.
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

// Asks for TimerFired with this token at this time.
struct SetTimer {
  TimePoint at = 0;
  std::int64_t token = 0;
};

// Asks an endpoint for its health and load.
struct SendProbe {
  std::string endpoint;
};

// Adds to a counter that all gateways share; a CounterReply follows. A new counter begins at 0 and expires
// after `ttl`; later increments do not extend it.
struct IncrementCounter {
  std::int64_t name = 0;
  double amount = 0;
  Duration ttl = 0;
};

// Asks for the endpoint list and its changes.
struct SubscribeToEndpoints {};

// A line for the operators' log.
struct LogMessage {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendProbe,
                            IncrementCounter, SubscribeToEndpoints, LogMessage>;

}  // namespace quota_gateway
