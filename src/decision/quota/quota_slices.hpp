// Quota admission. Each gateway admits a slice of a customer's quota, according to its share of the
// customer's demand, which all gateways sum up through the shared counter. This is the main header of the
// folder; it also includes the hard rate limit and the concurrency cap.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decision/numeric.hpp"
#include "decision/quota/concurrency_cap.hpp"
#include "decision/quota/counter_sync.hpp"
#include "decision/quota/customer_quota.hpp"
#include "decision/quota/customer_table.hpp"
#include "decision/quota/rate_limiter.hpp"
#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Owns the quota state of all customers. A reference to a customer stays valid while it has requests in
// progress, or attempts or counter increments in flight.
class QuotaSlices {
 public:
  // `settings` must outlive this object.
  QuotaSlices(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), counter_sync_(settings), customers_(settings.max_customers) {}

  // Returns the customer of a request, created if it is new, with `plan` and the request's gateway set
  // applied. Returns null if there are too many customers and none of them can be forgotten.
  CustomerQuota* find_or_create(TimePoint now, const RequestArrived& request, const PlanSettings& plan);

  // Returns the customer, or null if there is no state for it.
  CustomerQuota* find(const std::string& customer_id) { return customers_.find(customer_id); }

  // Adds a request's units to the demand, whether the request is admitted or not.
  void record_demand(TimePoint now, CustomerQuota& customer, double units);

  // Decays the customer's demand and refills its tokens up to `now`.
  void advance(TimePoint now, CustomerQuota& customer);

  // Returns whether the slice can admit a request of `units`; takes no tokens. A request that is larger than
  // the slice's burst can be admitted while the bucket is full.
  bool has_tokens(const CustomerQuota& customer, double units);

  // Takes a request's units from the slice; negative units are returned to it.
  void consume(CustomerQuota& customer, double units);

  // Returns the seconds until the slice has refilled enough for a request of `units`.
  [[nodiscard]] double time_until_available(const CustomerQuota& customer, double units) const;

  // Returns the Retry-After delay for a rejected request that could be admitted in `seconds`. The delay is at
  // most a fraction of the latency objective, because a later retry could no longer meet the objective.
  [[nodiscard]] Duration retry_after(double seconds, Duration latency_objective) const;

  // Sends the customer's demand to the shared counter if that is due. Returns whether a request should wait
  // for the reply; see CounterSync::sync_if_due.
  bool sync_if_due(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                   std::vector<Action>& actions);

  // Processes a reply of the shared counter. Returns the customer that it belongs to, or null if there is
  // none.
  CustomerQuota* on_counter_reply(TimePoint now, const CounterReply& reply);

  // Call once per period: sends demand that is still unreported to the counter and drops idle customers.
  void on_period(TimePoint now, std::vector<Action>& actions);

  // Sets how far the wall clock, by which gateways agree on counter names, is ahead of the event clock.
  void set_wall_offset(TimePoint now, Duration offset);

  // Returns the attempts in flight by customer, including those of the predecessor.
  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const;

  // Sets the attempts that the predecessor still has in flight, by customer.
  void set_predecessor_attempts(const std::map<std::string, int>& attempts);

  // Adds all customers to the state that a hot restart passes on.
  void save_state(HotRestartState& state);

  // Restores a customer from the state of a hot restart. Ignores a list of values of another length, which
  // was written by another build.
  void restore_customer(const std::string& customer_id, const PlanSettings& plan,
                        const HotRestartState::Values& values);

  // Visits the values that a hot restart passes on in addition to the customers. Their order and number must
  // not change: the values are stored without names, so the successor, possibly of another build, assigns
  // them by position alone.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    CounterPacer::State& pacer = counter_sync_.pacer().state();
    visit(pacer.calls_per_second);
    visit(pacer.available_calls);
    visit(pacer.resume_rate);
    visit(pacer.last_decrease_at);
    visit(pacer.refilled_at);
    visit(started_at_);
    visit(pacer.consecutive_failures);
  }

 private:
  void update_gateway_set(const RequestArrived& request, CustomerQuota& customer) const;
  void apply_plan(TimePoint now, const std::string& customer_id, const PlanSettings& plan,
                  CustomerQuota& customer) const;
  [[nodiscard]] bool can_forget(TimePoint now, CustomerQuota& customer) const;
  [[nodiscard]] bool uses_probabilistic_admission(const CustomerQuota& customer) const;

  const Settings& settings_;
  Random random_;
  CounterSync counter_sync_;
  TimePoint started_at_ = 0;  // start of this process or its first predecessor; 0: no request yet
  CustomerTable customers_;
};

}  // namespace quota_gateway::decision
