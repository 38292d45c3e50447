// The quota state that this gateway keeps for one customer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Plain data that the other modules of this folder read and update. QuotaSlices owns all instances. Amounts
// are in units of the customer's quota; under a plan that has only a concurrency cap, a unit is one second of
// one attempt in flight.
struct CustomerQuota {
  // The quota and the gateways that share it.
  const PlanSettings* plan = nullptr;
  std::uint64_t id_hash = 0;     // of the customer ID; the same on every gateway
  int gateway_set_size = 1;      // gateways through which the customer's requests may arrive
  int gateway_set_position = 0;  // index of this gateway in that set
  double quota_rate = 0;         // units per second over all gateways; 0: no quota
  TimePoint last_request_at = 0;
  int requests_in_progress = 0;  // of this process, including those without an attempt in flight

  // Demand, rejected requests included. The sums decay with the demand time constant.
  TimePoint advanced_at = 0;      // time of the last update of the decaying sums and the tokens
  double local_demand_rate = 0;   // units per second requested at this gateway; decaying mean
  double remote_demand_rate = 0;  // units per second requested at the other gateways, as last estimated
  double unreported_units = 0;    // requested at this gateway and not yet sent to the counter; decaying
  int unreported_requests = 0;    // the number of requests in `unreported_units`

  // The token buckets.
  double estimated_fleet_tokens = 0;  // left over all gateways; negative: debt
  double tokens = 0;                  // left in this gateway's slice; negative: debt

  // Synchronization with the shared counter.
  TimePoint last_increment_at = 0;
  TimePoint last_total_at = 0;                       // when the last usable total arrived; 0: never
  int increments_in_flight = 0;                      // increments without a reply yet
  std::int64_t epoch = 0;                            // of the counter name in use
  std::int64_t last_epoch_before_step = -1;          // in use when the wall clock was last stepped; -1: never
  TimePoint total_covers_since = 0;                  // the total does not include demand before this time
  double prior_remote_rate = 0;                      // the remote demand rate at that time
  double reported_units = 0;                         // this gateway's own share of the total; decaying
  std::vector<std::string> requests_awaiting_total;  // IDs of requests that wait for a total

  // The hard rate limit: this gateway's equal share of the bucket.
  double hard_limit_tokens = 0;
  TimePoint hard_limit_updated_at = 0;

  // The concurrency cap.
  int attempts_in_flight = 0;    // of this process
  int predecessor_attempts = 0;  // still in flight from the process that this one replaced

  // Returns whether other modules refer to this customer.
  [[nodiscard]] bool is_in_use() const {
    return requests_in_progress != 0 || attempts_in_flight != 0 || predecessor_attempts != 0 ||
           increments_in_flight != 0;
  }

  // Visits the values that a hot restart passes on. Their order and number must not change: the values are
  // stored without names, so the successor, possibly of another build, assigns them by position alone.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    visit(gateway_set_size);
    visit(gateway_set_position);
    visit(quota_rate);
    visit(last_request_at);
    visit(advanced_at);
    visit(local_demand_rate);
    visit(remote_demand_rate);
    visit(estimated_fleet_tokens);
    visit(tokens);
    visit(unreported_units);
    visit(unreported_requests);
    visit(last_increment_at);
    visit(last_total_at);
    visit(epoch);
    visit(total_covers_since);
    visit(prior_remote_rate);
    visit(reported_units);
    visit(hard_limit_tokens);
    visit(hard_limit_updated_at);
    visit(predecessor_attempts);
  }
};

// Returns the quota rate of each of the plan's customers, in units per second over all gateways. For a plan
// without a rate it is derived from the concurrency cap; 0 if the plan has neither.
double quota_rate_of(const PlanSettings& plan);

// Returns the maximum number of units that the customer can accumulate over all gateways.
double quota_burst(const CustomerQuota& customer);

}  // namespace quota_gateway::decision
