// Estimates of how long requests take, by request class and size.
#pragma once

#include <vector>

#include "decision/service_catalog.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Exponentially weighted means of latency and size for each request class.
class LatencyModel {
 public:
  LatencyModel(const Settings& settings, const ServiceCatalog& catalog)
      : settings_(settings), catalog_(catalog), estimates_(catalog.class_count()) {}

  // Returns the mean latency of the class in microseconds, or its prior until a response has been observed.
  [[nodiscard]] double mean_latency(const ClassSettings& request_class) const;
  // Returns the expected latency of a request in microseconds: the mean latency of the class, scaled by the
  // request's units relative to the mean units of the class.
  [[nodiscard]] double expected_latency(const ClassSettings& request_class, double units) const;

  void record_units(const ClassSettings& request_class, double units);
  // Records the latency of a successful response.
  void record_latency(const ClassSettings& request_class, Duration latency);

  // Part of the serialized state; see DecisionEngine::Impl::visit_fields for why the order is fixed.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    for (ClassEstimate& estimate : estimates_) visit(estimate.mean_latency);
    for (ClassEstimate& estimate : estimates_) visit(estimate.samples);
    for (ClassEstimate& estimate : estimates_) visit(estimate.mean_units);
  }

 private:
  struct ClassEstimate {
    double mean_latency = 0;  // us; 0: no response yet
    double samples = 0;       // successful responses observed
    double mean_units = 0;    // 0: no request yet
  };
  [[nodiscard]] const ClassEstimate& estimate(const ClassSettings& request_class) const;
  [[nodiscard]] ClassEstimate& estimate(const ClassSettings& request_class);

  const Settings& settings_;
  const ServiceCatalog& catalog_;
  std::vector<ClassEstimate> estimates_;  // by ServiceCatalog::class_index
};

}  // namespace quota_gateway::decision
