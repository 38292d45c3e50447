// Log lines of the decision engine, with a bound on their rate.
#pragma once

#include <map>
#include <string>

#include "decision/decision_context.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

constexpr Duration kLogInterval = 5'000'000;  // us between two lines of one kind

// Each kind of log line has a rate limit of its own.
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

  // Emits the line unless one of the same kind was emitted within kLogInterval.
  void write(LogKind kind, const std::string& text);

 private:
  DecisionContext& context_;
  std::map<LogKind, TimePoint> last_written_at_;
};

}  // namespace quota_gateway::decision
