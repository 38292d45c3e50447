#include "decision/endpoints/endpoint_cost.hpp"

#include <algorithm>

#include "decision/endpoints/attempt_report.hpp"
#include "decision/numeric.hpp"

namespace quota_gateway::decision {
namespace {

constexpr Duration kIdleConnectionTimeout = 5'000'000;   // us; a connection idle for longer counts as closed
constexpr Duration kLoadReportTimeConstant = 1'000'000;  // us
constexpr double kNewConnectionCostFactor = 1.5;
constexpr double kOtherZoneCostFactor = 1.08;

}  // namespace

void record_connection_use(TimePoint now, Endpoint& endpoint) {
  if (now - endpoint.connection_idle_at > kIdleConnectionTimeout) {
    endpoint.idle_connections = 0;
  } else {
    endpoint.idle_connections = std::max(0, endpoint.idle_connections - 1);
  }
}

bool record_load(TimePoint now, Endpoint& endpoint, const AttemptReport& report) {
  if (report.is_success()) {
    ++endpoint.idle_connections;
    endpoint.connection_idle_at = now;
  }
  const bool reports_in_flight = report.load.in_flight >= 0;
  const bool reports_queued = report.load.queued >= 0;
  if (!reports_in_flight && !reports_queued) return false;
  if (reports_in_flight) {
    // The report still includes the attempt that has ended.
    endpoint.peer_attempts = std::max(0.0, report.load.in_flight - endpoint.local_attempts - 1);
  } else {
    endpoint.peer_attempts = report.load.queued;
  }
  endpoint.load_reported_at = now;
  return true;
}

double attempt_cost(TimePoint now, const Endpoint& endpoint, double effective_weight,
                    const Settings& settings) {
  double peer_attempts = 0;
  if (endpoint.peer_attempts > 0) {
    const double decay = exponential_decay(now - endpoint.load_reported_at, kLoadReportTimeConstant);
    peer_attempts = endpoint.peer_attempts * decay;
  }
  double cost = (endpoint.local_attempts + peer_attempts + 1) / effective_weight;
  if (endpoint.entry.zone != settings.zone) cost *= kOtherZoneCostFactor;
  // One of many gateways sends so few requests to each endpoint that connections to all of them would time
  // out between requests, and each request would pay for a handshake.
  const bool has_idle_connection =
      endpoint.idle_connections > 0 && now - endpoint.connection_idle_at <= kIdleConnectionTimeout;
  if (settings.gateway_count >= kManyGateways && !has_idle_connection) cost *= kNewConnectionCostFactor;
  return cost;
}

}  // namespace quota_gateway::decision
