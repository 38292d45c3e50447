// Sends attempts of requests to endpoints.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/latency_model.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_budget.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Picks the endpoint of each attempt and accounts for the attempt with its customer and endpoint.
class AttemptDispatcher {
 public:
  AttemptDispatcher(DecisionContext& context, RequestTable& requests, EndpointPool& endpoints,
                    const LatencyModel& latencies, RetryBudget& retry_budget);

  // Sends the next attempt. False, with nothing sent, if the request has no attempt or time left, no allowed
  // endpoint has capacity, or its first attempt would pass the hard limit.
  bool send(Request& request);
  // Whether endpoint capacity is free for work that is not needed: excess requests and hedged attempts.
  bool has_spare_capacity();

  // The endpoints have all of a request whose body was pending and begin to work on it.
  void on_body_completed(Request& request, TimePoint client_deadline);
  // Registers an attempt with its endpoint that responded or ended while the body was still pending.
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
