// Handles attempts that take much longer than expected.
#pragma once

#include "decision/attempt_dispatcher.hpp"
#include "decision/decision_context.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_budget.hpp"

namespace quota_gateway::decision {

// Hedges a slow attempt if hedging is allowed; otherwise cancels it if its endpoint seems to have stalled.
// Either consumes a token of the retry budget. An attempt whose response is arriving is left alone.
class SlowAttemptCheck {
 public:
  SlowAttemptCheck(DecisionContext& context, AttemptDispatcher& dispatcher, RetryBudget& retry_budget)
      : context_(context), dispatcher_(dispatcher), retry_budget_(retry_budget) {}

  void on_check_due(Request& request, int attempt_index);

 private:
  void hedge(Request& request);
  [[nodiscard]] bool is_endpoint_stalled(const Attempt& attempt) const;

  DecisionContext& context_;
  AttemptDispatcher& dispatcher_;
  RetryBudget& retry_budget_;
};

}  // namespace quota_gateway::decision
