// Decides what follows the end of an attempt without a final response.
#pragma once

#include "decision/admission_queue.hpp"
#include "decision/attempt_dispatcher.hpp"
#include "decision/decision_context.hpp"
#include "decision/request_completion.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_budget.hpp"

namespace quota_gateway::decision {

// Within the retry budget, and by the rules of retry_policy.
class RetryHandler {
 public:
  RetryHandler(DecisionContext& context, AttemptDispatcher& dispatcher, AdmissionQueue& queue,
               RequestCompletion& completion, RetryBudget& retry_budget);

  // Retries a request whose attempts have all ended, queues it, or gives its final response.
  // `is_replayable`: the request's body is still buffered.
  void retry_or_complete(Request& request, const Attempt& last_attempt, bool is_replayable);

 private:
  [[nodiscard]] bool has_attempts_left(const Request& request) const;

  DecisionContext& context_;
  AttemptDispatcher& dispatcher_;
  AdmissionQueue& queue_;
  RequestCompletion& completion_;
  RetryBudget& retry_budget_;
};

}  // namespace quota_gateway::decision
