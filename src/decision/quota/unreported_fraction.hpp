// Estimates the fraction of the demand at this gateway that is not yet reported to the shared counter.
#pragma once

#include <map>

#include "quota_gateway/settings.hpp"

namespace quota_gateway::decision {

// A smoothed estimate per plan, updated once per period from samples of all customers.
class UnreportedFraction {
 public:
  // Adds a customer's decaying demand, and its unreported units, to the current period.
  void add_sample(const PlanSettings* plan, double demand_units, double unreported_units);

  // Ends the period: updates the estimates and drops the samples.
  void finish_period();

  // Returns the estimate for a plan's customers, from 0 to an upper bound below 1.
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
