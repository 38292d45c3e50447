// Estimates which part of the demand at this gateway has not been reported to the shared counter yet.
#pragma once

#include <map>

#include "quota_gateway/settings.hpp"

namespace quota_gateway::decision {

// A smoothed estimate by plan, from samples of all customers, that is updated once a period.
class UnreportedFraction {
 public:
  // Adds one customer's decaying demand, and the part of it that is not reported, to the current period.
  void add_sample(const PlanSettings* plan, double demand_units, double unreported_units);

  // Ends the period: updates the estimates and drops the samples.
  void finish_period();

  // The estimate for a plan's customers, from 0 to an upper bound below 1.
  [[nodiscard]] double estimate(const PlanSettings* plan) const;

 private:
  struct Sums {
    double demand_units = 0;
    double unreported_units = 0;
  };

  std::map<const PlanSettings*, Sums> period_sums_;
  std::map<const PlanSettings*, double> fractions_;
};

}  // namespace quota_gateway::decision
