// Applies the results of attempts to the endpoints, the latency estimates and the customers' quotas.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/latency_model.hpp"
#include "decision/quota/quota_slices.hpp"
#include "decision/rate_limited_log.hpp"
#include "decision/request_state.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

struct AttemptOutcome {
  Outcome outcome = Outcome::kOk;
  Duration duration = 0;
  double billed_units = 0;  // 0: not reported
  LoadReport load;
};

// Records each attempt once: when its response starts or, without a response, when it ends.
class AttemptResults {
 public:
  AttemptResults(DecisionContext& context, QuotaSlices& slices, EndpointPool& endpoints,
                 LatencyModel& latencies, RateLimitedLog& log);

  void record(const Request& request, const Attempt& attempt, const AttemptOutcome& result);

 private:
  DecisionContext& context_;
  QuotaSlices& slices_;
  EndpointPool& endpoints_;
  LatencyModel& latencies_;
  RateLimitedLog& log_;
};

}  // namespace quota_gateway::decision
