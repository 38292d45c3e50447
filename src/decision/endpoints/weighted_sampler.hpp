// Random selection of slots in proportion to their weights, on a Fenwick tree (binary indexed tree): changing
// one weight and finding one slot take logarithmic time.
#pragma once

#include <cstddef>
#include <vector>

namespace quota_gateway::decision {

// Weights by slot number, with their prefix sums.
class WeightedSampler {
 public:
  // Appends a slot of weight 0 and returns its number.
  std::size_t add_slot();

  void set(std::size_t slot, double weight);

  // Replaces the weights of all slots in linear time. This also discards the rounding errors that repeated
  // calls of set() leave in the tree.
  void assign(std::vector<double> weights);

  [[nodiscard]] double weight(std::size_t slot) const { return weights_[slot]; }
  [[nodiscard]] double total() const { return prefix_sum(weights_.size()); }

  // Returns the slot whose interval of the cumulative weights contains `point`, where 0 <= point < total().
  [[nodiscard]] std::size_t find(double point) const;

 private:
  // Returns the sum of the weights of the first `count` slots.
  [[nodiscard]] double prefix_sum(std::size_t count) const;

  std::vector<double> weights_;
  std::vector<double> tree_;  // tree_[i - 1] sums the weights of the (i & -i) slots that end at i
};

}  // namespace quota_gateway::decision
