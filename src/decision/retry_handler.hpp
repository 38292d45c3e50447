// Decides what happens after an attempt has ended without a final response.
#pragma once

#include "decision/admission_queue.hpp"
#include "decision/attempt_dispatcher.hpp"
#include "decision/decision_context.hpp"
#include "decision/request_completion.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_budget.hpp"

namespace quota_gateway::decision {

// Retries requests within the retry budget and the rules of retry_policy.hpp.
class RetryHandler {
 public:
  RetryHandler(DecisionContext& context, AttemptDispatcher& dispatcher, AdmissionQueue& queue,
               RequestCompletion& completion, RetryBudget& retry_budget);

  // Retries, queues, rejects or fails a request whose attempts have all ended. `is_replayable` says whether
  // the request body is still buffered.
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
