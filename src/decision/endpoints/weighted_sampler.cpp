#include "decision/endpoints/weighted_sampler.hpp"

#include <utility>

namespace quota_gateway::decision {
namespace {

std::size_t lowest_bit(std::size_t i) { return i & (~i + 1); }

}  // namespace

std::size_t WeightedSampler::add_slot() {
  const std::size_t slot = weights_.size(), end = slot + 1;
  weights_.push_back(0);
  tree_.push_back(prefix(slot) - prefix(end - lowest_bit(end)));
  return slot;
}

void WeightedSampler::set(std::size_t slot, double weight) {
  const double change = weight - std::exchange(weights_[slot], weight);
  if (change == 0) return;
  for (std::size_t i = slot + 1; i <= tree_.size(); i += lowest_bit(i)) tree_[i - 1] += change;
}

void WeightedSampler::assign(std::vector<double> weights) {
  weights_ = std::move(weights);
  tree_ = weights_;
  for (std::size_t i = 1; i <= tree_.size(); ++i)
    if (const std::size_t parent = i + lowest_bit(i); parent <= tree_.size())
      tree_[parent - 1] += tree_[i - 1];
}

double WeightedSampler::prefix(std::size_t count) const {
  double sum = 0;
  for (std::size_t i = count; i > 0; i -= lowest_bit(i)) sum += tree_[i - 1];
  return sum;
}

std::size_t WeightedSampler::find(double point) const {
  std::size_t step = 1, found = 0;
  while (step * 2 <= tree_.size()) step *= 2;
  for (; step > 0; step /= 2) {
    if (found + step > tree_.size() || tree_[found + step - 1] > point) continue;
    found += step;
    point -= tree_[found - 1];
  }
  return found < tree_.size() ? found : tree_.size() - 1;
}

}  // namespace quota_gateway::decision
