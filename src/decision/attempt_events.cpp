#include "decision/attempt_events.hpp"

#include <cstddef>

#include "decision/retry_policy.hpp"

namespace quota_gateway::decision {
namespace {

// Returns the attempt with this index, or null if it is not in flight.
Attempt* find_in_flight(Request& request, int index) {
  if (index < 0 || index >= int(request.attempts.size())) return nullptr;
  Attempt& attempt = request.attempts[std::size_t(index)];
  return attempt.in_flight ? &attempt : nullptr;
}

}  // namespace

AttemptEventHandler::AttemptEventHandler(RequestTable& requests, AttemptDispatcher& dispatcher,
                                         AttemptResults& results, RetryHandler& retries,
                                         RequestCompletion& completion)
    : requests_(requests),
      dispatcher_(dispatcher),
      results_(results),
      retries_(retries),
      completion_(completion) {}

void AttemptEventHandler::on_body_completed(const RequestBodyCompleted& event) {
  Request* request = requests_.find(event.id);
  if (request == nullptr || !request->body_pending) return;
  dispatcher_.on_body_completed(*request, event.deadline);
}

void AttemptEventHandler::on_response_begun(const ResponseBegun& event) {
  Request* request = requests_.find(event.id);
  if (request == nullptr) return;
  if (Attempt* attempt = find_in_flight(*request, event.attempt)) attempt->is_responding = true;
}

void AttemptEventHandler::on_response_started(const ResponseStarted& event) {
  Request* request = requests_.find(event.id);
  if (request == nullptr) return;
  completion_.finish_with_response_of(*request, event.attempt);
  Attempt* attempt = find_in_flight(*request, event.attempt);
  if (attempt == nullptr || attempt->result_recorded || event.duration <= 0) return;
  attempt->result_recorded = true;
  if (request->body_pending) {
    request->body_pending = false;
    dispatcher_.register_without_work(*attempt);
  }
  // Recorded now, because the endpoint has done its work; from here on, the client determines how long a
  // large response takes.
  results_.record(*request, *attempt,
                  {.outcome = Outcome::kOk,
                   .duration = event.duration,
                   .billed_units = event.billed_units,
                   .load = event.load});
}

void AttemptEventHandler::on_attempt_ended(const AttemptEnded& event) {
  Request* request = requests_.find(event.id);
  if (request == nullptr) return;
  Attempt* attempt = find_in_flight(*request, event.attempt);
  if (attempt == nullptr) return;
  attempt->in_flight = false;
  --request->attempts_in_flight;
  --request->customer->attempts_in_flight;
  attempt->may_have_executed = may_have_executed(event.outcome);
  if (request->body_pending) dispatcher_.register_without_work(*attempt);
  if (!attempt->result_recorded)
    results_.record(*request, *attempt,
                    {.outcome = event.outcome,
                     .duration = event.duration,
                     .billed_units = event.billed_units,
                     .load = event.load});
  // Finishing it again would cancel an attempt whose response is being forwarded.
  if (event.request_finished && !request->is_finished()) completion_.finish(*request);
  if (!request->is_finished() && request->attempts_in_flight == 0)
    retries_.retry_or_complete(*request, *attempt, event.replayable);
  requests_.erase_if_complete(*request);
}

}  // namespace quota_gateway::decision
