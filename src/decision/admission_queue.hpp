// The queue of admitted requests that wait for endpoint capacity.
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

// A priority queue: requests with a higher priority weight are sent first, and equal ones in the order in
// which they were queued. A request that waits too long gets its final response from the gateway.
class AdmissionQueue {
 public:
  AdmissionQueue(DecisionContext& context, RequestTable& requests, AttemptDispatcher& dispatcher,
                 RequestCompletion& completion, RateLimitedLog& log);

  void enqueue(Request& request);
  // Sends the requests that endpoints have capacity for, and ends those that have waited too long.
  void dispatch();
  // Returns the queued requests that have not been sent to any endpoint yet.
  [[nodiscard]] std::vector<const Request*> unsent_requests() const;

 private:
  struct Entry {
    std::string request_id;
    double priority_weight = 0;
    TimePoint queue_deadline = 0;
  };
  // Returns false if the request stays in the queue.
  bool try_remove(Request& request, TimePoint queue_deadline);

  DecisionContext& context_;
  RequestTable& requests_;
  AttemptDispatcher& dispatcher_;
  RequestCompletion& completion_;
  RateLimitedLog& log_;
  std::vector<Entry> entries_;  // may include requests that have since finished or been erased
};

}  // namespace quota_gateway::decision
