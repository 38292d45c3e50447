#include "decision/retry_budget.hpp"

#include <algorithm>

namespace quota_gateway::decision {

void RetryBudget::on_first_attempt() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt); }

}  // namespace quota_gateway::decision
