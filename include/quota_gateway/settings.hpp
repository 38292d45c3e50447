// The configuration of a gateway: request classes, service plans, and the limits that it must not exceed.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Whether a request may be executed twice. kByKey: only where endpoints recognize the same idempotency key
// (see DedupScope).
enum class Idempotency { kIdempotent, kByKey, kNonIdempotent };

// The set of endpoints that recognize the same idempotency key.
enum class DedupScope { kAll, kZone, kCell };

// One class of requests.
struct ClassSettings {
  std::string name;
  Duration latency_objective = 1'000'000;  // a response within this time earns the full weight
  Duration client_timeout = 4'000'000;     // for all attempts together
  double priority_weight = 1;
  double late_weight_fraction = 0;  // of the weight, earned after the objective but before the deadline
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kCell;
  Duration dedup_window = 0;  // how long an endpoint recognizes an idempotency key
  bool streamed = false;
};

// One service plan. Each limit applies to one customer over all gateways together; 0 means no limit.
struct PlanSettings {
  std::string name;
  double rate = 0;  // units per second
  double burst = 0;
  int max_concurrent_attempts = 0;
  double hard_limit_rate = 0;  // units per second that may be forwarded, within or beyond the quota
  double hard_limit_burst = 0;
  double hard_limit_slack = 0;
  double priority_factor = 1;
  double excess_weight_fraction = 0;  // of its weight, earned by a request beyond the quota
  double excess_cost_fraction = 1;    // of its weight, what such a request costs
};

// The configuration of one gateway.
struct Settings {
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  int gateway_count = 1;
  int gateway_index = 0;  // index of this gateway, from 0
  Duration tick = 1'000;
  bool has_counter = false;  // gateways share a counter service
  Duration counter_timeout = 50'000;
  Duration metering_period = 0;  // 0: no metering
  double max_request_units = 1;
  bool endpoints_bill_units = false;  // a request's units are an estimate until an endpoint bills them
  int max_attempts = 1;
  Duration connect_timeout = 0;
  bool allow_probes = false;
  bool allow_cancel = false;
  bool allow_hedging = false;  // two attempts of one request may be in flight at once
  bool allow_retry_after = false;
  Duration max_retry_after = 0;
  bool subscribe_to_endpoints = false;  // the endpoint list must be requested by SubscribeToEndpoints
  Duration max_subscribe_delay = 10'000'000;
  Duration response_grace = 0;
  Duration drain_grace = 0;
  std::size_t max_customers = 0;                // whose state is kept at the same time; 0: no limit
  std::size_t max_remembered_requests = 0;      // that have ended and must not be repeated; 0: no limit
  double slow_start_min_capacity_fraction = 1;  // of the full capacity, at the start
  Duration slow_start_duration = 0;
  double slow_start_overload_factor = 1;  // multiple of the current capacity
  Duration slow_start_window = 0;         // load above that multiple for this long overloads a fresh endpoint
};

}  // namespace quota_gateway
