#include "decision/rejection_log.hpp"

#include <string>

#include "decision/rate_limited_log.hpp"

namespace quota_gateway::decision {
namespace {

const char* describe(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kSlice:
      return "quota slice";
    case RejectionReason::kConcurrencyCap:
      return "concurrency cap";
    case RejectionReason::kHardLimit:
      return "hard limit";
    case RejectionReason::kNoCapacity:
      return "no endpoint capacity";
    case RejectionReason::kAttemptsExhausted:
      return "attempts exhausted";
    case RejectionReason::kRepeatedRequest:
      return "repeated request";
    case RejectionReason::kCustomerLimit:
      return "customer limit";
  }
  return "unknown";
}

}  // namespace

void RejectionLog::report_if_due() {
  if (counts_.empty() || context_.now() - reported_at_ < kLogInterval) return;
  std::string text = "admission: requests rejected or failed by reason:";
  const char* separator = " ";
  for (const auto& [reason, count] : counts_) {
    text.append(separator).append(describe(reason)).append(" ").append(std::to_string(count));
    separator = ", ";
  }
  context_.emit(LogMessage{text});
  counts_.clear();
  reported_at_ = context_.now();
}

}  // namespace quota_gateway::decision
