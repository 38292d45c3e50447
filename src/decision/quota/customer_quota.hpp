// The quota state that this gateway keeps of one customer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Plain data: the other modules of this folder compute with it, QuotaSlices owns all instances. Amounts are
// in units of the customer's quota; under a plan that has a concurrency cap only, a unit is one second of one
// attempt in flight.
struct CustomerQuota {
  // The quota and the gateways that share it.
  const PlanSettings* plan = nullptr;
  std::uint64_t id_hash = 0;     // of the customer's id; the same on every gateway
  int gateway_set_size = 1;      // gateways through which the customer's requests may come
  int gateway_set_position = 0;  // of this gateway in that set, from 0
  double quota_rate = 0;         // units a second over all gateways; 0: no quota
  TimePoint last_request_at = 0;

  // Demand, rejected requests included. The sums decay with the demand time constant.
  TimePoint advanced_at = 0;      // the decaying sums and the tokens are valid as of then
  double local_demand_rate = 0;   // units a second requested at this gateway; decaying mean
  double remote_demand_rate = 0;  // units a second requested at the other gateways, as last estimated
  double unreported_units = 0;    // requested here and not yet sent to the counter; decaying
  int unreported_requests = 0;    // the requests that these units came in

  // The token buckets.
  double estimated_fleet_tokens = 0;  // what the customer has left over all gateways; below 0: a debt
  double tokens = 0;                  // what this gateway may admit of it

  // Synchronization with the shared counter.
  TimePoint last_sync_at = 0;
  TimePoint last_total_at = 0;         // when a usable total last came; 0: never
  int syncs_in_flight = 0;             // increments without a reply so far
  std::int64_t epoch = 0;              // of the counter name in use
  std::int64_t distrusted_epoch = -1;  // this epoch and those before it began before a wall clock step
  TimePoint total_covers_since = 0;    // demand before this instant is not in the total
  double prior_remote_rate = 0;        // the remote demand rate at that instant
  double reported_units = 0;           // this gateway's own part of the total; decaying
  std::vector<std::string> requests_awaiting_total;  // ids of requests queued until the first total

  // The hard rate limit: this gateway's even part of its bucket.
  double hard_limit_tokens = 0;
  TimePoint hard_limit_updated_at = 0;

  // The concurrency cap.
  int attempts_in_flight = 0;    // of this process
  int predecessor_attempts = 0;  // still in flight from the process that this one replaced

  // The values of a hot restart. Their order and number may not change: the values are stored without names,
  // so the successor, possibly of another build, assigns them by position alone.
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
    visit(last_sync_at);
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

// The quota rate of a plan's customers, in units a second over all gateways. A plan without a rate gets one
// from its concurrency cap; 0 if it has neither.
double quota_rate_of(const PlanSettings& plan);

// The most units that the customer can have saved up over all gateways.
double quota_burst(const CustomerQuota& customer);

}  // namespace quota_gateway::decision
