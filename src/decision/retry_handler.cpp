#include "decision/retry_handler.hpp"

namespace quota_gateway::decision {

RetryHandler::RetryHandler(DecisionContext& context, AttemptDispatcher& dispatcher, AdmissionQueue& queue,
                           RequestCompletion& completion, RetryBudget& retry_budget)
    : context_(context),
      dispatcher_(dispatcher),
      queue_(queue),
      completion_(completion),
      retry_budget_(retry_budget) {}

void RetryHandler::retry_or_complete(Request& request, const Attempt& last_attempt, bool is_replayable) {
  // Sending another attempt invalidates `last_attempt`.
  const bool never_executed = !last_attempt.may_have_executed;
  // The retry of an attempt that was not executed repeats no work, and a stalled attempt consumed its token
  // when it was cancelled.
  const bool is_free = never_executed || last_attempt.cancelled_as_stalled;
  const bool may_retry = is_replayable && (is_free || retry_budget_.has_token());
  if (may_retry && dispatcher_.send(request)) {
    if (!is_free) retry_budget_.consume_token();
    return;
  }
  if (may_retry && never_executed && has_attempts_left(request))
    queue_.enqueue(request);
  else
    completion_.reject_or_fail(request);
}

bool RetryHandler::has_attempts_left(const Request& request) const {
  return int(request.attempts.size()) < context_.settings().max_attempts;
}

}  // namespace quota_gateway::decision
