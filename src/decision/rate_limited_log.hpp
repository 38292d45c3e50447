// Rate-limited log lines of the decision engine.
#pragma once

#include <map>
#include <string>

#include "decision/decision_context.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

constexpr Duration kLogInterval = 5'000'000;  // us; shortest time between two lines of one kind

// The kinds of log lines. Each kind has its own rate limit.
enum class LogKind {
  kSubscriptionFailed,
  kEndpointDisabled,
  kEndpointEnabled,
  kEndpointEjected,
  kCounterFailed,
  kRequestsQueued
};

class RateLimitedLog {
 public:
  explicit RateLimitedLog(DecisionContext& context) : context_(context) {}

  // Emits the line unless one of the same kind was emitted less than kLogInterval ago.
  void write(LogKind kind, const std::string& text);

 private:
  DecisionContext& context_;
  std::map<LogKind, TimePoint> last_written_at_;
};

}  // namespace quota_gateway::decision
