// Quota admission. Each gateway admits a slice of a customer's quota, by its share of the customer's demand,
// which all gateways sum up through the shared counter. This file is the entry point to the folder; it also
// offers the hard rate limit and the concurrency cap.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decision/numeric.hpp"
#include "decision/quota/concurrency_cap.hpp"
#include "decision/quota/counter_sync.hpp"
#include "decision/quota/customer_quota.hpp"
#include "decision/quota/rate_limiter.hpp"
#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Owns the quota state of all customers. A reference to a customer stays valid while it has attempts or
// counter increments in flight, and for about a minute after its last request.
class QuotaSlices {
 public:
  // `settings` must outlive this object.
  QuotaSlices(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), counter_sync_(settings) {}

  // The customer of a request, created if it is new, with `plan` and the request's gateway set applied.
  CustomerQuota& find_or_create(TimePoint now, const RequestArrived& request, const PlanSettings& plan);

  // The customer, or null if there is no state of it.
  CustomerQuota* find(const std::string& customer_id);

  // Counts a request's units as demand, whether it is admitted or not.
  void record_demand(TimePoint now, CustomerQuota& customer, double units);

  // Brings the customer's demand and tokens up to `now`.
  void advance(TimePoint now, CustomerQuota& customer);

  // Whether a request of so many units is inside the slice. Takes no tokens. A request that is larger than
  // the slice's burst is inside while the bucket is full.
  bool has_tokens(const CustomerQuota& customer, double units);

  // Takes a request's units from the slice; negative units are given back.
  void consume(CustomerQuota& customer, double units);

  // Seconds until the slice has refilled by what a request of so many units lacks.
  [[nodiscard]] double time_until_available(const CustomerQuota& customer, double units) const;

  // The delay to advise in a rejection after which the request would be admitted in so many seconds. It is
  // kept to a part of the latency objective, since a retry that comes later could not meet that any more.
  [[nodiscard]] Duration retry_after(double seconds, Duration latency_objective) const;

  // Sends the customer's demand to the shared counter if that is due. Returns whether the customer's first
  // total is in flight and worth waiting for.
  bool sync_if_due(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                   std::vector<Action>& actions);

  // Processes a reply of the shared counter. Returns the customer it is about, or null if there is none.
  CustomerQuota* on_counter_reply(TimePoint now, const CounterReply& reply);

  // To be called once a period: sends lingering demand to the counter and drops idle customers.
  void on_period(TimePoint now, std::vector<Action>& actions);

  // The wall clock, by which gateways agree on counter names, is `offset` ahead of the event clock.
  void set_wall_offset(TimePoint now, Duration offset);

  // Attempts in flight by customer, those of the predecessor process included.
  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const;

  // Sets the attempts that the predecessor process still has in flight, by customer.
  void set_predecessor_attempts(const std::map<std::string, int>& attempts);

  // Adds all customers to the state for a hot restart.
  void save_state(HotRestartState& state);

  // Restores a customer from the state of a hot restart. Ignores values that were written by another build.
  void restore_customer(const std::string& customer_id, const PlanSettings& plan,
                        const HotRestartState::Values& values);

  // The values of a hot restart beside the customers. Their order and number may not change: the values are
  // stored without names, so the successor, possibly of another build, assigns them by position alone.
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
  void start_plan(TimePoint now, const std::string& customer_id, const PlanSettings& plan,
                  CustomerQuota& customer) const;
  [[nodiscard]] bool uses_probabilistic_admission(const CustomerQuota& customer) const;

  const Settings& settings_;
  Random random_;
  CounterSync counter_sync_;
  TimePoint started_at_ = 0;  // of this process or the first of its predecessors; 0: no request so far
  std::map<std::string, CustomerQuota> customers_;  // by id; the order determines that of the actions
};

}  // namespace quota_gateway::decision
