// What the end of an attempt says about its endpoint.
#pragma once

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

// The result of one attempt, with its latency put in relation to what was expected.
struct AttemptReport {
  Outcome outcome = Outcome::kOk;
  double expected_latency_ratio = 0;   // the attempt's latency as a multiple of the latency expected of it
  double objective_latency_ratio = 0;  // the attempt's latency as a multiple of its class's latency objective
  double class_mean_latency = 0;       // us; mean latency of the attempt's class
  bool stalled = false;  // cancelled by this gateway because the endpoint had stopped responding
  LoadReport load;

  [[nodiscard]] bool is_success() const { return outcome == Outcome::kOk; }

  // True if the endpoint processed the request, whether or not it succeeded.
  [[nodiscard]] bool is_processed() const;

  // True if the outcome counts towards the ejection of the endpoint.
  [[nodiscard]] bool is_failure() const;

  // True if the latency shows how loaded the endpoints are. Errors do not: they often come at once.
  [[nodiscard]] bool has_load_dependent_latency() const;
};

}  // namespace quota_gateway::decision
