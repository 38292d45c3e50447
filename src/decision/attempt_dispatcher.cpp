#include "decision/attempt_dispatcher.hpp"

#include "decision/numeric.hpp"
#include "decision/quota/quota_slices.hpp"
#include "decision/retry_policy.hpp"

namespace quota_gateway::decision {
namespace {

constexpr double kSlowCheckFactor = 7;      // expected latencies between slowness checks of an attempt
constexpr double kSpareUtilization = 0.25;  // below it, capacity is spare

// Returns the expected work in seconds of an endpoint's time.
double expected_work(const Request& request) { return request.expected_latency / kMicrosPerSecond; }

}  // namespace

AttemptDispatcher::AttemptDispatcher(DecisionContext& context, RequestTable& requests,
                                     EndpointPool& endpoints, const LatencyModel& latencies,
                                     RetryBudget& retry_budget)
    : context_(context),
      requests_(requests),
      endpoints_(endpoints),
      latencies_(latencies),
      retry_budget_(retry_budget) {}

bool AttemptDispatcher::send(Request& request) {
  if (!may_send(request)) return false;
  const bool is_first = request.attempts.empty();
  const double work = expected_work(request);
  Endpoint* endpoint = endpoints_.pick(
      context_.now(), work, latencies_.mean_latency(*request.request_class), !is_first,
      [&](const Endpoint& candidate) { return is_attempt_allowed(context_, request, candidate); });
  if (endpoint == nullptr) return false;
  if (is_first && !charge_first_attempt(request)) return false;
  if (!request.body_pending) endpoints_.on_attempt_sent(context_.now(), *endpoint, work);
  request.attempts.push_back({.endpoint = endpoint, .sent_at = context_.now()});
  ++request.attempts_in_flight;
  ++request.customer->attempts_in_flight;
  context_.emit(SendAttempt{request.id, endpoint->entry.endpoint, request.deadline - context_.now()});
  schedule_slow_check(request, int(request.attempts.size()) - 1);
  return true;
}

bool AttemptDispatcher::may_send(const Request& request) const {
  const Settings& settings = context_.settings();
  if (request.is_body_streamed && request.attempts_in_flight > 0) return false;
  return int(request.attempts.size()) < settings.max_attempts &&
         request.deadline - context_.now() > settings.tick;
}

bool AttemptDispatcher::charge_first_attempt(const Request& request) {
  CustomerQuota& customer = *request.customer;
  if (!hard_limit_allows(context_.now(), customer, request.units)) return false;
  if (customer.plan->hard_limit_rate > 0) customer.hard_limit_tokens -= request.units;
  retry_budget_.on_first_attempt();
  return true;
}

bool AttemptDispatcher::has_spare_capacity() {
  return endpoints_.utilization(context_.now()) < kSpareUtilization;
}

void AttemptDispatcher::on_body_completed(Request& request, TimePoint client_deadline) {
  request.body_pending = false;
  request.deadline = useful_deadline(*request.request_class, client_deadline, context_.now());
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    Attempt& attempt = request.attempts[i];
    if (!attempt.in_flight) continue;
    attempt.sent_at = context_.now();
    endpoints_.on_attempt_sent(context_.now(), *attempt.endpoint, expected_work(request));
    schedule_slow_check(request, int(i));
  }
}

void AttemptDispatcher::register_without_work(const Attempt& attempt) {
  endpoints_.on_attempt_sent(context_.now(), *attempt.endpoint, 0);
}

void AttemptDispatcher::schedule_slow_check(const Request& request, int attempt_index) {
  const TimePoint check_at = context_.now() + Duration(kSlowCheckFactor * request.expected_latency);
  if (request.body_pending || check_at >= request.deadline) return;
  requests_.schedule(check_at, {.request_id = request.id,
                                .purpose = RequestTimer::Purpose::kCheckSlowAttempt,
                                .attempt = attempt_index});
}

}  // namespace quota_gateway::decision
