#include "runtime/metrics.hpp"

#include <nlohmann/json.hpp>

namespace quota_gateway::net {

Metrics::Metrics(const Settings& settings) {
  for (const ClassSettings& c : settings.classes)
    passed_[c.name] = dropped_[c.name] = bad_gateway_[c.name] = 0;
}

void Metrics::count_response(const std::string& request_class, int status) {
  ByClass& count = status == 200 ? passed_ : status == 429 || status == 503 ? dropped_ : bad_gateway_;
  ++count[request_class];
}

std::string Metrics::to_json(const Gauges& now) const {
  const nlohmann::json out{{"passed", passed_},
                           {"dropped", dropped_},
                           {"bad_gateway", bad_gateway_},
                           {"upstream_tries", tries_},
                           {"in_progress", now.in_progress},
                           {"known_booking_servers", now.known_endpoints},
                           {"skipped_booking_servers", now.excluded_endpoints}};
  return out.dump() + "\n";
}

}  // namespace quota_gateway::net
