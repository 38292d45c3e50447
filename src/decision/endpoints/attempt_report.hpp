// The result of an attempt, from which the endpoint modules update their state.
#pragma once

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

// The result of one attempt, with its latency relative to the expected latency and to the objective.
struct AttemptReport {
  Outcome outcome = Outcome::kOk;
  double expected_latency_ratio = 0;  // latency as a multiple of the latency expected of this attempt
  // Latency, scaled to an average request of its class, as a multiple of the latency objective of the class.
  double objective_latency_ratio = 0;
  double class_mean_latency = 0;  // us; mean latency of the request class
  bool stalled = false;           // cancelled by this gateway because the endpoint had stopped responding
  LoadReport load;

  [[nodiscard]] bool is_success() const { return outcome == Outcome::kOk; }

  // True if the endpoint processed the request, whether or not it succeeded.
  [[nodiscard]] bool is_processed() const;

  // True if the outcome counts towards the ejection of the endpoint.
  [[nodiscard]] bool is_failure() const;

  // True if the latency depends on the load of the endpoint. Errors are excluded because they are often
  // returned immediately.
  [[nodiscard]] bool has_load_dependent_latency() const;
};

}  // namespace quota_gateway::decision
