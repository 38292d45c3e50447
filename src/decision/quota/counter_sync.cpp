// Increments of the shared counter, and the remote demand estimated from its totals.
#include "decision/quota/counter_sync.hpp"

#include <utility>

#include "decision/numeric.hpp"
#include "decision/quota/demand_estimator.hpp"
#include "decision/quota/slice_bucket.hpp"

namespace quota_gateway::decision {

namespace {

// A total below this fraction of the units that this gateway has added shows that the counter has lost units.
constexpr double kLostUnitsTolerance = 0.999;

// Returns whether the last total is recent enough to show the remote demand. At one of many gateways it often
// is not, because the customer's requests there are rare.
bool has_recent_total(TimePoint now, const CustomerQuota& customer) {
  if (customer.last_total_at <= 0) return false;
  const auto age_micros = static_cast<double>(now - customer.last_total_at);
  return age_micros <= demand_time_constant(customer) * kMicrosPerSecond;
}

// After the counter has lost units, its total covers only the demand from now on.
void restart_total(TimePoint now, double total, CustomerQuota& customer) {
  customer.reported_units = total;
  customer.total_covers_since = now;
  customer.prior_remote_rate = customer.remote_demand_rate;
}

}  // namespace

bool CounterSync::sync_if_due(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                              std::vector<Action>& actions) {
  if (!settings_.has_counter || customer.quota_rate <= 0 || customer.unreported_units <= 0) return false;
  const bool is_total_recent = has_recent_total(now, customer);
  if (!is_total_recent && customer.increments_in_flight > 0) return !pacer_.is_counter_unavailable();
  pacer_.refill(now);
  if (customer.increments_in_flight > 0) return false;
  // Customers without a recent total have priority, because their remote demand is unknown without a call.
  if (is_total_recent) {
    if (now - customer.last_increment_at < kMaintenancePeriod) return false;
    if (!pacer_.is_deferrable_call_available(customer.unreported_requests)) return false;
  } else if (!pacer_.is_call_available()) {
    return false;
  }
  pacer_.consume_call();
  start_epoch_if_due(now, customer);
  send_increment(now, customer_id, customer, actions);
  return !is_total_recent && !pacer_.is_counter_unavailable();
}

void CounterSync::sync_periodically(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                                    std::vector<Action>& actions) {
  const double previous_unreported_units = customer.unreported_units;
  sync_if_due(now, customer_id, customer, actions);
  // This pass makes many calls after the unreported demand has grown for a period. Its mean over the period
  // is about half of its amount before the call.
  const double mean_unreported_units = (previous_unreported_units + customer.unreported_units) / 2;
  const double demand_units = customer.local_demand_rate * demand_time_constant(customer);
  unreported_fraction_.add_sample(customer.plan, demand_units, mean_unreported_units);
}

std::optional<CounterSync::PendingIncrement> CounterSync::on_reply(TimePoint now, const CounterReply& reply) {
  const auto found = pending_.find(reply.name);
  if (found == pending_.end()) return std::nullopt;
  PendingIncrement increment = std::move(found->second);
  pending_.erase(found);
  pacer_.on_reply(now, reply, settings_.counter_timeout);
  return increment;
}

void CounterSync::apply_reply(TimePoint now, const CounterReply& reply, const PendingIncrement& increment,
                              CustomerQuota& customer) {
  --customer.increments_in_flight;
  if (reply.outcome == CounterOutcome::kNotAdded) customer.unreported_units += increment.units;
  if (reply.outcome != CounterOutcome::kOk || epoch_clock_.may_mix_scales(now, customer)) return;
  advance_slice(now, customer);
  const double seconds_since_increment = to_seconds(now - customer.last_increment_at);
  customer.reported_units += increment.units * demand_decay(customer, seconds_since_increment);
  const double total = reply.total / epoch_clock_.scale(now, customer);
  if (total < customer.reported_units * kLostUnitsTolerance) {
    restart_total(now, total, customer);
  } else {
    apply_total(now, total, customer);
  }
}

double CounterSync::units_in_flight(const std::string& customer_id) const {
  double units = 0;
  for (const auto& [name, increment] : pending_) {
    if (increment.customer_id == customer_id) units += increment.units;
  }
  return units;
}

void CounterSync::start_epoch_if_due(TimePoint now, CustomerQuota& customer) const {
  const std::int64_t epoch = epoch_clock_.epoch_at(now, customer);
  if (epoch == customer.epoch) return;
  customer.epoch = epoch;
  customer.reported_units = 0;
  customer.total_covers_since = epoch_clock_.usable_since(customer);
  customer.prior_remote_rate = customer.remote_demand_rate;
}

void CounterSync::send_increment(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                                 std::vector<Action>& actions) {
  const std::int64_t name = counter_name(customer);
  pending_[name] = {.customer_id = customer_id, .units = customer.unreported_units};
  actions.emplace_back(
      IncrementCounter{.name = name,
                       .amount = customer.unreported_units * epoch_clock_.scale(now, customer),
                       .ttl = kCounterNameTtl});
  customer.unreported_units = 0;
  customer.unreported_requests = 0;
  customer.last_increment_at = now;
  ++customer.increments_in_flight;
}

void CounterSync::apply_total(TimePoint now, double total, CustomerQuota& customer) const {
  const double remote_units = total - customer.reported_units;
  const double reported_rate = remote_units / demand_time_constant(customer);
  const double estimated_rate = reported_rate / (1 - remote_unreported_fraction(customer));
  const double seconds_covered = to_seconds(now - customer.total_covers_since);
  customer.remote_demand_rate =
      estimated_rate + customer.prior_remote_rate * demand_decay(customer, seconds_covered);
  const bool is_first_total = customer.last_total_at <= 0;
  if (is_first_total) apply_first_remote_demand(customer);
  customer.last_total_at = now;
  share_fleet_tokens(customer);
}

// No total includes the demand that the other gateways have not reported yet. With many gateways, ignoring it
// would admit much of the demand beyond the quota. Many gateways have similar unreported fractions, so each
// uses its own as an estimate of the others'. With few gateways the fractions differ too much.
double CounterSync::remote_unreported_fraction(const CustomerQuota& customer) const {
  if (settings_.gateway_count < kManyGateways) return 0;
  return unreported_fraction_.estimate(customer.plan);
}

}  // namespace quota_gateway::decision
