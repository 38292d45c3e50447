// Creates the state of arriving requests.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/latency_model.hpp"
#include "decision/quota/quota_slices.hpp"
#include "decision/request_state.hpp"
#include "decision/service_catalog.hpp"
#include "quota_gateway/events.hpp"

namespace quota_gateway::decision {

// Looks up a request's class, plan and customer, and adds the request to the customer's demand.
class RequestFactory {
 public:
  RequestFactory(DecisionContext& context, const ServiceCatalog& catalog, QuotaSlices& slices,
                 LatencyModel& latencies, RequestTable& requests, RequestHistory& history);

  // Returns null if there are too many customers to keep the state of another one.
  Request* create(const RequestArrived& event);

 private:
  DecisionContext& context_;
  const ServiceCatalog& catalog_;
  QuotaSlices& slices_;
  LatencyModel& latencies_;
  RequestTable& requests_;
  RequestHistory& history_;
};

}  // namespace quota_gateway::decision
