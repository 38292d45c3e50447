#include "decision/slow_attempt_check.hpp"

#include <cstddef>

#include "decision/retry_policy.hpp"

namespace quota_gateway::decision {

void SlowAttemptCheck::on_check_due(Request& request, int attempt_index) {
  Attempt& attempt = request.attempts[std::size_t(attempt_index)];
  if (!attempt.in_flight || attempt.cancelled_as_stalled || attempt.is_responding) return;
  if (is_repeatable(*request.request_class) && retry_budget_.has_token()) {
    if (context_.settings().allow_hedging) {
      hedge(request);
      return;
    }
    if (context_.settings().allow_cancel && is_endpoint_stalled(attempt)) {
      retry_budget_.consume_token();
      attempt.cancelled_as_stalled = true;
      context_.emit(CancelAttempt{request.id, attempt_index});
      return;
    }
  }
  dispatcher_.schedule_slow_check(request, attempt_index);
}

void SlowAttemptCheck::hedge(Request& request) {
  // Under overload, hedged attempts would take capacity from first attempts.
  if (request.attempts_in_flight != 1 || !dispatcher_.has_spare_capacity()) return;
  if (dispatcher_.send(request)) retry_budget_.consume_token();
}

// If the endpoint has responded to another attempt in the meantime, this one is a heavy request; otherwise
// the endpoint has stalled.
bool SlowAttemptCheck::is_endpoint_stalled(const Attempt& attempt) const {
  return attempt.endpoint->awaiting_response_since <= attempt.sent_at;
}

}  // namespace quota_gateway::decision
