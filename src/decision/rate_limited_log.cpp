#include "decision/rate_limited_log.hpp"

namespace quota_gateway::decision {

void RateLimitedLog::write(LogKind kind, const std::string& text) {
  const auto [entry, is_first] = last_written_at_.try_emplace(kind, context_.now());
  if (!is_first && context_.now() - entry->second < kLogInterval) return;
  entry->second = context_.now();
  context_.emit(LogMessage{text});
}

}  // namespace quota_gateway::decision
