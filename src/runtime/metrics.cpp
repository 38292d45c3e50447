#include "runtime/metrics.hpp"

#include <nlohmann/json.hpp>

namespace quota_gateway::net {

Metrics::Metrics(const Settings& settings) {
  for (const BrokenResponse cause : {BrokenResponse::kByEndpoint, BrokenResponse::kTimedOut})
    broken_responses_[describe(cause)] = 0;
  for (const ClassSettings& request_class : settings.classes) {
    served_[request_class.name] = 0;
    rejected_[request_class.name] = 0;
    failed_[request_class.name] = 0;
  }
}

void Metrics::count_response(const std::string& request_class, int status) {
  ++counts_for_status(status)[request_class];
}

Metrics::CountByClass& Metrics::counts_for_status(int status) {
  switch (status) {
    case 200:
      return served_;
    case 429:
    case 503:
      return rejected_;
    default:
      return failed_;
  }
}

std::string Metrics::describe(BrokenResponse cause) {
  switch (cause) {
    case BrokenResponse::kByEndpoint:
      return "by_endpoint";
    case BrokenResponse::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

std::string Metrics::to_json(const Gauges& gauges) const {
  const nlohmann::json metrics{{"passed", served_},
                               {"dropped", rejected_},
                               {"bad_gateway", failed_},
                               {"broken_responses", broken_responses_},
                               {"upstream_tries", attempts_},
                               {"in_progress", gauges.requests_in_progress},
                               {"known_booking_servers", gauges.known_endpoints},
                               {"skipped_booking_servers", gauges.excluded_endpoints}};
  return metrics.dump() + "\n";
}

}  // namespace quota_gateway::net
