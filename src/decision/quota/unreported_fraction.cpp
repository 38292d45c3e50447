// The fraction of the demand that is not yet reported to the shared counter.
#include "decision/quota/unreported_fraction.hpp"

#include <algorithm>

namespace quota_gateway::decision {

namespace {

constexpr double kSmoothingWeight = 0.3;  // weight of the latest period
constexpr double kMaxFraction = 0.75;     // bounds the factor by which the remote demand is scaled up

}  // namespace

void UnreportedFraction::add_sample(const PlanSettings* plan, double demand_units, double unreported_units) {
  Sums& sums = period_sums_[plan];
  sums.demand_units += demand_units;
  sums.unreported_units += unreported_units;
}

void UnreportedFraction::finish_period() {
  for (const auto& [plan, sums] : period_sums_) {
    if (sums.demand_units <= 0) continue;
    double& fraction = fractions_[plan];
    fraction += kSmoothingWeight * (sums.unreported_units / sums.demand_units - fraction);
  }
  period_sums_.clear();
}

double UnreportedFraction::estimate(const PlanSettings* plan) const {
  const auto found = fractions_.find(plan);
  return found == fractions_.end() ? 0 : std::min(kMaxFraction, found->second);
}

}  // namespace quota_gateway::decision
