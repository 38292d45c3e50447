#include "decision/endpoints/weighted_sampler.hpp"

#include <utility>

namespace quota_gateway::decision {
namespace {

std::size_t lowest_set_bit(std::size_t value) { return value & (~value + 1); }

// Returns the largest power of two that is at most `size`, or 1 if `size` is 0.
std::size_t highest_power_of_two(std::size_t size) {
  std::size_t power = 1;
  while (power * 2 <= size) power *= 2;
  return power;
}

}  // namespace

std::size_t WeightedSampler::add_slot() {
  const std::size_t slot = weights_.size();
  const std::size_t end = slot + 1;
  weights_.push_back(0);
  tree_.push_back(prefix_sum(slot) - prefix_sum(end - lowest_set_bit(end)));
  return slot;
}

void WeightedSampler::set(std::size_t slot, double weight) {
  const double change = weight - weights_[slot];
  weights_[slot] = weight;
  if (change == 0) return;
  for (std::size_t i = slot + 1; i <= tree_.size(); i += lowest_set_bit(i)) tree_[i - 1] += change;
}

void WeightedSampler::assign(std::vector<double> weights) {
  weights_ = std::move(weights);
  tree_ = weights_;
  for (std::size_t i = 1; i <= tree_.size(); ++i) {
    const std::size_t parent = i + lowest_set_bit(i);
    if (parent <= tree_.size()) tree_[parent - 1] += tree_[i - 1];
  }
}

double WeightedSampler::prefix_sum(std::size_t count) const {
  double sum = 0;
  for (std::size_t i = count; i > 0; i -= lowest_set_bit(i)) sum += tree_[i - 1];
  return sum;
}

// Descends the tree: each step skips a block of slots whose cumulative weight ends at or before the point.
std::size_t WeightedSampler::find(double point) const {
  std::size_t slot = 0;
  for (std::size_t step = highest_power_of_two(tree_.size()); step > 0; step /= 2) {
    if (slot + step > tree_.size() || tree_[slot + step - 1] > point) continue;
    slot += step;
    point -= tree_[slot - 1];
  }
  // Rounding may put the point past the last slot.
  return slot < tree_.size() ? slot : tree_.size() - 1;
}

}  // namespace quota_gateway::decision
