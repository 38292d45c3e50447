#include "decision/latency_model.hpp"

#include <algorithm>

#include "decision/latency_estimates.hpp"

namespace quota_gateway::decision {
namespace {

constexpr double kSmoothingGain = 0.02;  // weight of a new sample

}  // namespace

double LatencyModel::mean_latency(const ClassSettings& request_class) const {
  const double observed = estimate(request_class).mean_latency;
  return observed > 0 ? observed : kIdleLatencyFraction * double(request_class.latency_objective);
}

double LatencyModel::expected_latency(const ClassSettings& request_class, double units) const {
  const double mean_units = estimate(request_class).mean_units;
  const bool sizes_known = mean_units > 0 && units > 0;
  if (!sizes_known) return mean_latency(request_class);
  // The ratio is bounded: a request with almost no expected latency would be checked for slowness
  // again and again.
  const double max_ratio = settings_.max_request_units;
  return mean_latency(request_class) * std::clamp(units / mean_units, 1 / max_ratio, max_ratio);
}

void LatencyModel::record_units(const ClassSettings& request_class, double units) {
  double& mean_units = estimate(request_class).mean_units;
  const double gain = mean_units > 0 ? kSmoothingGain : 1.0;
  mean_units += gain * (std::min(units, settings_.max_request_units) - mean_units);
}

void LatencyModel::record_latency(const ClassSettings& request_class, Duration latency) {
  // The first response is often a fast one and, on its own, would make the next attempts look slow. Therefore
  // the prior mean counts as several samples.
  ClassEstimate& current = estimate(request_class);
  current.samples += 1;
  const double gain = std::max(kSmoothingGain, 1 / (kPriorSamples + current.samples));
  const double mean = mean_latency(request_class);
  current.mean_latency = mean + gain * (double(latency) - mean);
}

const LatencyModel::ClassEstimate& LatencyModel::estimate(const ClassSettings& request_class) const {
  return estimates_[catalog_.class_index(request_class)];
}

LatencyModel::ClassEstimate& LatencyModel::estimate(const ClassSettings& request_class) {
  return estimates_[catalog_.class_index(request_class)];
}

}  // namespace quota_gateway::decision
