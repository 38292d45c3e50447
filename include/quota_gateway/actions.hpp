// The actions that the decision engine requests from its host. Plain data only.
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
  Duration timeout = 0;  // 0: no timeout before the client's deadline
};

// Cancels an attempt in flight. An AttemptEnded event still follows.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Sends the final response to a request that has had no effect.
struct RejectRequest {
  std::string id;
  Duration retry_after = 0;  // for the client to wait; 0: not stated
};

// Sends the final response to a request that may have had an effect.
struct FailRequest {
  std::string id;
};

// Requests a TimerFired event with this token at this time.
struct SetTimer {
  TimePoint at = 0;
  std::int64_t token = 0;
};

// Asks an endpoint for its health and load.
struct SendProbe {
  std::string endpoint;
};

// Adds `amount` to a counter that all gateways share; a CounterReply event follows. A new counter starts at 0
// and expires after `ttl`; later increments do not extend its life.
struct IncrementCounter {
  std::int64_t name = 0;
  double amount = 0;
  Duration ttl = 0;
};

// Subscribes to the endpoint list and its changes.
struct SubscribeToEndpoints {};

// Writes a line to the operators' log.
struct LogMessage {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendProbe,
                            IncrementCounter, SubscribeToEndpoints, LogMessage>;

}  // namespace quota_gateway
