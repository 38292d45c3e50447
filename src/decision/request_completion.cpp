#include "decision/request_completion.hpp"

#include <cstddef>

#include "decision/retry_policy.hpp"

namespace quota_gateway::decision {

void RequestCompletion::reject(Request& request, Duration retry_after) {
  context_.emit(RejectRequest{request.id, retry_after});
  finish(request);
}

void RequestCompletion::reject_or_fail(Request& request) {
  if (request.is_finished()) return;
  rejections_.count(request.attempts.empty() ? RejectionReason::kNoCapacity
                                             : RejectionReason::kAttemptsExhausted);
  if (is_rejection_safe(request)) {
    const auto retry_after = Duration(latencies_.mean_latency(*request.request_class));
    context_.emit(RejectRequest{request.id, retry_after});
  } else {
    context_.emit(FailRequest{request.id});
  }
  finish(request);
}

void RequestCompletion::finish(Request& request) {
  request.state = RequestState::kFinished;
  for (int i = 0; i < int(request.attempts.size()); ++i) cancel_attempt_if_in_flight(request, i);
}

void RequestCompletion::finish_with_response_of(Request& request, int attempt_index) {
  request.state = RequestState::kFinished;
  for (int i = 0; i < int(request.attempts.size()); ++i)
    if (i != attempt_index) cancel_attempt_if_in_flight(request, i);
}

void RequestCompletion::cancel_attempt_if_in_flight(const Request& request, int attempt_index) {
  if (!context_.settings().allow_cancel || request.request_class->streamed) return;
  if (request.attempts[std::size_t(attempt_index)].in_flight)
    context_.emit(CancelAttempt{request.id, attempt_index});
}

}  // namespace quota_gateway::decision
