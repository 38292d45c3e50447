#include "decision/admission.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "decision/numeric.hpp"

namespace quota_gateway::decision {

void Admission::on_request(const RequestArrived& event, Request& request) {
  if (should_await_total(event, request))
    await_total(request);
  else
    decide(request);
}

void Admission::fail_repeated_request(const RequestArrived& event) {
  dependencies_.rejections.count(RejectionReason::kRepeatedRequest);
  context_.emit(FailRequest{event.id});
}

void Admission::reject_excess_customer(const RequestArrived& event) {
  dependencies_.rejections.count(RejectionReason::kCustomerLimit);
  context_.emit(RejectRequest{event.id, context_.settings().tick});
}

// When a customer's requests are spread over many gateways, each gateway sees the customer so rarely that it
// would never know a total when it needs one. The first request therefore waits for the total.
bool Admission::should_await_total(const RequestArrived& event, Request& request) {
  if (is_suspended_) return false;
  const bool total_expected =
      dependencies_.slices.sync_if_due(context_.now(), event.customer, *request.customer, context_.actions());
  const Settings& settings = context_.settings();
  return total_expected && event.deadline - context_.now() > settings.counter_timeout + 2 * settings.tick;
}

void Admission::await_total(Request& request) {
  request.state = RequestState::kAwaitingTotal;
  request.customer->requests_awaiting_total.push_back(request.id);
  const Settings& settings = context_.settings();
  dependencies_.requests.schedule(
      context_.now() + settings.counter_timeout + settings.tick,
      {.request_id = request.id, .purpose = RequestTimer::Purpose::kDecideWithoutTotal});
}

void Admission::on_counter_reply(const CounterReply& event) {
  CustomerQuota* customer = dependencies_.slices.on_counter_reply(context_.now(), event);
  if (customer == nullptr) return;
  std::vector<std::string> waiting;
  waiting.swap(customer->requests_awaiting_total);
  for (const std::string& id : waiting) {
    Request* request = dependencies_.requests.find(id);
    if (request != nullptr && request->state == RequestState::kAwaitingTotal) decide(*request);
  }
}

void Admission::on_total_timeout(Request& request) {
  if (request.state == RequestState::kAwaitingTotal) decide(request);
}

void Admission::decide(Request& request) {
  request.state = RequestState::kActive;
  if (is_suspended_)
    dependencies_.completion.reject(request, context_.settings().tick);
  else
    admit_or_reject(request);
  dependencies_.requests.erase_if_complete(request);
}

void Admission::admit_or_reject(Request& request) {
  const LimitCheck limits = check_limits(request);
  const bool excess_allowed = is_excess_allowed(*request.customer->plan);
  if (limits.within_hard_limit && (limits.within_quota() || excess_allowed))
    admit(request, limits.within_quota());
  else
    reject(request, limits);
}

Admission::LimitCheck Admission::check_limits(Request& request) {
  CustomerQuota& customer = *request.customer;
  dependencies_.slices.advance(context_.now(), customer);
  // Every limit is checked each time, because a check may draw a random number or refill a bucket.
  LimitCheck limits;
  limits.within_slice = dependencies_.slices.has_tokens(customer, request.quota_units);
  limits.within_concurrency_cap = concurrency_cap_allows(customer);
  limits.within_hard_limit = hard_limit_allows(context_.now(), customer, request.units);
  return limits;
}

// A plan whose excess requests earn more than they cost may use spare capacity.
bool Admission::is_excess_allowed(const PlanSettings& plan) {
  return plan.excess_weight_fraction > plan.excess_cost_fraction &&
         dependencies_.dispatcher.has_spare_capacity();
}

void Admission::admit(Request& request, bool within_quota) {
  request.is_excess = !within_quota;
  if (within_quota) dependencies_.slices.consume(*request.customer, request.quota_units);
  if (dependencies_.dispatcher.send(request)) return;
  // Excess requests may only use capacity that is free now, so they are not queued.
  if (within_quota)
    dependencies_.queue.enqueue(request);
  else
    dependencies_.completion.reject_or_fail(request);
}

void Admission::reject(Request& request, const LimitCheck& limits) {
  RejectionReason reason = RejectionReason::kSlice;
  if (!limits.within_concurrency_cap) reason = RejectionReason::kConcurrencyCap;
  if (!limits.within_hard_limit) reason = RejectionReason::kHardLimit;
  dependencies_.rejections.count(reason);
  const Duration retry_after = dependencies_.slices.retry_after(time_until_admissible(request, limits),
                                                                request.request_class->latency_objective);
  dependencies_.completion.reject(request, retry_after);
}

// Returns the seconds until the request is within every limit that it exceeds now. With the time of one limit
// alone, the client would be told to retry while it still exceeds the others.
double Admission::time_until_admissible(const Request& request, const LimitCheck& limits) const {
  const CustomerQuota& customer = *request.customer;
  double wait = 0;
  if (!limits.within_hard_limit) wait = std::max(wait, time_until_hard_limit_allows(customer, request.units));
  if (!limits.within_concurrency_cap) wait = std::max(wait, request.expected_latency / kMicrosPerSecond);
  if (!limits.within_slice)
    wait = std::max(wait, dependencies_.slices.time_until_available(customer, request.quota_units));
  return wait;
}

}  // namespace quota_gateway::decision
