// Completes requests, with a final response from the gateway where no endpoint gives one.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/latency_model.hpp"
#include "decision/rejection_log.hpp"
#include "decision/request_state.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Each request gets exactly one final response: an endpoint's, or a rejection or failure from this class.
class RequestCompletion {
 public:
  RequestCompletion(DecisionContext& context, const LatencyModel& latencies, RejectionLog& rejections)
      : context_(context), latencies_(latencies), rejections_(rejections) {}

  // Rejects a request that has not been sent to any endpoint.
  void reject(Request& request, Duration retry_after);
  // Rejects or fails an unfinished request that no endpoint will respond to.
  void reject_or_fail(Request& request);
  // Marks the request as finished and cancels its attempts in flight.
  void finish(Request& request);
  // Marks the request as finished by the response that is being forwarded from one of its attempts, and
  // cancels the others.
  void finish_with_response_of(Request& request, int attempt_index);

 private:
  void cancel_attempt_if_in_flight(const Request& request, int attempt_index);

  DecisionContext& context_;
  const LatencyModel& latencies_;
  RejectionLog& rejections_;
};

}  // namespace quota_gateway::decision
