// Handles the events of attempts in flight.
#pragma once

#include "decision/attempt_dispatcher.hpp"
#include "decision/attempt_results.hpp"
#include "decision/request_completion.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_handler.hpp"
#include "quota_gateway/events.hpp"

namespace quota_gateway::decision {

// Ignores events of unknown requests and attempts, which may arrive late.
class AttemptEventHandler {
 public:
  AttemptEventHandler(RequestTable& requests, AttemptDispatcher& dispatcher, AttemptResults& results,
                      RetryHandler& retries, RequestCompletion& completion);

  void on_body_completed(const RequestBodyCompleted& event);
  void on_response_begun(const ResponseBegun& event);
  void on_response_started(const ResponseStarted& event);
  void on_attempt_ended(const AttemptEnded& event);

 private:
  RequestTable& requests_;
  AttemptDispatcher& dispatcher_;
  AttemptResults& results_;
  RetryHandler& retries_;
  RequestCompletion& completion_;
};

}  // namespace quota_gateway::decision
