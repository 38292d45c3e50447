#include "decision/request_factory.hpp"

#include "decision/numeric.hpp"

namespace quota_gateway::decision {

RequestFactory::RequestFactory(DecisionContext& context, const ServiceCatalog& catalog, QuotaSlices& slices,
                               LatencyModel& latencies, RequestTable& requests, RequestHistory& history)
    : context_(context),
      catalog_(catalog),
      slices_(slices),
      latencies_(latencies),
      requests_(requests),
      history_(history) {}

Request* RequestFactory::create(const RequestArrived& event) {
  const ClassSettings& request_class = catalog_.request_class(event.request_class);
  const PlanSettings& plan = catalog_.plan(event.plan);
  CustomerQuota* customer = slices_.find_or_create(context_.now(), event, plan);
  if (customer == nullptr) return nullptr;
  latencies_.record_units(request_class, event.units);
  const double expected_latency = latencies_.expected_latency(request_class, event.units);
  const double quota_units = plan.rate > 0 ? event.units : expected_latency / kMicrosPerSecond;
  slices_.record_demand(context_.now(), *customer, quota_units);

  Request& request = requests_.find_or_create(event.id);
  request.history_key = history_.on_started(event, request_class);
  request.request_class = &request_class;
  request.customer = customer;
  ++customer->requests_in_progress;
  request.units = event.units;
  request.quota_units = quota_units;
  request.expected_latency = expected_latency;
  request.priority_weight =
      request_class.priority_weight * plan.priority_factor * event.units / expected_latency;
  request.arrived_at = context_.now();
  request.body_pending = event.body_pending;
  request.is_body_streamed = event.body_pending;
  request.deadline =
      event.body_pending ? event.deadline : useful_deadline(request_class, event.deadline, context_.now());
  return &request;
}

}  // namespace quota_gateway::decision
