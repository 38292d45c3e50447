#include "decision/attempt_results.hpp"

#include <algorithm>

namespace quota_gateway::decision {
namespace {

AttemptReport make_report(const Request& request, const Attempt& attempt, const AttemptOutcome& result,
                          double mean_latency) {
  // Uses the reported duration rather than the clock: the two differ if the gateway was paused.
  const auto duration = double(result.duration);
  const auto objective = double(std::max<Duration>(1, request.request_class->latency_objective));
  return {.outcome = result.outcome,
          .expected_latency_ratio = duration / request.expected_latency,
          .objective_latency_ratio = duration / objective * mean_latency / request.expected_latency,
          .class_mean_latency = mean_latency,
          .stalled = attempt.cancelled_as_stalled,
          .load = result.load};
}

}  // namespace

AttemptResults::AttemptResults(DecisionContext& context, QuotaSlices& slices, EndpointPool& endpoints,
                               LatencyModel& latencies, RateLimitedLog& log)
    : context_(context), slices_(slices), endpoints_(endpoints), latencies_(latencies), log_(log) {}

void AttemptResults::record(const Request& request, const Attempt& attempt, const AttemptOutcome& result) {
  if (result.outcome == Outcome::kOk) latencies_.record_latency(*request.request_class, result.duration);
  const double mean_latency = latencies_.mean_latency(*request.request_class);
  const AttemptReport report = make_report(request, attempt, result, mean_latency);
  if (endpoints_.on_attempt_ended(context_.now(), *attempt.endpoint, report))
    log_.write(LogKind::kEndpointEjected,
               "endpoints: " + attempt.endpoint->entry.endpoint + " ejected: consecutive failures");
  if (context_.settings().endpoints_bill_units && result.billed_units > 0 && !request.is_excess)
    slices_.consume(*request.customer, result.billed_units - request.units);
}

}  // namespace quota_gateway::decision
