#include "decision/endpoints/outlier_ejection.hpp"

#include <algorithm>
#include <iterator>

#include "decision/endpoints/attempt_report.hpp"

namespace quota_gateway::decision {
namespace {

constexpr int kMaxConsecutiveFailures = 3;
constexpr Duration kEjectionDuration = 3'000'000;  // us
constexpr double kMaxEjectedFraction = 0.34;       // of the available endpoints

}  // namespace

bool OutlierEjection::on_attempt_ended(TimePoint now, Endpoint& endpoint, const AttemptReport& report) {
  if (report.is_success()) {
    endpoint.consecutive_failures = 0;
    endpoint.half_open = false;
  }
  if (!report.is_failure()) return false;
  ++endpoint.consecutive_failures;
  const bool is_outlier = endpoint.consecutive_failures >= kMaxConsecutiveFailures || endpoint.half_open;
  if (!is_outlier || endpoint.is_ejected(now)) return false;
  if (std::find(ejected_.begin(), ejected_.end(), &endpoint) == ejected_.end()) ejected_.push_back(&endpoint);
  endpoint.ejected_until = now + kEjectionDuration;
  endpoint.half_open = true;
  return true;
}

void OutlierEjection::restore(Endpoint& endpoint) {
  if (endpoint.ejected_until > 0) ejected_.push_back(&endpoint);
}

std::vector<Endpoint*> OutlierEjection::take_expired(TimePoint now) {
  std::vector<Endpoint*> expired;
  const auto is_expired = [&](const Endpoint* endpoint) { return !endpoint->is_ejected(now); };
  std::copy_if(ejected_.begin(), ejected_.end(), std::back_inserter(expired), is_expired);
  if (!expired.empty()) std::erase_if(ejected_, is_expired);
  return expired;
}

int OutlierEjection::count_available_ejected() const {
  return int(std::count_if(ejected_.begin(), ejected_.end(),
                           [](const Endpoint* endpoint) { return endpoint->is_available(); }));
}

bool is_ejected_fraction_exceeded(const FleetStatus& fleet) {
  return fleet.ejected > kMaxEjectedFraction * fleet.available;
}

}  // namespace quota_gateway::decision
