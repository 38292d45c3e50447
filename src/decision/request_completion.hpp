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
  // Marks the request as finished and cancels its other attempts.
  void finish(Request& request);

 private:
  DecisionContext& context_;
  const LatencyModel& latencies_;
  RejectionLog& rejections_;
};

}  // namespace quota_gateway::decision
