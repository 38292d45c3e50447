// Quota admission: customers, requests, replies of the shared counter and hot restart.
#include "decision/quota/quota_slices.hpp"

#include <algorithm>
#include <optional>

#include "decision/field_serialization.hpp"
#include "decision/quota/demand_estimator.hpp"
#include "decision/quota/slice_bucket.hpp"

namespace quota_gateway::decision {

namespace {

constexpr Duration kIdleCustomerTtl = 64'000'000;  // us; longer than the counter keeps the customer's name

// A slice whose burst is smaller than this many requests of the maximum size uses probabilistic admission.
constexpr double kMinRequestsInBurst = 2;

constexpr double kTokenTolerance = 1e-9;  // units; allows for rounding errors
constexpr double kMinSliceRate = 1e-6;    // units/s; keeps the waiting time finite

// Maximum Retry-After delay, as a fraction of the latency objective.
constexpr double kMaxRetryAfterFraction = 0.33;

}  // namespace

// ---- Customers ------------------------------------------------------------------------------------------

CustomerQuota* QuotaSlices::find_or_create(TimePoint now, const RequestArrived& request,
                                           const PlanSettings& plan) {
  if (started_at_ == 0) started_at_ = now - settings_.tick;
  CustomerQuota* customer = customers_.find_or_create(
      request.customer, [&](CustomerQuota& candidate) { return can_forget(now, candidate); });
  if (customer == nullptr) return nullptr;
  update_gateway_set(request, *customer);
  if (customer->plan != &plan) apply_plan(now, request.customer, plan, *customer);
  customer->last_request_at = now;
  return customer;
}

// A customer that comes back must not have more of its hard limit than it would have now.
bool QuotaSlices::can_forget(TimePoint now, CustomerQuota& customer) const {
  if (customer.is_in_use()) return false;
  if (customer.plan->hard_limit_rate <= 0) return true;
  CustomerQuota forgotten = customer;
  initialize_hard_limit(now, started_at_, forgotten);
  return hard_limit_allows(now, customer, forgotten.hard_limit_tokens);
}

void QuotaSlices::update_gateway_set(const RequestArrived& request, CustomerQuota& customer) const {
  const int gateway_count = settings_.gateway_count;
  const bool is_set_known = request.gateway_set_size > 0;
  customer.gateway_set_size =
      is_set_known ? std::min(request.gateway_set_size, gateway_count) : gateway_count;
  const int first_index = request.first_gateway_index % gateway_count;
  customer.gateway_set_position = (settings_.gateway_index - first_index + gateway_count) % gateway_count;
}

void QuotaSlices::apply_plan(TimePoint now, const std::string& customer_id, const PlanSettings& plan,
                             CustomerQuota& customer) const {
  customer.plan = &plan;
  customer.id_hash = hash_text(customer_id);
  customer.quota_rate = quota_rate_of(plan);
  customer.advanced_at = now;
  initialize_hard_limit(now, started_at_, customer);
  customer.estimated_fleet_tokens = quota_burst(customer);
  customer.tokens = slice_burst(customer);
}

// ---- Admission ------------------------------------------------------------------------------------------

void QuotaSlices::record_demand(TimePoint now, CustomerQuota& customer, double units) {
  advance(now, customer);
  add_demand(customer, units);
}

void QuotaSlices::advance(TimePoint now, CustomerQuota& customer) { advance_slice(now, customer); }

// If a slice earns less than a request in the time that the burst lasts, its bucket never holds enough tokens
// for one, and a customer whose requests are spread over many gateways would be rejected at each. With such a
// slice, each request is admitted with a probability equal to the ratio of the slice's rate to the local
// demand.
bool QuotaSlices::uses_probabilistic_admission(const CustomerQuota& customer) const {
  if (customer.gateway_set_size < kManyGateways || customer.last_total_at <= 0) return false;
  return slice_burst(customer) < kMinRequestsInBurst * settings_.max_request_units;
}

bool QuotaSlices::has_tokens(const CustomerQuota& customer, double units) {
  if (uses_probabilistic_admission(customer)) {
    return random_.uniform() * customer.local_demand_rate < slice_rate(customer);
  }
  if (customer.quota_rate <= 0) return true;
  return customer.tokens >= std::min(units, slice_burst(customer)) - kTokenTolerance;
}

void QuotaSlices::consume(CustomerQuota& customer, double units) { consume_tokens(customer, units); }

double QuotaSlices::time_until_available(const CustomerQuota& customer, double units) const {
  const double tokens = uses_probabilistic_admission(customer) ? 0 : customer.tokens;
  return std::max(0.0, units - tokens) / std::max(slice_rate(customer), kMinSliceRate);
}

Duration QuotaSlices::retry_after(double seconds, Duration latency_objective) const {
  const double max_delay = std::min(static_cast<double>(settings_.max_retry_after),
                                    kMaxRetryAfterFraction * static_cast<double>(latency_objective));
  const double delay = std::min(max_delay, seconds * kMicrosPerSecond);
  return std::max(settings_.tick, static_cast<Duration>(delay));
}

// ---- Shared counter -------------------------------------------------------------------------------------

bool QuotaSlices::sync_if_due(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                              std::vector<Action>& actions) {
  return counter_sync_.sync_if_due(now, customer_id, customer, actions);
}

CustomerQuota* QuotaSlices::on_counter_reply(TimePoint now, const CounterReply& reply) {
  const std::optional<CounterSync::PendingIncrement> increment = counter_sync_.on_reply(now, reply);
  if (!increment) return nullptr;
  CustomerQuota* customer = find(increment->customer_id);
  if (customer == nullptr) return nullptr;
  counter_sync_.apply_reply(now, reply, *increment, *customer);
  return customer;
}

void QuotaSlices::on_period(TimePoint now, std::vector<Action>& actions) {
  customers_.erase_if([&](const std::string& customer_id, CustomerQuota& customer) {
    advance(now, customer);
    if (!customer.is_in_use() && now - customer.last_request_at > kIdleCustomerTtl) return true;
    counter_sync_.sync_periodically(now, customer_id, customer, actions);
    return false;
  });
  counter_sync_.finish_period();
}

void QuotaSlices::set_wall_offset(TimePoint now, Duration offset) {
  if (!counter_sync_.set_wall_offset(now, offset)) return;
  customers_.for_each(
      [](const std::string&, CustomerQuota& customer) { customer.last_epoch_before_step = customer.epoch; });
}

// ---- Hot restart ----------------------------------------------------------------------------------------

std::map<std::string, int> QuotaSlices::attempts_in_flight() const {
  std::map<std::string, int> attempts;
  customers_.for_each([&](const std::string& customer_id, const CustomerQuota& customer) {
    const int in_flight = customer.attempts_in_flight + customer.predecessor_attempts;
    if (in_flight > 0) attempts[customer_id] = in_flight;
  });
  return attempts;
}

void QuotaSlices::set_predecessor_attempts(const std::map<std::string, int>& attempts) {
  customers_.for_each([&](const std::string& customer_id, CustomerQuota& customer) {
    const auto found = attempts.find(customer_id);
    customer.predecessor_attempts = found == attempts.end() ? 0 : found->second;
  });
}

void QuotaSlices::save_state(HotRestartState& state) {
  customers_.for_each([&](const std::string& customer_id, const CustomerQuota& customer) {
    CustomerQuota saved = customer;
    saved.predecessor_attempts += customer.attempts_in_flight;
    // Increments without a reply have most likely been added.
    saved.reported_units += counter_sync_.units_in_flight(customer_id);
    state.customers[customer_id] = {customer.plan->name, serialize_fields(saved)};
  });
}

void QuotaSlices::restore_customer(const std::string& customer_id, const PlanSettings& plan,
                                   const HotRestartState::Values& values) {
  CustomerQuota customer;
  customer.plan = &plan;
  customer.id_hash = hash_text(customer_id);
  if (!deserialize_fields(customer, values)) return;
  const auto keep_all = [](CustomerQuota&) { return false; };
  if (CustomerQuota* restored = customers_.find_or_create(customer_id, keep_all)) *restored = customer;
}

}  // namespace quota_gateway::decision
