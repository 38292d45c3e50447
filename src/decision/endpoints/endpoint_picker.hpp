// Picks the endpoint for an attempt: samples a few candidates by weight and takes the cheapest of them.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "decision/endpoints/concurrency_limit.hpp"
#include "decision/endpoints/endpoint.hpp"
#include "decision/endpoints/outlier_ejection.hpp"
#include "decision/endpoints/slow_start.hpp"
#include "decision/endpoints/weighted_sampler.hpp"
#include "decision/numeric.hpp"

namespace quota_gateway::decision {

// Returns whether an endpoint may receive the attempt at all.
using EndpointFilter = std::function<bool(const Endpoint&)>;

// An attempt that needs an endpoint.
struct PickRequest {
  TimePoint now = 0;
  double work = 0;          // seconds
  double mean_latency = 0;  // us; of the request class
  bool restricted = false;  // the filter excludes more than a few endpoints
};

// Keeps the endpoints with their weights and picks among them.
class EndpointPicker {
 public:
  EndpointPicker(const Settings& settings, const FleetStatus& fleet, const SlowStart& slow_start,
                 const OutlierEjection& outlier_ejection, const ConcurrencyLimit& concurrency_limit,
                 std::uint64_t seed)
      : settings_(settings),
        fleet_(fleet),
        slow_start_(slow_start),
        outlier_ejection_(outlier_ejection),
        concurrency_limit_(concurrency_limit),
        random_(seed) {}

  // Adds an endpoint, with weight 0. It must outlive the picker.
  void add(Endpoint& endpoint);

  // All endpoints, in the order in which they were added.
  [[nodiscard]] const std::vector<Endpoint*>& endpoints() const { return endpoints_; }

  // Updates the weight of one endpoint after a change of its state. `mean_latency` (us) is that of the
  // request class concerned, or 0 if there is none.
  void update_weight(TimePoint now, const Endpoint& endpoint, double mean_latency);

  // Updates all weights; called once per period.
  void update_all_weights(TimePoint now);

  // Returns the endpoint where the attempt is expected to end first, or null if none may receive it now.
  Endpoint* pick(const PickRequest& request, const EndpointFilter& is_allowed);

  // Ends the backoff after a failed pick; called when an endpoint may have capacity again.
  void clear_backoff() { backoff_until_ = 0; }

 private:
  // The state of one pick.
  struct Search {
    PickRequest request;
    double total_weight = 0;  // of all endpoints in rotation
    double concurrency_limit = 0;
    bool diverted = false;  // another endpoint was tried before, or was sampled first
  };
  // An endpoint with its weight at the time of the pick.
  struct Sample {
    Endpoint* endpoint = nullptr;
    double effective_weight = 0;
  };
  // An endpoint that may receive the attempt.
  struct Candidate {
    Endpoint* endpoint = nullptr;
    double cost = 0;
  };

  [[nodiscard]] double effective_weight(TimePoint now, const Endpoint& endpoint, double mean_latency) const;
  [[nodiscard]] bool is_eligible(const Search& search, const Sample& sample) const;
  [[nodiscard]] Candidate make_candidate(const Search& search, const Sample& sample) const;
  [[nodiscard]] std::size_t candidate_count() const;

  Sample draw_sample(const Search& search);
  std::vector<Candidate> sample_candidates(Search& search, const EndpointFilter& is_allowed);
  std::vector<Candidate> scan(const Search& search, const EndpointFilter& is_allowed);
  [[nodiscard]] std::vector<Candidate> scan_ejected(const Search& search,
                                                    const EndpointFilter& is_allowed) const;
  [[nodiscard]] Endpoint* least_cost(TimePoint now, const std::vector<Candidate>& candidates) const;

  const Settings& settings_;
  const FleetStatus& fleet_;
  const SlowStart& slow_start_;
  const OutlierEjection& outlier_ejection_;
  const ConcurrencyLimit& concurrency_limit_;
  Random random_;
  std::vector<Endpoint*> endpoints_;  // indexed by sampler slot
  WeightedSampler sampler_;           // effective weights; 0 for endpoints that are not in rotation
  TimePoint backoff_until_ = 0;       // unrestricted picks return null until then; 0: no backoff
};

}  // namespace quota_gateway::decision
