// Sends attempts to endpoints.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/latency_model.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_budget.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Picks the endpoint of each attempt and counts the attempt for its customer and its endpoint.
class AttemptDispatcher {
 public:
  AttemptDispatcher(DecisionContext& context, RequestTable& requests, EndpointPool& endpoints,
                    const LatencyModel& latencies, RetryBudget& retry_budget);

  // Sends the next attempt. Returns false and sends nothing if the request has no attempts or time left, if
  // an attempt in flight may already have taken a part of its streamed body, if no allowed endpoint has
  // capacity, or if its first attempt would exceed the hard limit.
  bool send(Request& request);
  // Returns whether there is spare endpoint capacity for optional work: excess requests and hedged attempts.
  bool has_spare_capacity();

  // Handles the end of a pending request body: endpoints have the whole request and start to work on it.
  void on_body_completed(Request& request, TimePoint client_deadline);
  // Counts an attempt that responded or ended while the body was still pending as no work for its endpoint.
  void register_without_work(const Attempt& attempt);
  // Schedules the next check of whether the attempt is slow.
  void schedule_slow_check(const Request& request, int attempt_index);

 private:
  [[nodiscard]] bool may_send(const Request& request) const;
  bool charge_first_attempt(const Request& request);

  DecisionContext& context_;
  RequestTable& requests_;
  EndpointPool& endpoints_;
  const LatencyModel& latencies_;
  RetryBudget& retry_budget_;
};

}  // namespace quota_gateway::decision
