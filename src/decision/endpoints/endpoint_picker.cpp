#include "decision/endpoints/endpoint_picker.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "decision/endpoints/endpoint_cost.hpp"
#include "decision/endpoints/relative_latency.hpp"

namespace quota_gateway::decision {
namespace {

constexpr int kMinCandidates = 2;  // in addition to this gateway's share of the endpoints
// Without load reports, many gateways cannot see that they all prefer the same endpoint; more candidates
// spread their picks.
constexpr int kExtraCandidatesWithoutReports = 10;
// A pick draws at most twice as many samples as it wants candidates, or this many if that is more.
constexpr std::size_t kMinSampleLimit = 64;
constexpr Duration kFailedPickBackoff = 20'000;  // us
// Maximum share of one endpoint in the concurrency limit, as a multiple of its share of the total weight.
constexpr double kMaxShareOfLimit = 1.6;
constexpr double kMinTotalWeight = 1e-9;            // avoids a division by zero
constexpr double kNegligibleWeightFraction = 1e-9;  // of the total; rounding may leave it in the sampler

}  // namespace

void EndpointPicker::add(Endpoint& endpoint) {
  endpoint.sampler_slot = sampler_.add_slot();
  endpoints_.push_back(&endpoint);
}

// Returns the configured weight, multiplied by the capacity fraction of slow start and divided by the
// relative latency.
double EndpointPicker::effective_weight(TimePoint now, const Endpoint& endpoint, double mean_latency) const {
  return endpoint.configured_weight() * slow_start_.capacity_fraction(now, endpoint) /
         relative_latency(now, endpoint, mean_latency);
}

void EndpointPicker::update_weight(TimePoint now, const Endpoint& endpoint, double mean_latency) {
  const double weight = endpoint.is_in_rotation(now) ? effective_weight(now, endpoint, mean_latency) : 0;
  sampler_.set(endpoint.sampler_slot, weight);
}

void EndpointPicker::update_all_weights(TimePoint now) {
  std::vector<double> weights(endpoints_.size());
  for (const Endpoint* endpoint : endpoints_) {
    if (endpoint->is_in_rotation(now)) weights[endpoint->sampler_slot] = effective_weight(now, *endpoint, 0);
  }
  sampler_.assign(std::move(weights));
}

Endpoint* EndpointPicker::pick(const PickRequest& request, const EndpointFilter& is_allowed) {
  if (!request.restricted && request.now < backoff_until_) return nullptr;
  Search search{.request = request,
                .total_weight = sampler_.total(),
                .concurrency_limit = concurrency_limit_.limit(),
                .diverted = request.restricted};
  std::vector<Candidate> candidates = sample_candidates(search, is_allowed);
  if (candidates.empty()) candidates = scan(search, is_allowed);
  // The failure of a zone can eject more endpoints than are plausibly faulty themselves. Ejected endpoints
  // are then used as a last resort.
  if (candidates.empty() && is_ejected_fraction_exceeded(fleet_)) {
    candidates = scan_ejected(search, is_allowed);
  }
  if (candidates.empty() && !request.restricted) backoff_until_ = request.now + kFailedPickBackoff;
  return least_cost(request.now, candidates);
}

// Returns whether the endpoint has capacity for the attempt. Also removes its slow start sends that are too
// old to count.
bool EndpointPicker::is_eligible(const Search& search, const Sample& sample) const {
  Endpoint& endpoint = *sample.endpoint;
  if (endpoint.half_open && endpoint.local_attempts > 0) return false;
  const double share = kMaxShareOfLimit * search.concurrency_limit * sample.effective_weight /
                       std::max(search.total_weight, kMinTotalWeight);
  if (endpoint.local_attempts >= std::max(1.0, std::round(share))) return false;
  return slow_start_.has_budget(search.request.now, endpoint, search.request.work, search.diverted);
}

EndpointPicker::Candidate EndpointPicker::make_candidate(const Search& search, const Sample& sample) const {
  const double cost = attempt_cost(search.request.now, *sample.endpoint, sample.effective_weight, settings_);
  return {.endpoint = sample.endpoint, .cost = cost};
}

// Returns how many candidates a pick compares. If many gateways each compared all endpoints, they would all
// pick the same one. The smaller a gateway's share of the total load, the fewer endpoints it compares.
std::size_t EndpointPicker::candidate_count() const {
  const int share_of_fleet = fleet_.in_rotation() / settings_.gateway_count;
  const bool is_peer_load_unknown = settings_.gateway_count >= kManyGateways && !fleet_.endpoints_report_load;
  const int extra = is_peer_load_unknown ? kExtraCandidatesWithoutReports : 0;
  const int count = kMinCandidates + share_of_fleet + extra;
  return std::size_t(count);
}

// Draws an endpoint at random in proportion to the effective weights and sets its weight in the sampler to 0;
// the caller restores the weight. Returns a null endpoint if none is left.
EndpointPicker::Sample EndpointPicker::draw_sample(const Search& search) {
  while (true) {
    const double total = sampler_.total();
    if (total <= kNegligibleWeightFraction * search.total_weight) return {};
    Endpoint& endpoint = *endpoints_[sampler_.find(random_.uniform() * total)];
    const double sampled_weight = sampler_.weight(endpoint.sampler_slot);
    if (sampled_weight <= 0) return {};
    const double weight = effective_weight(search.request.now, endpoint, search.request.mean_latency);
    // The sampler's weights may be up to a period old. Rejection sampling corrects for one that has fallen
    // since.
    const bool is_rejected = weight < sampled_weight && random_.uniform() * sampled_weight >= weight;
    if (!is_rejected) {
      sampler_.set(endpoint.sampler_slot, 0);
      return {.endpoint = &endpoint, .effective_weight = weight};
    }
    sampler_.set(endpoint.sampler_slot, weight);
  }
}

// Samples without replacement until there are enough candidates. With thousands of endpoints, scanning all of
// them for each attempt would cost more than the requests themselves.
std::vector<EndpointPicker::Candidate> EndpointPicker::sample_candidates(Search& search,
                                                                         const EndpointFilter& is_allowed) {
  const std::size_t wanted = candidate_count();
  const std::size_t sample_limit = std::max(kMinSampleLimit, 2 * wanted);
  std::vector<Candidate> candidates;
  candidates.reserve(wanted);
  std::vector<Sample> samples;
  samples.reserve(wanted);
  while (candidates.size() < wanted && samples.size() < sample_limit) {
    const Sample sample = draw_sample(search);
    if (sample.endpoint == nullptr) break;
    samples.push_back(sample);
    // A fully started first sample marks the attempt as diverted. A first sample in slow start does not,
    // because such attempts arrive at a rate that follows the weight of that endpoint.
    if (samples.size() == 1 && slow_start_.capacity_fraction(search.request.now, *sample.endpoint) >= 1) {
      search.diverted = true;
    }
    if (!is_allowed(*sample.endpoint) || !is_eligible(search, sample)) continue;
    candidates.push_back(make_candidate(search, sample));
  }
  for (const Sample& sample : samples) sampler_.set(sample.endpoint->sampler_slot, sample.effective_weight);
  return candidates;
}

// Examines all endpoints in rotation, for an attempt that few of them may receive. Draws the candidates at
// random by weight: sorting by exponentially distributed keys, with the weights as rates, puts the endpoints
// in the order of a weighted sample without replacement.
std::vector<EndpointPicker::Candidate> EndpointPicker::scan(const Search& search,
                                                            const EndpointFilter& is_allowed) {
  struct Entry {
    double key = 0;
    Endpoint* endpoint = nullptr;
    double effective_weight = 0;
    bool operator<(const Entry& other) const {
      return std::tie(key, endpoint) < std::tie(other.key, other.endpoint);
    }
  };
  const PickRequest& request = search.request;
  std::vector<Entry> entries;
  for (Endpoint* endpoint : endpoints_) {
    if (!endpoint->is_in_rotation(request.now) || !is_allowed(*endpoint)) continue;
    const double weight = effective_weight(request.now, *endpoint, request.mean_latency);
    if (!is_eligible(search, {.endpoint = endpoint, .effective_weight = weight})) continue;
    const double key = -std::log(1 - random_.uniform()) / weight;
    entries.push_back({.key = key, .endpoint = endpoint, .effective_weight = weight});
  }
  std::sort(entries.begin(), entries.end());
  entries.resize(std::min(entries.size(), candidate_count()));
  std::vector<Candidate> candidates;
  candidates.reserve(entries.size());
  for (const Entry& entry : entries) {
    candidates.push_back(
        make_candidate(search, {.endpoint = entry.endpoint, .effective_weight = entry.effective_weight}));
  }
  return candidates;
}

std::vector<EndpointPicker::Candidate> EndpointPicker::scan_ejected(const Search& search,
                                                                    const EndpointFilter& is_allowed) const {
  std::vector<Candidate> candidates;
  for (Endpoint* endpoint : outlier_ejection_.ejected()) {
    if (!endpoint->is_available() || !is_allowed(*endpoint)) continue;
    const double weight = effective_weight(search.request.now, *endpoint, search.request.mean_latency);
    const Sample sample{.endpoint = endpoint, .effective_weight = weight};
    if (is_eligible(search, sample)) candidates.push_back(make_candidate(search, sample));
  }
  return candidates;
}

// Returns the candidate with the lowest cost, or null if there is none. With many gateways, endpoints in slow
// start are compared only with each other, and the first candidate decides which kind is picked. They cost
// more than any other endpoint, because hardly any gateway has a connection to them, and would otherwise
// receive no requests.
Endpoint* EndpointPicker::least_cost(TimePoint now, const std::vector<Candidate>& candidates) const {
  if (candidates.empty()) return nullptr;
  const auto is_in_slow_start = [&](const Candidate& candidate) {
    return slow_start_.capacity_fraction(now, *candidate.endpoint) < 1;
  };
  const bool has_many_gateways = settings_.gateway_count >= kManyGateways;
  const bool prefers_slow_start = is_in_slow_start(candidates.front());
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (has_many_gateways && is_in_slow_start(candidate) != prefers_slow_start) continue;
    if (best == nullptr || candidate.cost < best->cost) best = &candidate;
  }
  return best->endpoint;
}

}  // namespace quota_gateway::decision
