// Admitted requests that wait for endpoint capacity.
#pragma once

#include <string>
#include <vector>

#include "decision/attempt_dispatcher.hpp"
#include "decision/decision_context.hpp"
#include "decision/rate_limited_log.hpp"
#include "decision/request_completion.hpp"
#include "decision/request_state.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// A priority queue: requests of a higher priority weight are sent first, equal ones in their order of
// arrival. A request that waits too long gets its final response from the gateway.
class AdmissionQueue {
 public:
  AdmissionQueue(DecisionContext& context, RequestTable& requests, AttemptDispatcher& dispatcher,
                 RequestCompletion& completion, RateLimitedLog& log);

  void enqueue(Request& request);
  // Sends what there is capacity for, and ends what has waited too long.
  void dispatch();
  // The queued requests that have not been sent to any endpoint yet.
  [[nodiscard]] std::vector<const Request*> unsent_requests() const;

 private:
  struct Entry {
    std::string request_id;
    double priority_weight = 0;
    TimePoint expires_at = 0;
  };
  // False if the request stays in the queue.
  bool try_remove(Request& request, TimePoint expires_at);

  DecisionContext& context_;
  RequestTable& requests_;
  AttemptDispatcher& dispatcher_;
  RequestCompletion& completion_;
  RateLimitedLog& log_;
  std::vector<Entry> entries_;  // of requests that may have finished, and been erased, since
};

}  // namespace quota_gateway::decision
